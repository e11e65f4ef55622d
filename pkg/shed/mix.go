package shed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// recentTime and usualTime are the times after which a request has lost most of its weight. A mix follows a burst within
	// recentTime if it has enough requests. Otherwise the usual mix counts.
	recentTime = time.Second
	usualTime  = 15 * time.Second
	// recentPrior and usualPrior are the numbers of requests with which the next wider mix counts in a narrower one. They
	// keep a process with few requests from judging by the last two or three.
	recentPrior = 4.0
	usualPrior  = 4.0
	// balanceTime is the time after which rejections no longer count for the balance of a server, balanceGain is how fast it is
	// made up for, and balancePrior keeps single requests from weighing much.
	balanceTime  = 5 * time.Second
	balanceGain  = 1.0
	balancePrior = 4.0
	// minWeight is the weight below which a rank is dropped.
	minWeight = 1e-3
	// maxRanks bounds the number of ranks that are kept. Requests of more ranks count for the least urgent one of them.
	maxRanks = 16
)

// share is the share of all requests that a rank has.
type share struct {
	rank int
	part float64
}

// traffic has the mix of ranks of the requests to a service or a server.
type traffic struct {
	recent, usual counts
	balance       balance
}

func (t *traffic) count(now time.Time, rank int) {
	t.recent.add(now, recentTime, rank)
	t.usual.add(now, usualTime, rank)
}

// shares returns the mix of the requests other than one of the given rank, sorted by rank. With that one, processes with few
// requests would take its rank for a large part of the load and reject too little of it. The prior is the mix of a wider group
// of requests, which counts while there are few requests, nil for none.
func (t *traffic) shares(except int, prior []share) []share {
	return t.recent.shares(except, t.usual.shares(except, prior, usualPrior), recentPrior)
}

// balance makes the total that is rejected right where the mix is not, for example shortly after a burst. It compares
// the rejections at a server with its excess, with exponential decay.
type balance struct {
	arrived, excess, rejected float64
	decayed                   time.Time
}

// correct returns the excess that makes up for what was rejected too little or too much.
func (b *balance) correct(now time.Time, excess float64) float64 {
	factor := math.Exp(-max(0, now.Sub(b.decayed).Seconds()) / balanceTime.Seconds())
	b.decayed = now
	b.arrived = b.arrived*factor + 1
	b.excess = b.excess*factor + excess
	b.rejected *= factor
	return min(1-minAdmitted, max(0, excess+balanceGain*(b.excess-excess-b.rejected)/(b.arrived+balancePrior)))
}

// count counts the probability with which a request was rejected.
func (b *balance) count(probability float64) { b.rejected += probability }

// counts has the number of requests of each rank with exponential decay, sorted by rank.
type counts struct {
	ranks   []share
	decayed time.Time
}

// add counts a request.
func (c *counts) add(now time.Time, decay time.Duration, rank int) {
	c.decay(now, decay)
	i, found := slices.BinarySearchFunc(c.ranks, rank, compareRank)
	switch {
	case found:
	case len(c.ranks) < maxRanks:
		c.ranks = slices.Insert(c.ranks, i, share{rank: rank})
	default:
		i = maxRanks - 1
	}
	c.ranks[i].part++
}

// decay reduces the weight of earlier requests and drops ranks that have had none for long.
func (c *counts) decay(now time.Time, decay time.Duration) {
	passed := now.Sub(c.decayed)
	if passed <= 0 {
		return
	}
	c.decayed = now
	factor := math.Exp(-passed.Seconds() / decay.Seconds())
	for i := range c.ranks {
		c.ranks[i].part *= factor
	}
	c.ranks = slices.DeleteFunc(c.ranks, func(s share) bool { return s.part < minWeight })
}

// shares returns the share of each rank without a request of the given one, where the prior mix counts as the given number
// of requests.
func (c *counts) shares(except int, prior []share, weight float64) []share {
	merged := make([]share, 0, len(c.ranks)+len(prior))
	for _, s := range c.ranks {
		if s.rank == except {
			s.part = max(0, s.part-1)
		}
		merged = append(merged, s)
	}
	for _, s := range prior {
		i, found := slices.BinarySearchFunc(merged, s.rank, compareRank)
		if !found {
			merged = slices.Insert(merged, i, share{rank: s.rank})
		}
		merged[i].part += s.part * weight
	}
	total := 0.0
	for _, s := range merged {
		total += s.part
	}
	if total < minWeight {
		return nil
	}
	for i := range merged {
		merged[i].part /= total
	}
	return merged
}

func compareRank(s share, rank int) int { return cmp.Compare(s.rank, rank) }
