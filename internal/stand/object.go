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

// objects is the versioned data of a Platform. The version of an object is the revision of its
// last write.
type objects struct {
	mu       sync.Mutex
	revision uint64
	live     map[string]object
	// log holds the last changes, the oldest first.
	log  []change
	keep int
	// moved is closed and replaced at each change.
	moved chan struct{}
}

func newObjects(keep int) *objects {
	return &objects{live: map[string]object{}, keep: keep, moved: make(chan struct{})}
}

func (s *objects) get(name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.live[name]
	return o, ok
}

// put returns the new version and true, or the current version and false.
func (s *objects) put(name string, value []byte, ifVersion uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.live[name].Version; current != ifVersion {
		return current, false
	}
	s.record(change{object: object{Name: name, Version: s.revision + 1, Value: value}})
	return s.revision, true
}

// remove returns the version at which the object was deleted and true, or the current version and
// false.
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
	if len(s.log) > s.keep {
		s.log = s.log[len(s.log)-s.keep:]
	}
	close(s.moved)
	s.moved = make(chan struct{})
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

// since returns the changes under prefix after a revision, the revision they lead to, and a
// channel that is closed at the next change. It reports false where the log does not reach back.
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
	return found, s.revision, s.moved, true
}

// watch waits until there are changes under prefix after a revision, until the wait is over, or
// until stop is closed. It reports false where the log does not reach back.
func (s *objects) watch(prefix string, after uint64, wait time.Duration, stop <-chan struct{}) ([]change, uint64, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, revision, moved, ok := s.since(prefix, after)
		if !ok || len(found) > 0 {
			return found, revision, ok
		}
		select {
		case <-moved:
		case <-stop:
			return found, revision, true
		case <-timer.C:
			return found, revision, true
		}
	}
}
