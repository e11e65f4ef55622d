package stand

import (
	"sort"
	"strings"
	"sync"
	"time"
)

type object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type change struct {
	object
	Deleted bool `json:"deleted"`
}

// objects is the versioned object store of a Platform. The version of an object is the revision of its
// last write.
type objects struct {
	mu       sync.Mutex
	revision uint64
	live     map[string]object
	// log holds the latest changes, at most logLimit, the oldest first.
	log      []change
	logLimit int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newObjects(logLimit int) *objects {
	return &objects{live: map[string]object{}, logLimit: logLimit, changed: make(chan struct{})}
}

func (s *objects) get(name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.live[name]
	return o, ok
}

// put writes an object if its current version is ifVersion, where 0 means that it must not exist. It returns the new
// version and true, or the current version and false if the versions differ.
func (s *objects) put(name string, value []byte, ifVersion uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.live[name].Version; current != ifVersion {
		return current, false
	}
	s.record(change{object: object{Name: name, Version: s.revision + 1, Value: value}})
	return s.revision, true
}

// remove deletes an object if its current version is ifVersion. It returns the version of the deletion and true, or
// the current version and false if the versions differ or the object does not exist.
func (s *objects) remove(name string, ifVersion uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.live[name].Version; current != ifVersion || current == 0 {
		return current, false
	}
	s.record(change{object: object{Name: name, Version: s.revision + 1}, Deleted: true})
	return s.revision, true
}

func (s *objects) record(c change) {
	s.revision = c.Version
	if c.Deleted {
		delete(s.live, c.Name)
	} else {
		s.live[c.Name] = c.object
	}
	s.log = append(s.log, c)
	if len(s.log) > s.logLimit {
		s.log = s.log[len(s.log)-s.logLimit:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *objects) list(prefix string) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []object{}
	for name, o := range s.live {
		if strings.HasPrefix(name, prefix) {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, s.revision
}

// since returns the changes under prefix after the given revision, the current revision, and a
// channel that is closed at the next change. It reports false if the log no longer holds all these changes.
func (s *objects) since(prefix string, after uint64) ([]change, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.revision - uint64(len(s.log))
	if after < oldest {
		return nil, 0, nil, false
	}
	found := []change{}
	for _, c := range s.log {
		if c.Version > after && strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	return found, s.revision, s.changed, true
}

// watch waits until there are changes under prefix after the given revision, the wait time has passed, or
// stop is closed. It reports false if the log no longer holds all these changes.
func (s *objects) watch(prefix string, after uint64, wait time.Duration, stop <-chan struct{}) ([]change, uint64, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, revision, changed, ok := s.since(prefix, after)
		if !ok || len(found) > 0 {
			return found, revision, ok
		}
		select {
		case <-changed:
		case <-stop:
			return found, revision, true
		case <-timer.C:
			return found, revision, true
		}
	}
}
