package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/mangle"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// ID is the name of the server, and Service is the name of its service.
	ID, Service string
	// Zone is the failure domain, a by default.
	Zone string
	// Born is the time at which the server process started, in Unix milliseconds.
	Born int64
	// Work is the time that each request takes to run.
	Work time.Duration
	// LongWork is the time that the requests take to run of which Straggle sets the percentage.
	LongWork time.Duration
	// SlowClock is the relative error of the clock that measures how long grants are held: 0.02 makes each hold
	// last 2% longer.
	SlowClock float64
	// Seed is the seed of the faults of the bytes that the server sends.
	Seed uint64
}

// Run records one request that a server started to execute.
type Run struct {
	Request, Method, Server, Service string
	// Key is the key of the request, or -1 if it has none.
	Key   int
	Began time.Time
	// Answered reports whether the whole answer was written.
	Answered bool
}

// Server is a stand-in for a platform server that owns keys. It checks grants and fences by the rules of the
// platform's protocol. It is safe for concurrent use.
type Server struct {
	options  ServerOptions
	listener net.Listener
	server   *http.Server
	group    conc.WaitGroup
	mu       sync.Mutex
	grants   []grant
	runs     []*Run
	// inFlight holds the runs that have not ended.
	inFlight map[*Run]struct{}
	runEnded *sync.Cond
	killed   bool
	// lossPercent is the percentage of answers that are dropped after the request has run.
	lossPercent int
	// rejectPercent is the percentage of requests that are rejected.
	rejectPercent int
	mangler       *mangle.Mangler
	// longPercent is the percentage of requests that take long.
	longPercent int
	// limit is the value of the field with the request rate that the server takes, empty for none.
	limit    string
	arrivals []*Arrival
	// leaving reports that the server says that it is leaving, and closedUntil is until when it turns requests away.
	leaving     bool
	closedUntil time.Time
	// coldUntil is until when the entry says that the server is cold.
	coldUntil time.Time
}

// grant is a range of keys that was granted, or released where until is the zero time.
type grant struct {
	StartKey, Target uint16
	Fence            uint64
	HoldS            float64
	expiry           time.Time
}

func (g grant) covers(key int) bool { return int(g.StartKey) <= key && key <= int(g.Target) }

// NewServer starts a server on a free port of the loopback address.
func NewServer(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, listener: l, inFlight: map[*Run]struct{}{}, mangler: mangle.New(o.Seed)}
	s.runEnded = sync.NewCond(&s.mu)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(s.run)
	return s, nil
}

func (s *Server) run() {
	// Serve returns an error when Kill closes the server.
	_ = s.server.Serve(s.mangler.Listen(s.listener))
}

