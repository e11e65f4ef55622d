package back

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// NotAfter converts a deadline on the scale of clock.Clock.Latest, such as the end of a lease, to
// the clock of the server that m tracks, for Call.NotAfter and Server.Grant. It returns false if m
// has no reading. The readings of m must be observed with Trip.Answered.
//
// The conversion uses clock.Clock.Now. A forward step of the wall clock after a reading moves Latest
// but not the server's clock, so a conversion from Latest would be too late by that step.
func NotAfter(c clock.Clock, m *lease.ServerClock, deadline time.Time) (time.Time, bool) {
	// Now is read first: a pause between the two readings then makes the result earlier, which is safe.
	now := c.Now()
	return m.NotAfter(now.Add(deadline.Sub(c.Latest())))
}
