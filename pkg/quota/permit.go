package quota

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// aloneShare is the fraction of a rate that all processes together use while no leader answers them. Their
	// requests are not coordinated then, so that the number in a few seconds varies.
	aloneShare = 0.5
	// coldAloneShare replaces aloneShare for cold servers. Processes that reach the leader use the rest meanwhile.
	coldAloneShare = 0.25
	// aloneHorizon bounds the time for which an unused share of a process counts.
	aloneHorizon = time.Second
	// assumedProcesses is the number of processes while it is unknown.
	assumedProcesses = 300
	// processesMemory is how long the largest number of processes counts. A new leader does not know all of them
	// at first.
	processesMemory = 15 * time.Second
)

// Permits holds what a process knows besides the limits: refusals that still hold, and its own share while no leader
// answers. It is safe for concurrent use.
type Permits struct {
	mu      sync.Mutex
	random  *rand.Rand
	refused map[Run]refusal
	// alone has the time of the last request to each server that was decided without a leader.
	alone map[Run]time.Time
	// aloneSent has the time of the last request to each cold server that was granted without a leader.
	aloneSent map[Run]time.Time
	// processes is the largest number of processes since processesSince.
	processes      int
	processesSince time.Time
}

// refusal is the last refusal of the leader for a server.
type refusal struct {
	// freeAt is when the server takes another request, and returnAt when the last refused request may return.
	freeAt, returnAt time.Time
}

// NewPermits returns a Permits. No other code may use random afterwards.
func NewPermits(random *rand.Rand) *Permits {
	return &Permits{random: random, refused: map[Run]refusal{}, alone: map[Run]time.Time{}, aloneSent: map[Run]time.Time{}}
}

// SetProcesses sets the number of processes that share the rates, 0 if it is unknown.
func (p *Permits) SetProcesses(now time.Time, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n >= p.processes || now.Sub(p.processesSince) > processesMemory {
		p.processes, p.processesSince = n, now
	}
}

// Refused reports whether a request that waits at most maxWait would be refused by the leader, and with which
// Reservation. Such a request need not ask.
func (p *Permits) Refused(now time.Time, r Run, perSecond float64, maxWait time.Duration) (Reservation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.refused[r]
	if !ok {
		return Reservation{}, false
	}
	free := known.freeAt.Sub(now)
	if free <= maxWait {
		delete(p.refused, r)
		return Reservation{}, false
	}
	known.returnAt = known.returnAt.Add(intervalOf(perSecond))
	if latest := now.Add(maxRetryAfter); known.returnAt.After(latest) {
		known.returnAt = latest
	}
	p.refused[r] = known
	return Reservation{RetryAfter: known.returnAt.Sub(now), Free: free}, true
}

// Answered records the leader's answer.
func (p *Permits) Answered(now time.Time, run Run, r Reservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Granted {
		delete(p.refused, run)
		return
	}
	p.refused[run] = refusal{freeAt: now.Add(r.Free), returnAt: now.Add(r.RetryAfter)}
}

// Alone decides about a request while no leader answers. The process grants its share of a part of the rate by chance
// and not by a schedule: with schedules, the first requests of hundreds of processes would all be granted at once.
func (p *Permits) Alone(now time.Time, r Run, perSecond float64) Reservation {
	return p.AloneAt(now, r, LimitPace(perSecond))
}

// AloneAt is Alone with a Pace. A cold server gets at most one request per aloneHorizon from this process.
func (p *Permits) AloneAt(now time.Time, r Run, pace Pace) Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	processes := p.processes
	if processes == 0 {
		processes = assumedProcesses
	}
	share := pace.aloneShare() * max(pace.PerSecond, minRate) / float64(processes)
	sinceLast := min(aloneHorizon, now.Sub(p.alone[r]))
	p.alone[r] = now
	refused := Reservation{RetryAfter: aloneHorizon, Free: 0}
	if p.random.Float64() >= share*sinceLast.Seconds() {
		return refused
	}
	if pace.Cold {
		if now.Sub(p.aloneSent[r]) < aloneHorizon {
			return refused
		}
		p.aloneSent[r] = now
	}
	return Reservation{Granted: true}
}

// Prune forgets the servers that have had no request for long.
func (p *Permits) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.refused, func(_ Run, r refusal) bool { return now.Sub(r.freeAt) > idleTime })
	for _, times := range []map[Run]time.Time{p.alone, p.aloneSent} {
		maps.DeleteFunc(times, func(_ Run, at time.Time) bool { return now.Sub(at) > idleTime })
	}
}
