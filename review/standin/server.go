package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keys = 65536
	// idleClose is how long a server keeps an unused connection.
	idleClose = 10 * time.Second
)

// serverOptions describe a backend server.
type serverOptions struct {
	id, service, zone string
	slots, queue      int
	// work returns the run time of a request.
	work func() time.Duration
}

// server is a stand-in for one life of a backend server that holds keys.
type server struct {
	options  serverOptions
	born     int64
	listener net.Listener
	fleet    *fleet

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	slotFree chan struct{}
	ended    bool
	sequence int
	state    string
	// fence has the highest fencing number seen for each key, until the end of the present hold, and lease the end
	// that the hold had before it was released.
	fence  [keys]uint64
	until  [keys]time.Time
	lease  [keys]time.Time
	work   map[*run]struct{}
	idle   chan struct{}
	faults faults
}

// faults are the shares of a server's answers that it spoils.
type faults struct {
	// copies is the share of answers to requests that come a second time, late, and orders that of answers to orders.
	copies, orders float64
	// endless is the share of answers in whose place chunks of a body come without an end.
	endless float64
}

// run is one request that a server works on.
type run struct {
	id  string
	key int
}

func (f *fleet) startServer(o serverOptions, address string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		options: o, born: time.Now().UnixMilli(), listener: l, fleet: f, conns: map[net.Conn]struct{}{},
		slotFree: make(chan struct{}, 1), state: "ready", work: map[*run]struct{}{}, idle: make(chan struct{}),
	}
	f.addServer(s)
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// entry returns what the server writes to the store. Each call is another heartbeat.
func (s *server) entry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftS":0,"sequence":%d,"born":%d}`,
		s.options.service, s.address(), s.options.zone, s.options.slots, s.state, s.sequence, s.born)
}

// beat writes the server's entry every heartbeat until the server ends. The store removes the entry after missedBeats
// heartbeats of silence.
func (s *server) beat() {
	for !s.isEnded() {
		s.fleet.store.put("servers", s.options.id, s.entry())
		time.Sleep(heartbeat)
	}
	time.Sleep((missedBeats - 1) * heartbeat)
	if !s.fleet.hasNextLife(s) {
		s.fleet.store.remove("servers", s.options.id)
	}
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *server) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// copied reports whether an answer comes a second time.
func (s *server) copied(a reply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.order {
		return rand.Float64() < s.faults.orders
	}
	return rand.Float64() < s.faults.copies
}

// endless reports whether a body without an end comes in place of an answer.
func (s *server) endless(a reply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !a.order && rand.Float64() < s.faults.endless
}

const (
	// chunkBytes and chunkPause are the size of the chunks of a body without an end, and the time between them. That is 13 MB
	// a second, a tenth of a machine's link.
	chunkBytes = 64 << 10
	chunkPause = 5 * time.Millisecond
)

// sendEndless sends chunks until the caller closes the connection.
func sendEndless(c net.Conn, id string) int {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	for sent := 0; ; sent += chunkBytes {
		if _, err := io.WriteString(c, chunk); err != nil {
			return sent
		}
		time.Sleep(chunkPause)
	}
}

func (s *server) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// kill ends the server at once, like the loss of its process.
func (s *server) kill() {
	s.mu.Lock()
	s.ended = true
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.listener.Close()
	for c := range conns {
		c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended || len(s.conns) >= maxConns {
			s.mu.Unlock()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

// reply is an answer before it is encoded.
type reply struct {
	status int
	header string
	body   string
	order  bool
}

func (r reply) encode(id string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", r.header, int(idleClose.Seconds()), len(r.body), r.body)
	return []byte(b.String())
}

func notRun(status int) reply { return reply{status: status, header: "Not-Executed: 1\r\n"} }

func (s *server) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var copied []byte
	for {
		c.SetReadDeadline(time.Now().Add(idleClose))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if copied != nil {
			// The second copy of an earlier answer arrives where the next one is expected.
			s.fleet.record.line("copy server=%s instead-of-answer-to=%s %s", s.options.id, r.Header.Get("Request-Id"), r.URL.Path)
			c.Write(copied)
			copied = nil
		}
		c.SetReadDeadline(time.Time{})
		gone, stop := watchClose(c, reader)
		a, ok := s.handle(r, body, gone)
		stop()
		if !ok || s.isEnded() {
			return
		}
		if s.endless(a) {
			id := r.Header.Get("Request-Id")
			s.fleet.record.line("endless server=%s id=%s bytes=%d", s.options.id, id, sendEndless(c, id))
			return
		}
		encoded := a.encode(r.Header.Get("Request-Id"))
		if _, err := c.Write(encoded); err != nil {
			return
		}
		if s.copied(a) {
			copied = encoded
		}
	}
}

// watchClose reports on a channel when the caller closes the connection. The returned function ends the watch.
func watchClose(c net.Conn, reader *bufio.Reader) (gone <-chan struct{}, stop func()) {
	closed, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_, err := reader.Peek(1)
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			close(closed)
		}
	}()
	return closed, func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}

