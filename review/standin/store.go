package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// storePage is the largest number of objects in one page of a list.
	storePage = 500
)

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedRev      uint64   `json:"createdRev"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object without a condition, on behalf of the operator or of a server.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, json.RawMessage(spec))
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o = object{Metadata: metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.note(change{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.writeCall(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	for n, o := range s.objects[kind] {
		if n > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writeCall(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
		return
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, s.write(kind, name, o.Spec))
}
