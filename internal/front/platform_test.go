package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// object is one object of the fake store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// fakeStore is the platform's object API in memory: lists, single objects, watches and conditional
// writes, as far as the program uses them.
type fakeStore struct {
	server   *httptest.Server
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	// down answers every call with 503.
	down bool
}

func newStore() *fakeStore {
	s := &fakeStore{revision: 1, objects: map[string]map[string]object{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	DeferCleanup(s.server.Close)
	return s
}

func (s *fakeStore) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// put writes an object as the operator or a server does.
func (s *fakeStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, json.RawMessage(spec))
}

func (s *fakeStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	return o
}

func (s *fakeStore) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		reply(w, map[string]any{"items": items, "hasMore": false, "atRev": s.revision})
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, o)
	default:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		current, ok := s.objects[kind][o.Metadata.Name]
		if r.Method == http.MethodPost && ok || r.Method == http.MethodPut && current.Metadata.Revision != o.Metadata.Revision {
			w.WriteHeader(http.StatusConflict)
			reply(w, current)
			return
		}
		reply(w, s.write(kind, o.Metadata.Name, o.Spec))
	}
}

// watch answers when an object of the kind has changed, or after the time that the caller waits.
func (s *fakeStore) watch(w http.ResponseWriter, r *http.Request, kind, after string) {
	from, _ := strconv.ParseUint(after, 10, 64)
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
		revision, down := s.revision, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || time.Now().After(end) {
			reply(w, map[string]any{"events": events, "atRev": revision})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func reply(w http.ResponseWriter, v any) {
	// The caller of a test that ends early has left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// fakeServer is a server that owns keys. It checks what the platform's servers check.
type fakeServer struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	grants []grant
	ran    map[string]int
}

type grant struct {
	StartKey, Target uint16
	Fence            uint64
	HoldS            float64
	until            time.Time
}

func newServer(id string) *fakeServer {
	s := &fakeServer{id: id, ran: map[string]int{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	DeferCleanup(s.server.Close)
	return s
}

// entry is what the server says of itself in the store.
func (s *fakeServer) entry(service, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":6,"state":%q,"warmupLeftS":0,"sequence":1,"born":1}`,
		service, s.server.Listener.Addr(), state)
}

func (s *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/grant":
		s.grant(w, r)
	case "/-/release":
		var g grant
		_ = json.NewDecoder(r.Body).Decode(&g)
		s.grants = slices.DeleteFunc(s.grants, func(o grant) bool { return o.StartKey <= g.Target && g.StartKey <= o.Target })
		s.grants = append(s.grants, grant{StartKey: g.StartKey, Target: g.Target, Fence: g.Fence})
		w.Header().Set("Handover", "h")
	default:
		s.run(w, r)
	}
}

func (s *fakeServer) grant(w http.ResponseWriter, r *http.Request) {
	var g grant
	_ = json.NewDecoder(r.Body).Decode(&g)
	for _, o := range s.grants {
		if o.StartKey <= g.Target && g.StartKey <= o.Target && o.Fence > g.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	g.until = time.Now().Add(time.Duration(g.HoldS * float64(time.Second)))
	s.grants = slices.DeleteFunc(s.grants, func(o grant) bool { return o.StartKey >= g.StartKey && o.Target <= g.Target })
	s.grants = append(s.grants, g)
}

func (s *fakeServer) run(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if text := r.Header.Get("Shard-Key"); text != "" {
		key, _ := strconv.ParseUint(text, 10, 16)
		held := slices.ContainsFunc(s.grants, func(g grant) bool {
			return g.StartKey <= uint16(key) && uint16(key) <= g.Target && time.Now().Before(g.until)
		})
		if !held {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	s.ran[r.Header.Get("Request-Id")]++
	w.Header().Set("Response-Signature", s.id)
	fmt.Fprint(w, s.id)
}

// holds reports whether the server holds the key now.
func (s *fakeServer) holds(key uint16) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.grants, func(g grant) bool {
		return g.StartKey <= key && key <= g.Target && time.Now().Before(g.until)
	})
}

// requests returns how many requests ran, and the most that one id ran.
func (s *fakeServer) requests() (all, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.ran {
		all += n
		most = max(most, n)
	}
	return all, most
}
