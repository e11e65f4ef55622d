// Package pipe orders the requests of a connection on which callers send further requests before the first one has been
// answered (HTTP/1.1 pipelining).
//
// A Pipeline holds the requests that were read and have not been answered. Concurrent requests run side by side. An exclusive
// one, which must not be repeated, is added only when the pipeline is empty, and nothing is read behind it (RFC 9112, 9.3.2).
// Responses are written in the order of the requests. A response that closes the connection is the last one: what is
// behind it counts as unread, so that the caller may send it again.
//
// The load pattern that it answers is a caller that sends rows of requests of different duration: one slow request must not
// delay the start of the others, and what waits behind it must not use more than the connection's part of the memory.
//
// A Pipeline starts no goroutine and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	p := pipe.New(pipe.Config{MaxRunning: 16, MaxUnanswered: 64, MaxBytes: 2 << 20})
//	if p.State() == pipe.StateOpen {
//		// read a request
//		if p.Add(pipe.Request{ID: 1, Bytes: 200}) {
//			// run it
//		}
//	}
//	// when it has run:
//	p.Complete(1, responseBytes)
//	for id, last, ok := p.Begin(); ok; id, last, ok = p.Begin() {
//		// write the response to the request id, with Connection: close if it is the last one
//		p.End()
//	}
package pipe

import "slices"

// decay is the share of the expected size of a response that remains after a smaller response.
const decay = 0.875

// Config bounds a Pipeline.
type Config struct {
	// MaxRunning is the largest number of requests that run at once.
	MaxRunning int
	// MaxUnanswered is the largest number of requests that have not been answered, including those that have run.
	MaxUnanswered int
	// MaxBytes is the memory of the requests and responses, in bytes, above which no further request is read.
	MaxBytes int
}

// Request is a request that was read.
type Request struct {
	// ID names the request. It differs from those of the other requests in the pipeline.
	ID uint64
	// Exclusive reports that the request must not run beside another one of the connection.
	Exclusive bool
	// Closes reports that the connection is closed after the response.
	Closes bool
	// Bytes is the memory that the request uses.
	Bytes int
}

// entry is a request in the pipeline.
type entry struct {
	Request
	// complete reports that the response is there, and responseBytes is the memory that it uses.
	complete      bool
	responseBytes int
}

// Pipeline is the state of the requests of one connection.
type Pipeline struct {
	config Config
	// queue has the requests that have not been answered, in the order in which they were read.
	queue   []entry
	running int
	// bytes is the memory of the requests and of the complete responses in the queue.
	bytes int
	// expected is the size of the response that a running request is expected to have: that of the largest recent one.
	expected int
	// writing reports that the response to the first request is being written.
	writing  bool
	draining bool
	ended    bool
}

// New returns an empty Pipeline.
func New(c Config) *Pipeline { return &Pipeline{config: c} }

// State returns whether the next request may be read.
func (p *Pipeline) State() State {
	switch {
	case p.ended:
		return StateEnded
	case len(p.queue) == 0:
		return StateOpen
	}
	switch {
	case p.draining || p.newest().Exclusive || p.newest().Closes:
		return StateOrdered
	case p.running >= p.config.MaxRunning || len(p.queue) >= p.config.MaxUnanswered:
		return StateFull
	case p.bytes+(p.running+1)*p.expected > p.config.MaxBytes:
		return StateMemory
	}
	return StateOpen
}

// newest returns the request that was added last. The pipeline must not be empty.
func (p *Pipeline) newest() Request { return p.queue[len(p.queue)-1].Request }

// Empty reports whether all requests have been answered.
func (p *Pipeline) Empty() bool { return len(p.queue) == 0 }

// Add adds a request that was read and reports whether it is to run now. Otherwise the pipeline does not change, and the
// request counts as unread. An exclusive request is added only to an empty pipeline. The bounds and a planned stop do not
// matter here, since the request has been read.
func (p *Pipeline) Add(r Request) bool {
	if p.ended || !p.Empty() && (r.Exclusive || p.newest().Exclusive || p.newest().Closes) {
		return false
	}
	p.queue = append(p.queue, entry{Request: r})
	p.running++
	p.bytes += r.Bytes
	return true
}

// Complete records that the response to a request is there and uses some bytes of memory. The response waits until all
// earlier ones have been written.
func (p *Pipeline) Complete(id uint64, bytes int) {
	for i := range p.queue {
		e := &p.queue[i]
		if e.ID != id || e.complete {
			continue
		}
		e.complete, e.responseBytes = true, bytes
		p.running--
		p.bytes += bytes
		p.expected = max(bytes, int(float64(p.expected)*decay))
		return
	}
}

// Begin returns the request whose response is to be written now, and whether it closes the connection. It reports false if
// no response may be written, or one is being written. After the last response the pipeline has ended.
func (p *Pipeline) Begin() (id uint64, last, ok bool) {
	if p.ended || p.writing || len(p.queue) == 0 || !p.queue[0].complete {
		return 0, false, false
	}
	first := p.queue[0]
	p.writing = true
	last = first.Closes || p.draining && len(p.queue) == 1
	p.ended = last
	return first.ID, last, true
}

// End records that the response that Begin returned was written.
func (p *Pipeline) End() {
	if !p.writing {
		return
	}
	p.writing = false
	p.bytes -= p.queue[0].Bytes + p.queue[0].responseBytes
	p.queue = slices.Delete(p.queue, 0, 1)
}

// Drain begins the planned stop: nothing more is read ahead, and the last response of those that were read closes the
// connection.
func (p *Pipeline) Drain() { p.draining = true }

// Abort ends the pipeline, for example because the caller has disconnected. No further response is written.
func (p *Pipeline) Abort() { p.ended = true }
