// Package hang decides when a request that has no response yet counts as hung.
//
// The load that it answers is a server that never answers a request that it cannot queue, nor any further request on that
// connection, while it goes on answering others, or that stops answering at all. A response may also just be late: run times
// vary by a factor of 10, and a server may be slow. A request that is taken for hung by mistake costs a second run.
//
// A Tracker has the requests of one process to one run of a server. A request counts as hung
//
//   - if later requests to the same run were answered, necessarily on other connections, and it has waited for longer than
//     the longest usual requests take, or
//   - without such evidence, if it has waited for well beyond the usual response time and the latency objective, but early
//     enough that time is left for another attempt. If that time ends before the longest usual requests would, it never
//     counts as hung.
//
// The usual time is a moving average, so that a slow server has a long one. Before there are enough responses, it is derived
// from the objective. Rejections say nothing about run times and are no evidence, since a rejected request did not wait in
// the queue.
//
// From the first hung request until the next response the run is suspected. It should get a single probe at a time then; see
// Tracker.Probe.
//
// A Tracker starts no goroutine and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	t := hang.New()
//	f := t.Send(hang.Request{Sent: now, Deadline: deadline, Objective: objective})
//	hung, next := t.Check(now, f) // again at next, unless that is the zero time
//	if hung {
//		// close the connection and send the request again, if that is allowed
//	}
//	t.Answer(now, f, true) // or t.Lose(f) without a response
package hang

import "time"

const (
	// tailFactor is how many times the usual time a request may take at a healthy server, with a margin.
	tailFactor = 12
	// silentFactor is the multiple of the usual time, and silentObjectives that of the objective, after which a request
	// without a response counts as hung without further evidence.
	silentFactor     = 24
	silentObjectives = 3
	// minEvidence is the number of answered later requests that are evidence.
	minEvidence = 2
	// evidenceShare is the fraction of the objective before which no request counts as hung.
	evidenceShare = 0.5
	// retryFactor is the multiple of the usual time, and retryShare the fraction of the objective, that must be left for
	// another attempt.
	retryFactor = 4
	retryShare  = 0.5
	// minSamples is the number of responses from which on their average is the usual time. Before, it is assumedShare of the
	// objective.
	minSamples   = 4
	assumedShare = 0.25
	// sampleWeight is the weight of a response in the average.
	sampleWeight = 0.125
	// checkShare is the time between two checks as a fraction of the objective, at least minCheck.
	checkShare = 0.125
	minCheck   = 5 * time.Millisecond
)

// Request is a request when it is sent.
type Request struct {
	Sent, Deadline time.Time
	// Objective is the latency objective of the request's rule. It must be greater than 0.
	Objective time.Duration
}

// Flight is a request that was sent and is not answered yet.
type Flight struct {
	request Request
	// later is the number of later requests that were answered.
	later int
	hung  bool
}

// Tracker has the requests in flight of one process to one run of a server.
type Tracker struct {
	flights map[*Flight]struct{}
	average time.Duration
	samples int
	// hung is the number of requests that have counted as hung since the last response.
	hung    int
	probing bool
}

// New returns a Tracker for a run to which no request has been sent.
func New() *Tracker { return &Tracker{flights: map[*Flight]struct{}{}} }

// Send records that a request is sent. The caller ends it with Answer or Lose.
func (t *Tracker) Send(r Request) *Flight {
	f := &Flight{request: r}
	t.flights[f] = struct{}{}
	return f
}

// Check reports whether a request in flight counts as hung by now and, if not, when to check it again. The time is zero if it
// can no longer count as hung in time for another attempt.
func (t *Tracker) Check(now time.Time, f *Flight) (hung bool, next time.Time) {
	if f.hung {
		return true, time.Time{}
	}
	r := f.request
	waited, last := now.Sub(r.Sent), t.lastChance(r)
	least, silent := t.evidenceTime(r), t.silentTime(r)
	if last < least || waited > last+minCheck {
		return false, time.Time{}
	}
	if waited >= least && f.later >= minEvidence || waited >= min(silent, last) {
		f.hung = true
		t.hung++
		return true, time.Time{}
	}
	step := max(minCheck, share(r.Objective, checkShare))
	return false, r.Sent.Add(min(max(least, waited+step), silent, last))
}

// lastChance returns how long a request may wait so that time is left for another attempt.
func (t *Tracker) lastChance(r Request) time.Duration {
	return r.Deadline.Sub(r.Sent) - max(retryFactor*t.usual(r), share(r.Objective, retryShare))
}

// evidenceTime returns how long a request waits at least until it counts as hung.
func (t *Tracker) evidenceTime(r Request) time.Duration {
	return max(tailFactor*t.usual(r), share(r.Objective, evidenceShare))
}

// silentTime returns how long a request waits until it counts as hung without evidence.
func (t *Tracker) silentTime(r Request) time.Duration {
	return max(silentFactor*t.usual(r), silentObjectives*r.Objective)
}

// usual returns the usual response time for a request.
func (t *Tracker) usual(r Request) time.Duration {
	if t.samples < minSamples {
		return max(t.average, share(r.Objective, assumedShare))
	}
	return t.average
}

func share(d time.Duration, s float64) time.Duration { return time.Duration(float64(d) * s) }

// Answer records a complete response. It ends the suspicion. The request ran if the server did not reject it.
func (t *Tracker) Answer(now time.Time, f *Flight, ran bool) {
	delete(t.flights, f)
	t.hung = 0
	if !ran {
		return
	}
	for o := range t.flights {
		if f.request.Sent.After(o.request.Sent) {
			o.later++
		}
	}
	t.sample(now.Sub(f.request.Sent))
}

// sample adds a response time to the average.
func (t *Tracker) sample(took time.Duration) {
	t.samples++
	weight := max(sampleWeight, 1/float64(t.samples))
	t.average += share(took-t.average, weight)
}

// Lose records that a request ended without a response.
func (t *Tracker) Lose(f *Flight) { delete(t.flights, f) }

// Hung returns the number of requests that have counted as hung since the last response. The run is suspected if there are
// any.
func (t *Tracker) Hung() int { return t.hung }

// Probe reports whether a request may be sent as the only probe of a suspected run. The caller ends the probe with EndProbe.
func (t *Tracker) Probe() bool {
	if t.probing {
		return false
	}
	t.probing = true
	return true
}

// EndProbe ends a probe.
func (t *Tracker) EndProbe() { t.probing = false }
