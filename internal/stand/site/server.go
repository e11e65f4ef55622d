package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// ID is the server's name, Service that of its service.
	ID, Service string
	// Born is the start of this run in Unix ms.
	Born int64
	// Work is how long each request runs.
	Work time.Duration
	// SlowClock is the rate error of the clock that measures holds, for example 0.02.
	SlowClock float64
}

// Run is one request that a server began to work on.
type Run struct {
	Request, Method, Server, Service string
	// Key is the key of the request, -1 for one without.
	Key   int
	Began time.Time
	// Answered reports that the whole answer was written.
	Answered bool
}

// Server is a server of the platform that owns keys. It checks grants and fences as those do. It is safe
// for concurrent use.
type Server struct {
	options  ServerOptions
	listener net.Listener
	server   *http.Server
	group    conc.WaitGroup
	mu       sync.Mutex
	grants   []grant
	runs     []*Run
	// working are the keys of the requests that run.
	working map[*Run]struct{}
	ended   *sync.Cond
	killed  bool
	// loses is the part of the answers that are lost after the run, out of 100.
	loses int
}

// grant is a range of keys that was granted, or released where until is the zero time.
type grant struct {
	StartKey, Target uint16
	Fence            uint64
	HoldS            float64
	until            time.Time
}

func (g grant) covers(key int) bool { return int(g.StartKey) <= key && key <= int(g.Target) }

// NewServer starts a server on loopback.
func NewServer(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, listener: l, working: map[*Run]struct{}{}}
	s.ended = sync.NewCond(&s.mu)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(s.run)
	return s, nil
}

func (s *Server) run() {
	// It returns when Kill has closed the listener.
	_ = s.server.Serve(s.listener)
}

// Kill ends the server and its connections at once.
func (s *Server) Kill() {
	s.mu.Lock()
	s.killed = true
	s.grants = nil
	s.ended.Broadcast()
	s.mu.Unlock()
	_ = s.server.Close()
	s.group.Wait()
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// ID returns the server's name.
func (s *Server) ID() string { return s.options.ID }

// Service returns the name of the server's service.
func (s *Server) Service() string { return s.options.Service }

// Entry is what the server says of itself in the store, with the address that it is reached at and its
// state, ready or draining.
func (s *Server) Entry(address netip.AddrPort, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":6,"state":%q,"warmupLeftS":0,"sequence":1,"born":%d}`,
		s.options.Service, address, state, s.options.Born)
}

// LoseAnswers lets the server lose a part of its answers after it has run the request, out of 100.
func (s *Server) LoseAnswers(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = percent
}

// Holds reports whether the server holds the key now.
func (s *Server) Holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(key)
}

func (s *Server) holds(key int) bool {
	now := time.Now()
	return !s.killed && slices.ContainsFunc(s.grants, func(g grant) bool { return g.covers(key) && now.Before(g.until) })
}

// Runs returns what the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Run, len(s.runs))
	for i, r := range s.runs {
		list[i] = *r
	}
	return list
}

// Body is the whole body of the answer that the server gives to a request.
func Body(request, server string) string { return server + " ran " + request + "\n" }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.options.ID {
		misdirect(w)
		return
	}
	switch r.URL.Path {
	case "/-/grant":
		s.grant(w, r)
	case "/-/release":
		s.release(w, r)
	default:
		s.work(w, r)
	}
}

// misdirect answers a request for another server or for a key that this one does not hold.
func misdirect(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.grants {
		if o.StartKey <= g.Target && g.StartKey <= o.Target && o.Fence > g.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	g.until = time.Now().Add(time.Duration(g.HoldS * (1 + s.options.SlowClock) * float64(time.Second)))
	s.grants = slices.DeleteFunc(s.grants, func(o grant) bool { return o.StartKey >= g.StartKey && o.Target <= g.Target })
	s.grants = append(s.grants, g)
}

// release takes keys away and answers when no work on them runs.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []grant
	for _, o := range s.grants {
		kept = append(kept, o.without(g)...)
	}
	s.grants = append(kept, grant{StartKey: g.StartKey, Target: g.Target, Fence: g.Fence})
	for s.busy(g) && !s.killed {
		s.ended.Wait()
	}
	w.Header().Set("Handover", "h")
}

// without returns the parts of a grant that another one does not cover.
func (g grant) without(o grant) []grant {
	if o.Target < g.StartKey || g.Target < o.StartKey {
		return []grant{g}
	}
	var parts []grant
	if g.StartKey < o.StartKey {
		before := g
		before.Target = o.StartKey - 1
		parts = append(parts, before)
	}
	if o.Target < g.Target {
		after := g
		after.StartKey = o.Target + 1
		parts = append(parts, after)
	}
	return parts
}

func (s *Server) busy(g grant) bool {
	for r := range s.working {
		if g.covers(r.Key) {
			return true
		}
	}
	return false
}

// begin records a run, unless the server does not hold its key.
func (s *Server) begin(r *http.Request) (run *Run, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := -1
	if text := r.Header.Get("Shard-Key"); text != "" {
		n, err := strconv.ParseUint(text, 10, 16)
		if err != nil || !s.holds(int(n)) {
			return nil, false
		}
		key = int(n)
	}
	run = &Run{
		Request: r.Header.Get("Request-Id"), Method: r.Method, Server: s.options.ID, Service: s.options.Service,
		Key: key, Began: time.Now(),
	}
	s.runs = append(s.runs, run)
	s.working[run] = struct{}{}
	return run, len(s.runs)%100 < s.loses
}

func (s *Server) end(run *Run, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Answered = answered && !s.killed
	delete(s.working, run)
	s.ended.Broadcast()
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	run, lose := s.begin(r)
	if run == nil {
		misdirect(w)
		return
	}
	time.Sleep(s.options.Work)
	if lose {
		s.end(run, false)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", s.options.ID)
	_, err := fmt.Fprint(w, Body(id, s.options.ID))
	s.end(run, err == nil)
}
