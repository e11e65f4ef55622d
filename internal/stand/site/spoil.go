package site

import (
	"math/rand/v2"

	"github.com/samphiredrum/samphiredrum/internal/stand/mangle"
)

// Mangle sets the faults of the bytes that the server sends.
func (s *Server) Mangle(f mangle.Faults) { s.mangler.Set(f) }

// Reject makes the server reject the given percentage of the requests as a full one does.
func (s *Server) Reject(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectPercent = percent
}

func (s *Server) drawReject() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.IntN(100) < s.rejectPercent
}