// Kill closes the server and its connections at once, as the loss of its process would.
func (s *Server) Kill() {
	s.mu.Lock()
	s.killed = true
	s.grants = nil
	s.runEnded.Broadcast()
	s.mu.Unlock()
	_ = s.server.Close()
	s.group.Wait()
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// ID returns the server's name.
func (s *Server) ID() string { return s.options.ID }

// Service returns the name of the server's service.
func (s *Server) Service() string { return s.options.Service }

// Entry returns the JSON entry that the server registers in the store, with the given address and state (ready or
// draining).
func (s *Server) Entry(address netip.AddrPort, state string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := max(0, time.Until(s.coldUntil)).Seconds()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"warmupLeftS":%.3f,"sequence":1,"born":%d}`,
		s.options.Service, address, cmp.Or(s.options.Zone, "a"), state, left, s.options.Born)
}

// Chill makes the entries of the server say that it is cold for a time from now on.
func (s *Server) Chill(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// LoseAnswers makes the server drop the given percentage of answers after it has run the requests.
func (s *Server) LoseAnswers(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossPercent = percent
}

// Straggle makes the given percentage of the requests take ServerOptions.LongWork.
func (s *Server) Straggle(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longPercent = percent
}

// NameLimit makes the server name the requests per second that it takes from all senders together in its responses. The
// text is sent as it is; the empty text ends the limit.
func (s *Server) NameLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = text
}

// Arrival records one request that reached a server, whether it ran or not.
type Arrival struct {
	Request string
	At      time.Time
	// ClosedUntil is until when the server wanted no more requests, the zero time if it took this one.
	ClosedUntil time.Time
	// Misdirected reports that the server answered 421.
	Misdirected bool
}

// Leave makes the server say in its responses that it is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// TurnAway makes the server turn requests away for a time, and say so.
func (s *Server) TurnAway(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedUntil = time.Now().Add(d)
}

// Arrivals returns the requests that reached the server, in the order of their arrival.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		list[i] = *a
	}
	return list
}

// Holds reports whether the server holds an unexpired grant for the key.
func (s *Server) Holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(key)
}

func (s *Server) holds(key int) bool {
	now := time.Now()
	return !s.killed && slices.ContainsFunc(s.grants, func(g grant) bool { return g.covers(key) && now.Before(g.expiry) })
}

// Runs returns a copy of all runs of the server, in the order in which they started.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Run, len(s.runs))
	for i, r := range s.runs {
		list[i] = *r
	}
	return list
}

// Body returns the complete body of the answer that the server sends to the request.
func Body(request, server string) string { return server + " ran " + request + "\n" }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.options.ID {
		misdirect(w)
		return
	}
	switch r.URL.Path {
	case "/-/grant":
		s.serveGrant(w, r)
	case "/-/release":
		s.serveRelease(w, r)
	default:
		s.serveRequest(w, r)
	}
}

// misdirect rejects a request that is meant for another server or whose key this server does not hold.
func misdirect(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
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
	g.expiry = time.Now().Add(time.Duration(g.HoldS * (1 + s.options.SlowClock) * float64(time.Second)))
	s.grants = slices.DeleteFunc(s.grants, func(o grant) bool { return o.StartKey >= g.StartKey && o.Target <= g.Target })
	s.grants = append(s.grants, g)
}

// serveRelease withdraws the grant for a range of keys and answers when no request for these keys is in flight.
func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []grant
	for _, o := range s.grants {
		kept = append(kept, o.subtract(g)...)
	}
	s.grants = append(kept, grant{StartKey: g.StartKey, Target: g.Target, Fence: g.Fence})
	for s.hasRunsIn(g) && !s.killed {
		s.runEnded.Wait()
	}
	w.Header().Set("Handover", "h")
}

// subtract returns the parts of the grant that o does not cover.
func (g grant) subtract(o grant) []grant {
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

func (s *Server) hasRunsIn(g grant) bool {
	for r := range s.inFlight {
		if g.covers(r.Key) {
			return true
		}
	}
	return false
}

// begin records the start of a run and reports whether its answer is to be dropped. It returns nil if the server does
// not hold the key of the request.
func (s *Server) begin(r *http.Request) (run *Run, loseAnswer bool) {
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
	s.inFlight[run] = struct{}{}
	return run, len(s.runs)%100 < s.lossPercent
}

// arrive records a request and sets the fields of its response in which the server speaks of itself. It also reports
// whether the server takes requests.
func (s *Server) arrive(w http.ResponseWriter, id string) (a *Arrival, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a = &Arrival{Request: id, At: time.Now()}
	if s.limit != "" {
		w.Header().Set("Server-Limit", s.limit)
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	left := s.closedUntil.Sub(a.At)
	if left > 0 {
		a.ClosedUntil = s.closedUntil
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	s.arrivals = append(s.arrivals, a)
	return a, left <= 0
}

func (s *Server) markMisdirected(a *Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Misdirected = true
}

func (s *Server) finish(run *Run, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Answered = answered && !s.killed
	delete(s.inFlight, run)
	s.runEnded.Broadcast()
}

func (s *Server) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.IntN(100) < s.longPercent {
		return s.options.LongWork
	}
	return s.options.Work
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	a, open := s.arrive(w, id)
	// A body that cannot be read whole shows as a request without an answer.
	_, _ = io.Copy(io.Discard, r.Body)
	if !open || s.drawReject() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run, loseAnswer := s.begin(r)
	if run == nil {
		s.markMisdirected(a)
		misdirect(w)
		return
	}
	time.Sleep(s.workTime())
	if loseAnswer {
		s.finish(run, false)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", s.options.ID)
	_, err := fmt.Fprint(w, Body(id, s.options.ID))
	s.finish(run, err == nil)
}
