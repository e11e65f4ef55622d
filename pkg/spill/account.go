package spill

import (
	"math"
	"slices"
	"time"
)

const (
	// homeHalfLife is the time after which a result at home counts half. That of the other domains is longer, since few
	// requests go there.
	homeHalfLife = 2 * time.Second
	awayHalfLife = 8 * time.Second
	// homePrior is the number of good results that are assumed, so that a single bad one is no pressure by itself. It is
	// smaller for other domains, so that few results suffice to keep requests at home.
	homePrior = 2.0
	awayPrior = 0.5
	// lateFrom is the fraction of the objective above which a latency counts as bad in part.
	lateFrom = 0.5
	// roomPressure is the pressure of a domain below which it has room for a request that was rejected at home.
	roomPressure = 0.25
	// minRoom is the least fraction of a domain's slots that counts when leaving requests are distributed.
	minRoom = 0.02
	// crowdRange is the number of requests in flight per slot beyond one at which the pressure is full.
	crowdRange = 0.5
	// minAnswers is the number of responses from which the added latency of the way is learned.
	minAnswers = 5
	// knownWeight is the sum of the decayed results below which the learned latency is out of date.
	knownWeight = 0.5
	// fastestRise is the weight with which a longer latency raises the shortest one.
	fastestRise = 0.02
	// maxStarts is the largest number of requests whose objectives have not ended that are kept. Above it, responses alone are
	// frequent enough.
	maxStarts = 128
)

// account holds the results of the requests of this process to one failure domain.
type account struct {
	halfLife time.Duration
	prior    float64
	// bad and weight are the sums of badness and number of the results, which decay with age.
	bad, weight float64
	updated     time.Time
	inFlight    int
	// due has the times at which the objectives of started requests end, in the order of their starts. Some of these requests may
	// have finished.
	due []time.Time
	// unknownUntil is the latest of the times that were removed because there were more than maxStarts.
	unknownUntil time.Time
	// objective is the longest objective of the requests so far.
	objective time.Duration
	// fastest is the shortest recent latency of the answers.
	fastest time.Duration
	answers int
}

// decay reduces the sums for the time since the last result.
func (a *account) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(a.updated).Seconds()) / a.halfLife.Seconds())
	a.bad *= factor
	a.weight *= factor
	a.updated = now
}

func (a *account) start(now time.Time, objective time.Duration) {
	a.inFlight++
	a.objective = max(a.objective, objective)
	a.prune(now)
	if len(a.due) == maxStarts {
		if a.due[0].After(a.unknownUntil) {
			a.unknownUntil = a.due[0]
		}
		a.due = append(a.due[:0], a.due[1:]...)
	}
	a.due = append(a.due, now.Add(objective))
}

// prune removes the times that have passed.
func (a *account) prune(now time.Time) {
	a.due = slices.DeleteFunc(a.due, func(t time.Time) bool { return t.Before(now) })
}

// overdue returns a lower bound of the requests in flight that have taken longer than their objectives.
func (a *account) overdue(now time.Time) int {
	a.prune(now)
	if now.Before(a.unknownUntil) {
		return 0
	}
	return max(0, a.inFlight-len(a.due))
}

func (a *account) finish(now time.Time, r Result) {
	a.inFlight = max(0, a.inFlight-1)
	if r.Ignore {
		return
	}
	a.decay(now)
	a.weight++
	a.bad += badness(r)
	if r.Rejected || r.Failed {
		return
	}
	if a.weight < 1+knownWeight {
		a.answers = 0
	}
	a.answers++
	if a.answers == 1 || r.Latency < a.fastest {
		a.fastest = r.Latency
	}
	a.fastest += time.Duration(fastestRise * float64(r.Latency-a.fastest))
}

// known reports whether the shortest latency is known and recent.
func (a *account) known(now time.Time) bool {
	a.decay(now)
	return a.answers >= minAnswers && a.weight >= knownWeight
}

// badness returns how bad a result is, from 0 to 1.
func badness(r Result) float64 {
	if r.Rejected || r.Failed {
		return 1
	}
	if r.Objective <= 0 {
		return 0
	}
	used := float64(r.Latency) / float64(r.Objective)
	return min(1, max(0, (used-lateFrom)/(1-lateFrom)))
}

// pressure returns the recent share of bad results, from 0 to 1. Requests that are overdue count as results.
func (a *account) pressure(now time.Time) float64 {
	a.decay(now)
	overdue := float64(a.overdue(now))
	return (a.bad + overdue) / (a.weight + overdue + a.prior)
}
