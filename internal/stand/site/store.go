// Package site provides stand-ins for the users' platform in tests: the object store and the servers that own keys.
//
// Both implement the part of the published protocol that the programs use, over HTTP/1.1 on the loopback address.
// Each server records the requests that it ran, so that a test can compare them with the answers that callers received.
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
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/mangle"
)

// watchPollInterval is the interval at which a waiting watch checks for changes.
const watchPollInterval = 10 * time.Millisecond

// object is an object of the store as it is encoded on the wire.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// StoreFault is the set of faults that a Store injects. The zero value is a store without faults.
type StoreFault struct {
	// Down answers every call with 503.
	Down bool
	// Slow is the delay before each call is handled.
	Slow time.Duration
	// LoseWrites applies writes but closes the connection without an answer.
	LoseWrites bool
}

// Store implements the platform's object API in memory: lists, single objects, watches and conditional writes. It
// is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server
	group    conc.WaitGroup
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	fault    StoreFault
	mangler  *mangle.Mangler
	// era is the number of times that the store came back from an older copy.
	era uint64
}

// Copy is the content of a Store at one moment.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
}

// NewStore starts an empty store on a free port of the loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, revision: 1, objects: map[string]map[string]object{}, mangler: mangle.New(uint64(l.Addr().(*net.TCPAddr).Port))}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(s.run)
	return s, nil
}

func (s *Store) run() {
	// Serve returns an error when Close closes the server.
	_ = s.server.Serve(s.mangler.Listen(s.listener))
}

// Close closes the store and its connections.
func (s *Store) Close() {
	_ = s.server.Close()
	s.group.Wait()
}

// Address returns the address that the store listens on.
func (s *Store) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Put writes an object unconditionally, on behalf of an operator or a server. Faults of the store do not affect it.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, json.RawMessage(spec))
}

// Remove deletes an object. Watches do not report the deletion.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, objects: cloneObjects(s.objects)}
}

// Restore replaces the content by an earlier copy. Its revisions are given out again, in a new era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, cloneObjects(c.objects)
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	c := make(map[string]map[string]object, len(objects))
	for kind, list := range objects {
		c[kind] = maps.Clone(list)
	}
	return c
}

// Mangle sets the faults of the bytes that the store sends.
func (s *Store) Mangle(f mangle.Faults) { s.mangler.Set(f) }

// SetFault replaces the faults of the store.
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
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, kind, name)
	default:
		s.serveWrite(w, r, kind, fault.LoseWrites)
	}
}

func (s *Store) serveRead(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, o)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "atRev": s.revision})
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind string, loseAnswer bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	current, ok := s.objects[kind][o.Metadata.Name]
	if r.Method == http.MethodPost && ok || r.Method == http.MethodPut && current.Metadata.Revision != o.Metadata.Revision {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, current)
		return
	}
	written := s.write(kind, o.Metadata.Name, o.Spec)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, written)
}

// serveWatch answers when an object of the kind has changed, or when the wait time of the request has passed.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
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
		s.nameEra(w)
		s.mu.Unlock()
		switch {
		case from > revision:
			w.WriteHeader(http.StatusGone)
			return
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || time.Now().After(end):
			writeJSON(w, map[string]any{"events": events, "atRev": revision})
			return
		}
		time.Sleep(watchPollInterval)
	}
}

// nameEra sets the era of a response. The caller holds the lock.
func (s *Store) nameEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	// Encoding fails only if the client has closed the connection, for example because its test ended early.
	_ = json.NewEncoder(w).Encode(v)
}
