package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 870 * time.Millisecond
	keyCount  = 1 << 16
)

// holding is what a server knows of one key.
type holding struct {
	// seen is the highest fencing token of any order for the key.
	seen uint64
	// fence and until are those of the grant in force.
	fence uint64
	until time.Time
}

// run is a request that a server began to work on.
type run struct {
	id, server string
	key        int
	began      time.Time
}

// server is a stand-in for a server of one service. If the service is partitioned, the server checks grants as PROTOCOL.md
// says. Its clock runs right.
type server struct {
	id, service string
	partitioned bool
	work        time.Duration
	slots       int
	born        int64
	listener    net.Listener
	http        *http.Server
	store       *store
	log         *record
	// free has a token for each free slot.
	free chan struct{}

	mu       sync.Mutex
	keys     []holding
	running  map[int]int
	ended    *sync.Cond
	runs     []run
	cut      bool
	state    string
	sequence int
	stop     chan struct{}
}

func newServer(st *store, log *record, id, service string, partitioned bool, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, partitioned: partitioned, work: work, slots: 6, born: time.Now().UnixMilli(), listener: l, store: st,
		log: log, keys: make([]holding, keyCount), running: map[int]int{}, state: "ready", stop: make(chan struct{}),
	}
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	s.ended = sync.NewCond(&s.mu)
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	go s.beat()
	return s, nil
}

// beat writes the entry of the server until it stops. A server that is cut off from the store writes nothing.
func (s *server) beat() {
	for {
		s.mu.Lock()
		s.sequence++
		entry := map[string]any{
			"service": s.service, "address": s.listener.Addr().String(), "zone": "a", "version": "v1", "slots": s.slots, "state": s.state,
			"warmupLeftS": 0, "sequence": s.sequence, "born": s.born,
		}
		cut := s.cut
		s.mu.Unlock()
		if !cut {
			s.store.put("servers", s.id, entry)
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// cutFromStore partitions the server from the store. Requests and orders still reach it.
func (s *server) cutFromStore(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// kill ends the server at once.
func (s *server) kill() {
	close(s.stop)
	_ = s.http.Close()
}

// order is the body of a grant or a release.
type order struct {
	StartKey int     `json:"startKey"`
	Target   int     `json:"target"`
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"holdS"`
	Handover string  `json:"handover"`
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/grant", "/-/release":
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.StartKey < 0 || o.Target >= keyCount || o.StartKey > o.Target {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/-/grant" {
			s.serveGrant(w, o)
			return
		}
		s.serveRelease(w, o)
	default:
		s.serveRequest(w, r)
	}
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) serveGrant(w http.ResponseWriter, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.StartKey; k <= o.Target; k++ {
		if s.keys[k].seen > o.Fence {
			s.log.write("server %s: grant of %d to %d with fence %d refused", s.id, o.StartKey, o.Target, o.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))
	first := s.keys[o.StartKey].fence != o.Fence
	for k := o.StartKey; k <= o.Target; k++ {
		h := &s.keys[k]
		if until.After(h.until) || h.fence != o.Fence {
			h.until = until
		}
		h.seen, h.fence = o.Fence, o.Fence
	}
	if first || o.HoldS > 5 {
		s.log.write("server %s: holds %d to %d with fence %d for %.1f s", s.id, o.StartKey, o.Target, o.Fence, o.HoldS)
	}
}

// serveRelease ends the work on keys. It answers when no request for them runs any more.
func (s *server) serveRelease(w http.ResponseWriter, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.StartKey; k <= o.Target; k++ {
		h := &s.keys[k]
		h.seen, h.until = max(h.seen, o.Fence), time.Time{}
	}
	for s.busy(o) {
		s.ended.Wait()
	}
	w.Header().Set("Handover", fmt.Sprintf("%016x", o.Fence))
	s.log.write("server %s: released %d to %d with fence %d", s.id, o.StartKey, o.Target, o.Fence)
}

func (s *server) busy(o order) bool {
	for k, n := range s.running {
		if n > 0 && o.StartKey <= k && k <= o.Target {
			return true
		}
	}
	return false
}

// holds reports whether the server holds a key, and the fencing token. The caller holds the lock.
func (s *server) holds(key int) bool { return time.Now().Before(s.keys[key].until) }

// held returns the keys that the server holds now.
func (s *server) held(buffer []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for k := range buffer {
		buffer[k] = now.Before(s.keys[k].until)
	}
}

// heldCount returns the number of keys that the server holds now.
func (s *server) heldCount() int {
	buffer := make([]bool, keyCount)
	s.held(buffer)
	n := 0
	for _, h := range buffer {
		if h {
			n++
		}
	}
	return n
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if id == "" {
		reject(w, http.StatusBadRequest)
		return
	}
	select {
	case <-s.free:
	case <-r.Context().Done():
		return
	case <-time.After(time.Until(deadline)):
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { s.free <- struct{}{} }()
	key, ok := s.begin(id, r.Header.Get("Shard-Key"))
	if !ok {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	s.log.write("server %s: runs %s for key %d", s.id, id, key)
	time.Sleep(s.work)
	s.end(key)
	w.Header().Set("Response-Signature", "s1."+s.id+"."+id)
	fmt.Fprintf(w, "%s ran %s", s.id, id)
}

// begin starts a run. It reports false if the server does not hold the key of the request.
func (s *server) begin(id, text string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := -1
	if s.partitioned {
		k, err := strconv.Atoi(text)
		if err != nil || k < 0 || k >= keyCount || !s.holds(k) {
			return 0, false
		}
		key = k
	}
	s.running[key]++
	s.runs = append(s.runs, run{id: id, server: s.id, key: key, began: time.Now()})
	return key, true
}

func (s *server) end(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[key]--
	s.ended.Broadcast()
}