// handle returns the answer to a request. It returns false if the caller has left.
func (s *server) handle(r *http.Request, body []byte, gone <-chan struct{}) (reply, bool) {
	if t := r.Header.Get("Target-Instance"); t != "" && t != s.options.id {
		return reply{status: http.StatusMisdirectedRequest, header: "Not-Executed: 1\r\nInstance-Id: " + s.options.id + "\r\n", order: strings.HasPrefix(r.URL.Path, "/-/")}, true
	}
	switch r.URL.Path {
	case "/-/grant", "/-/release":
		var o order
		if err := json.Unmarshal(body, &o); err != nil || o.Target < o.StartKey {
			return reply{status: http.StatusBadRequest, order: true}, true
		}
		if r.URL.Path == "/-/grant" {
			return s.grant(o), true
		}
		return s.release(o), true
	case "/healthz":
		return reply{status: http.StatusOK, header: "Instance-Id: " + s.options.id + "\r\n"}, true
	}
	return s.request(r, gone)
}

// order is the body of a grant or a release.
type order struct {
	StartKey uint16  `json:"startKey"`
	Target   uint16  `json:"target"`
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"holdS"`
}

func (o order) covers(key int) bool { return int(o.StartKey) <= key && key <= int(o.Target) }

func (s *server) grant(o order) reply {
	s.mu.Lock()
	now := time.Now()
	for k := int(o.StartKey); k <= int(o.Target); k++ {
		if s.fence[k] > o.Fence {
			s.mu.Unlock()
			return reply{status: http.StatusConflict, order: true}
		}
	}
	end := now.Add(time.Duration(o.HoldS * float64(time.Second)))
	fresh := false
	for k := int(o.StartKey); k <= int(o.Target); k++ {
		fresh = fresh || !now.Before(s.until[k])
		s.fence[k], s.until[k], s.lease[k] = o.Fence, end, end
	}
	s.mu.Unlock()
	if fresh {
		s.fleet.granted(s, o, now)
	}
	return reply{status: http.StatusOK, order: true}
}

func (s *server) release(o order) reply {
	s.mu.Lock()
	for k := int(o.StartKey); k <= int(o.Target); k++ {
		s.fence[k] = max(s.fence[k], o.Fence)
		s.until[k] = time.Time{}
	}
	s.mu.Unlock()
	s.fleet.record.line("release server=%s born=%d keys=%d-%d fence=%d", s.options.id, s.born, o.StartKey, o.Target, o.Fence)
	for {
		s.mu.Lock()
		busy, idle := false, s.idle
		for w := range s.work {
			busy = busy || o.covers(w.key)
		}
		s.mu.Unlock()
		if !busy || s.isEnded() {
			return reply{status: http.StatusOK, header: "Handover: h" + strconv.FormatUint(o.Fence, 10) + "\r\n", order: true}
		}
		<-idle
	}
}

// request runs a request for a key, or rejects it.
func (s *server) request(r *http.Request, gone <-chan struct{}) (reply, bool) {
	id := r.Header.Get("Request-Id")
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if id == "" || err != nil {
		return notRun(http.StatusBadRequest), true
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if status := s.enter(int(key), deadline, gone); status != 0 {
		s.fleet.record.line("reject server=%s id=%s key=%d status=%d", s.options.id, id, key, status)
		return notRun(status), true
	}
	w := &run{id: id, key: int(key)}
	s.mu.Lock()
	s.work[w] = struct{}{}
	s.mu.Unlock()
	s.fleet.began(s, w)
	ended := time.NewTimer(min(s.options.work(), time.Until(deadline)))
	defer ended.Stop()
	ok := true
	select {
	case <-ended.C:
	case <-gone:
		ok = false
	}
	s.mu.Lock()
	delete(s.work, w)
	s.running--
	close(s.idle)
	s.idle = make(chan struct{})
	outlasted := !time.Now().Before(s.lease[w.key])
	s.mu.Unlock()
	select {
	case s.slotFree <- struct{}{}:
	default:
	}
	signature := "Response-Signature: " + s.options.id + "." + id + "\r\n"
	switch {
	case !time.Now().Before(deadline):
		return reply{status: http.StatusGatewayTimeout, header: signature}, ok
	case outlasted:
		return reply{status: http.StatusInternalServerError, header: signature}, ok
	}
	return reply{status: http.StatusOK, header: signature, body: s.options.id + " ran " + id + "\n"}, ok
}

// enter waits for a slot. It returns 0 when the request may run, or the status with which it is rejected.
func (s *server) enter(key int, deadline time.Time, gone <-chan struct{}) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.options.slots && s.waiting >= s.options.queue {
		return http.StatusServiceUnavailable
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.running >= s.options.slots {
		s.mu.Unlock()
		select {
		case <-s.slotFree:
		case <-gone:
		case <-time.After(min(20*time.Millisecond, time.Until(deadline))):
		}
		s.mu.Lock()
		if !time.Now().Before(deadline) {
			return http.StatusServiceUnavailable
		}
		select {
		case <-gone:
			return http.StatusServiceUnavailable
		default:
		}
	}
	if s.ended || !time.Now().Before(s.until[key]) {
		return http.StatusMisdirectedRequest
	}
	s.running++
	return 0
}
