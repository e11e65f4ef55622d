// Package shed decides which requests to reject when a server has more requests than it can run.
//
// The leader computes for each server the share of its requests that is in excess (shard.Row.Shed). Each process rejects that
// share of the requests for the server before it sends them, the least urgent ones first:
//
//   - A Policy keeps the recent mix of ranks (the priorities of rules, 0 is the most urgent) of the requests to a service,
//     and to each server with an excess.
//   - From the mix and the excess follows for each rank which share of it to reject. The least urgent rank is rejected up to
//     a small part, then the next one. A more urgent rank is never rejected with a higher probability than a less urgent one.
//   - Requests of a caller that repeats them too often are rejected before all ranks, but not without an excess.
//   - Each request is rejected at random with the probability of its rank, so that processes need not coordinate.
//
// No type starts a goroutine or reads a clock. The load pattern is a service with requests of several ranks whose least
// urgent rank is smaller than the excess: rejecting only that rank left most of the excess to fill the server's queue,
// where urgent requests were rejected like the others, or waited too long.
//
// # Usage
//
//	p := shed.New(random)
//	rank := p.Count(now, request)
//	d := p.Decide(now, server, rank, excess)
//	if d.Reject {
//		// reject the request, with a Retry-After time that grows with d.Excess()
//		p.Tell(now, request, after)
//	}
package shed

import (
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// minAdmitted is the share of each rank that is admitted at least, so that no rank is starved.
	minAdmitted = 1.0 / 16
	// maxServers bounds the number of servers whose mix is kept. Only servers with an excess have one.
	maxServers = 256
	// serverMemory is how long the mix of a server without an excess is kept.
	serverMemory = 30 * time.Second
)

// Decision is the decision about one request.
type Decision struct {
	// Reject reports that the request is to be rejected.
	Reject bool
	// Probability is the share of the requests of the same rank that are rejected at present.
	Probability float64
}

// Excess returns the number of requests of the rank that are rejected for each one that is admitted.
func (d Decision) Excess() float64 { return d.Probability / (1 - d.Probability) }

// Policy decides for one service. It is not safe for concurrent use.
type Policy struct {
	random  *rand.Rand
	service traffic
	callers callers
	servers map[assign.ServerID]*traffic
}

// New returns a Policy. No other code may use random afterwards.
func New(random *rand.Rand) *Policy {
	return &Policy{random: random, callers: newCallers(random), servers: map[assign.ServerID]*traffic{}}
}

// Count counts a request to the service. It returns the rank by which to decide: that of the request, or Repeated.
func (p *Policy) Count(now time.Time, r Request) int {
	rank := p.callers.judge(now, r)
	p.service.count(now, rank)
	return rank
}

// Tell records that a request was rejected with a Retry-After time.
func (p *Policy) Tell(now time.Time, r Request, after time.Duration) { p.callers.tell(now, r, after) }

// Decide decides about a request with the rank that Count returned. The excess is the share of all requests to the server that it
// cannot run. The server is "" if it is not known.
func (p *Policy) Decide(now time.Time, server assign.ServerID, rank int, excess float64) Decision {
	if excess <= 0 {
		return Decision{}
	}
	mix := p.service.shares(rank, nil)
	t := p.server(now, server)
	if t == nil {
		return p.decide(rejected(mix, rank, excess))
	}
	t.count(now, rank)
	probability := rejected(t.shares(rank, mix), rank, t.balance.correct(now, excess))
	t.balance.count(probability)
	return p.decide(probability)
}

func (p *Policy) decide(probability float64) Decision {
	return Decision{Reject: p.random.Float64() < probability, Probability: probability}
}

// server returns the traffic of a server, nil if the server is not known or too many others are kept.
func (p *Policy) server(now time.Time, id assign.ServerID) *traffic {
	if t := p.servers[id]; t != nil || id == "" {
		return t
	}
	if len(p.servers) >= maxServers {
		p.prune(now)
	}
	if len(p.servers) >= maxServers {
		return nil
	}
	t := &traffic{}
	p.servers[id] = t
	return t
}

// prune drops the servers without an excess.
func (p *Policy) prune(now time.Time) {
	for id, t := range p.servers {
		if now.Sub(t.recent.decayed) > serverMemory {
			delete(p.servers, id)
		}
	}
}

// rejected returns the probability with which requests of a rank are rejected. The mix is sorted by rank, and empty if there
// were no other requests.
func rejected(mix []share, rank int, excess float64) float64 {
	if len(mix) == 0 {
		return min(1-minAdmitted, excess)
	}
	left := excess
	for i := len(mix) - 1; i >= 0 && left > 0; i-- {
		probability := 1 - minAdmitted
		if left < probability*mix[i].part {
			probability = left / mix[i].part
		}
		if mix[i].rank <= rank {
			return probability
		}
		left = max(0, left-probability*mix[i].part)
	}
	return 0
}

// Callers returns the number of callers that are kept.
func (p *Policy) Callers() int { return len(p.callers.byAddr) }
