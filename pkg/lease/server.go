package lease

import "time"

// ServerClock maps times of this process to the clock of one backend server. The server's clock
// is only ever given back to the same server. The zero value knows no reading.
type ServerClock struct {
	margin     Margin
	answeredAt time.Time
	reading    time.Time
}

// NewServerClock returns a ServerClock that allows for the rate difference of m.
func NewServerClock(m Margin) *ServerClock {
	return &ServerClock{margin: m}
}

// Observe records that a server whose answer arrived at answeredAt read its clock as reading. It
// reports false, and forgets what it knew, where the server's clock has gone back: an earlier
// mapping would then allow work for too long.
func (s *ServerClock) Observe(answeredAt, reading time.Time) bool {
	if s.known() && reading.Before(s.reading) && !answeredAt.Before(s.answeredAt) {
		s.reading = time.Time{}
		return false
	}
	if answeredAt.After(s.answeredAt) || !s.known() {
		s.answeredAt = answeredAt
		s.reading = reading
	}
	return true
}

// NotAfter returns a time in the server's clock that the server's clock reaches no later than this
// process reaches deadline. It reports false where no reading of the server's clock is known.
//
// The reading was taken before answeredAt, so at answeredAt the server's clock reads at least
// reading; from there on it runs at least at (1-Rate) of this process's clock.
func (s *ServerClock) NotAfter(deadline time.Time) (time.Time, bool) {
	if !s.known() {
		return time.Time{}, false
	}
	ahead := deadline.Sub(s.answeredAt)
	slow := time.Duration(float64(ahead) * s.margin.Rate)
	if ahead < 0 {
		slow = -slow
	}
	return s.reading.Add(ahead - slow), true
}

func (s *ServerClock) known() bool {
	return !s.reading.IsZero()
}

// Cleared returns a ServerClock with the same margin that knows no reading, for another run of the
// server.
func (s *ServerClock) Cleared() *ServerClock {
	return NewServerClock(s.margin)
}
