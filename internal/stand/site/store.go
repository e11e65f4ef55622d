// Package site is a stand-in of the users' platform for tests: its store and its servers that own keys.
//
// Both speak the published protocol over HTTP/1.1 on loopback, as far as the programs use it, and record
// what happened to each request, so that a test can compare it with what callers saw.
//
// # Usage
//
//	store, err := site.NewStore()
//	defer store.Close()
//	server, err := site.NewServer(site.ServerOptions{ID: "s-1", Service: "ledger"})
//	defer server.Kill()
//	store.Put("servers", "s-1", server.Entry(server.Address(), "ready"))
package site

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// watchPoll is the time between looks for changes of a watch that waits.
const watchPoll = 10 * time.Millisecond

// object is one object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// StoreFault is how the store misbehaves.
type StoreFault struct {
	// Down answers every call with 503.
	Down bool
	// Slow delays every call.
	Slow time.Duration
	// LoseWrites carries out writes and closes the connection without an answer.
	LoseWrites bool
}

// Store is the platform's object API in memory: lists, single objects, watches and conditional writes. It
// is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server
	group    conc.WaitGroup
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	fault    StoreFault
}

// NewStore starts an empty store on loopback.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, revision: 1, objects: map[string]map[string]object{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(s.run)
	return s, nil
}

func (s *Store) run() {
	// It returns when Close has closed the listener.
	_ = s.server.Serve(s.listener)
}

// Close ends the store and its connections.
func (s *Store) Close() {
	_ = s.server.Close()
	s.group.Wait()
}

// Address returns the address of the store.
func (s *Store) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Put writes an object as the operator or a server does. It works while the store has a fault, too.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, json.RawMessage(spec))
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
}

// SetFault changes how the store misbehaves.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	return o
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	time.Sleep(fault.Slow)
	if fault.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, kind, name)
	default:
		s.change(w, r, kind, fault.LoseWrites)
	}
}

func (s *Store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, o)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	reply(w, map[string]any{"items": items, "hasMore": false, "atRev": s.revision})
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind string, lose bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][o.Metadata.Name]
	if r.Method == http.MethodPost && ok || r.Method == http.MethodPut && current.Metadata.Revision != o.Metadata.Revision {
		w.WriteHeader(http.StatusConflict)
		reply(w, current)
		return
	}
	written := s.write(kind, o.Metadata.Name, o.Spec)
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, written)
}

// watch answers when an object of the kind has changed, or after the time that the caller waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, o := range s.objects[kind] {
			if o.Metadata.Revision > from {
				events = append(events, map[string]any{"object": o, "deleted": false})
			}
		}
		revision, down := s.revision, s.fault.Down
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || time.Now().After(end):
			reply(w, map[string]any{"events": events, "atRev": revision})
			return
		}
		time.Sleep(watchPoll)
	}
}

func reply(w http.ResponseWriter, v any) {
	// The caller of a test that ends early has left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
