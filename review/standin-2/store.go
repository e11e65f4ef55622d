package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for each call. The sheets of the small deployments name 4 ms.
const storeLatency = 4 * time.Millisecond

// metadata is the part of an object that the store writes.
type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedRev      uint64   `json:"createdRev"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is an entry of the store's history.
type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// copyOf is the content of a store at one moment.
type copyOf struct {
	revision uint64
	objects  map[string]map[string]object
	history  []change
}

// store is a stand-in for the platform's metadata store. It follows PROTOCOL.md and the header Store-Era of the letters.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	era      int
	// away makes the store leave all calls without an answer.
	away bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object unconditionally, as the operator and the servers do. It reports false while the store is away.
func (s *store) put(kind, name string, spec any) bool {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write(kind, name, value)
	return true
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(change{kind: kind, Object: o, Deleted: true})
}

// spec returns the value of an object, nil if there is none.
func (s *store) spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the content.
func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOf{revision: s.revision, objects: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// restore replaces the content by an earlier copy. Its revisions are given out again, in a new era.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.history = c.revision, c.objects, c.history
}

// write replaces or creates an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		// The caller gives up and closes the connection.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, r, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
		return
	}
	after := r.URL.Query().Get("after")
	items := []object{}
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if n > after {
			items = append(items, s.objects[kind][n])
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "atRev": s.revision})
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		r.Method == http.MethodPut && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

// serveWatch answers when an object of the kind has changed, or when the wait time of the call has passed.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed, away := s.revision, s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case from > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": revision})
			return
		}
	}
}
