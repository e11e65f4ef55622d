package back

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// NotAfter maps a deadline that was taken from clock.Clock.Latest, such as the end of a lease, to
// the clock of the server that m follows, for Call.NotAfter and Server.Grant. It reports false
// where m knows no reading. The readings of m have to be observed with Trip.Answered.
//
// The mapping works on clock.Clock.Now: a forward step of the wall clock between a reading and the
// deadline moves Latest but not the server's clock, and would otherwise give a NotAfter that is
// too late by the step.
func NotAfter(c clock.Clock, m *lease.ServerClock, deadline time.Time) (time.Time, bool) {
	// Now is read first, so that a pause between the two readings gives an earlier time.
	now := c.Now()
	return m.NotAfter(now.Add(deadline.Sub(c.Latest())))
}
