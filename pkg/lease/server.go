package lease

import "time"

// ServerClock converts times of this process to the clock of one backend server. The converted times
// are only meant for that server. The zero value has no reading of the server's clock.
type ServerClock struct {
	margin Margin
	// reading is the server's clock in the answer that arrived at answeredAt.
	answeredAt time.Time
	reading    time.Time
}

// NewServerClock returns a ServerClock without a reading, for clock rates that differ by at most m.Rate.
func NewServerClock(m Margin) *ServerClock {
	return &ServerClock{margin: m}
}

// Observe records that the answer of the server that arrived at answeredAt contained the reading of its
// clock. If the server's clock has gone back, Observe discards the readings and returns false, because a
// deadline that is converted with an earlier reading would be too late for the server.
func (s *ServerClock) Observe(answeredAt, reading time.Time) bool {
	if s.hasReading() && reading.Before(s.reading) && !answeredAt.Before(s.answeredAt) {
		s.reading = time.Time{}
		return false
	}
	if answeredAt.After(s.answeredAt) || !s.hasReading() {
		s.answeredAt = answeredAt
		s.reading = reading
	}
	return true
}

// NotAfter converts deadline to a time that the server's clock reaches no later than this process
// reaches deadline. It returns false if there is no reading of the server's clock.
//
// The server took the reading before answeredAt, so its clock shows at least that reading at
// answeredAt. From then on it runs at no less than (1-Rate) times the rate of this process's clock.
func (s *ServerClock) NotAfter(deadline time.Time) (time.Time, bool) {
	if !s.hasReading() {
		return time.Time{}, false
	}
	remaining := deadline.Sub(s.answeredAt)
	drift := time.Duration(float64(remaining) * s.margin.Rate)
	if remaining < 0 {
		drift = -drift
	}
	return s.reading.Add(remaining - drift), true
}

func (s *ServerClock) hasReading() bool {
	return !s.reading.IsZero()
}

// Cleared returns a new ServerClock with the same margin and without a reading, for the next run of the
// server. It leaves s unchanged.
func (s *ServerClock) Cleared() *ServerClock {
	return NewServerClock(s.margin)
}
