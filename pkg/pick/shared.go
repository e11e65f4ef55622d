package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// SharedPicker is a Picker that is safe for concurrent use.
type SharedPicker struct {
	mu     sync.Mutex
	picker *Picker
}

// NewSharedPicker returns a SharedPicker without servers. No other code may use random afterwards.
func NewSharedPicker(c Config, random *rand.Rand) *SharedPicker {
	return &SharedPicker{picker: New(c, random)}
}

// Update calls Picker.Update.
func (s *SharedPicker) Update(now time.Time, servers []assign.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Update(now, servers)
}

// Report calls Picker.Report.
func (s *SharedPicker) Report(now time.Time, id assign.ServerID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Report(now, id, r)
}

// Take calls Picker.Pick and Picker.Start under one lock, so that concurrent calls see each other's
// calls in flight.
func (s *SharedPicker) Take(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	return s.TakeFor(now, Call{Avoid: avoid})
}

// TakeFor calls Picker.PickFor and Picker.StartFor under one lock.
func (s *SharedPicker) TakeFor(now time.Time, c Call) (assign.ServerID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.picker.PickFor(now, c)
	if ok {
		s.picker.StartFor(now, id, c)
	}
	return id, ok
}

// Spillover calls Picker.Spillover.
func (s *SharedPicker) Spillover(now time.Time) Spillover {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Spillover(now)
}

// Done calls Picker.Done.
func (s *SharedPicker) Done(now time.Time, id assign.ServerID, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, id, r)
}

// Hold calls Picker.Hold.
func (s *SharedPicker) Hold(id assign.ServerID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Hold(id, until)
}

// Ejected calls Picker.Ejected.
func (s *SharedPicker) Ejected(now time.Time) []assign.ServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Ejected(now)
}
