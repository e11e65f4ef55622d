// Package quota keeps the requests that many processes send to a server within the rate that the server names.
//
// A server in need names in its responses how many requests per second it takes from all processes together. No
// process knows what the others send, so that a fixed share for each would either refuse too much or, with many
// processes and a low rate, let one request of each through at once. Instead one process, the leader, reserves the
// times at which requests may be sent, and the others ask it before each request to such a server.
//
//   - A Board holds the latest Notice of each server, wherever it was heard.
//   - An Allotter reserves times at the leader. It keeps the rate over any few seconds, however the requests arrive.
//     A server that is cold after its start is paced in the same way, see ColdPace, although it names no rate.
//   - Permits is the state of a process that asks: refusals that are already known, and a cautious rate of its own
//     while no leader answers.
//
// No type starts a goroutine or reads a clock. The load pattern that they answer is a server that takes a fraction of
// the requests for its keys, for seconds or minutes, while all processes have requests for it.
//
// # Usage
//
//	board := quota.NewBoard()
//	if board.Hear(quota.Notice{Run: run, Limited: true, PerSecond: 3, Heard: now}) {
//		// log the change
//	}
//	if n, limited := board.Limit(run); limited {
//		r := allotter.Reserve(now, run, n.PerSecond, maxWait)
//		if r.Granted {
//			// send the request after r.Wait
//		} else {
//			// refuse it, with r.RetryAfter
//		}
//	}
package quota

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Run identifies one run of a server. Another run has named no rate yet.
type Run struct {
	Server assign.ServerID
	// Born is the start time of the run in Unix ms.
	Born int64
}

// Notice is what the response of a server says about its rate.
type Notice struct {
	Run
	// Limited reports whether the server named a rate.
	Limited bool
	// PerSecond is the number of requests per second that the server takes from all processes together.
	PerSecond float64
	// Heard is when the response arrived.
	Heard time.Time
}

// Silent reports whether the server has not responded for so long that its limit may have ended. A server that has lost all its
// keys because of its limit gets no requests, so that nobody hears of the end: it should get some again, at the rate of its
// limit until it responds.
func (n Notice) Silent(now time.Time) bool { return now.Sub(n.Heard) > silentTime }

// sameRate reports whether both notices say the same.
func (n Notice) sameRate(o Notice) bool {
	return n.Limited == o.Limited && (!n.Limited || n.PerSecond == o.PerSecond)
}
