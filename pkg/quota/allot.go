package quota

import "time"

const (
	// burst is how much of its rate a server with a limit that had no requests takes at once.
	burst = time.Second
	// minRate is the least rate in requests per second that is used. Without any request, nobody would hear that a
	// limit of zero has ended.
	minRate = 0.25
	// longestWait bounds the wait of a granted request.
	longestWait = 500 * time.Millisecond
	// maxRetryAfter bounds Reservation.RetryAfter.
	maxRetryAfter = 3 * time.Second
	// idleTime is how long an Allotter keeps the state of a server without requests.
	idleTime = time.Minute
)

// Reservation is the outcome of asking for the time of one request.
type Reservation struct {
	// Granted reports that the request may be sent after Wait.
	Granted bool
	Wait    time.Duration
	// RetryAfter is when a refused request has a chance. Each refused request gets a later time, so that the
	// returning ones arrive at the rate that the server takes.
	RetryAfter time.Duration
	// Free is the time until the server takes another request. A request that does not wait so long is refused.
	Free time.Duration
}

// Allotter reserves the times of requests to servers with limits. It is not safe for concurrent use.
type Allotter struct {
	schedules map[Run]*schedule
}

// schedule has the times that are reserved at one server.
type schedule struct {
	// next is the earliest time that is not reserved.
	next time.Time
	// nextReturn is when the next refused request may return.
	nextReturn time.Time
}

// NewAllotter returns an Allotter without reservations.
func NewAllotter() *Allotter { return &Allotter{schedules: map[Run]*schedule{}} }

// Reserve asks for the time of a request to a server that takes perSecond requests per second. The request waits at
// most maxWait. The first request to a server waits for one interval, since an earlier leader, or processes that had
// not heard of the limit, may just have sent some.
func (a *Allotter) Reserve(now time.Time, r Run, perSecond float64, maxWait time.Duration) Reservation {
	return a.ReserveAt(now, r, LimitPace(perSecond), maxWait)
}

// ReserveAt is Reserve with a Pace. The pace of a server may differ from call to call.
func (a *Allotter) ReserveAt(now time.Time, r Run, p Pace, maxWait time.Duration) Reservation {
	interval := p.interval()
	s := a.schedules[r]
	if s == nil {
		a.prune(now)
		s = &schedule{next: now.Add(p.start())}
		a.schedules[r] = s
	}
	maxWait = min(maxWait, longestWait)
	if latest := now.Add(longestWait + interval); s.next.After(latest) {
		// The rate has risen since the last reservation.
		s.next = latest
	}
	if earliest := now.Add(interval - max(interval, p.burstTime())); s.next.Before(earliest) {
		s.next = earliest
	}
	free := max(0, s.next.Sub(now))
	if free <= maxWait {
		s.next = s.next.Add(interval)
		return Reservation{Granted: true, Wait: free}
	}
	s.nextReturn = later(s.nextReturn, s.next).Add(interval)
	if latest := now.Add(maxRetryAfter); s.nextReturn.After(latest) {
		s.nextReturn = latest
	}
	return Reservation{RetryAfter: s.nextReturn.Sub(now), Free: free}
}

// Reset drops all reservations, for the start of a term of a leader.
func (a *Allotter) Reset() { clear(a.schedules) }

// prune drops the state of servers that have had no requests for long.
func (a *Allotter) prune(now time.Time) {
	for r, s := range a.schedules {
		if now.Sub(s.next) > idleTime {
			delete(a.schedules, r)
		}
	}
}

// intervalOf returns the mean time between the requests of a rate.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minRate))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
