package shard

import (
	"sort"
	"time"
)

const (
	// decayInterval is the time between two decays of the request counts.
	decayInterval = 250 * time.Millisecond
	// decayFactor is the factor by which each decay multiplies the counts.
	decayFactor = 0.83
)

// usage counts the requests for each key with exponential decay, so that recent requests weigh more.
type usage struct {
	counts    []float64
	lastDecay time.Time
	// sums caches the result of prefixSums.
	sums prefixSums
	// stale reports that counts has changed since sums was computed.
	stale bool
}

// add counts one request for each of the keys. Requests that came in more than the window in which they count, since their
// process had no leader to report them to, count by their rate: all at once, they would show too high a load.
func (u *usage) add(now time.Time, keys []uint16, over time.Duration) {
	u.decay(now)
	each := 1.0
	if window := decayInterval.Seconds() / (1 - decayFactor); over.Seconds() > window {
		each = window / over.Seconds()
	}
	for _, k := range keys {
		u.counts[k] += each
	}
	u.stale = true
}

// decay multiplies all counts by decayFactor if decayInterval has passed since the last time.
func (u *usage) decay(now time.Time) {
	if u.counts == nil {
		u.counts = make([]float64, LastKey+1)
		u.sums = make(prefixSums, LastKey+2)
		u.lastDecay = now
	}
	if now.Sub(u.lastDecay) < decayInterval {
		return
	}
	u.lastDecay = now
	for i := range u.counts {
		u.counts[i] *= decayFactor
	}
	u.stale = true
}

// prefixSums returns the prefix sums of the request rates of all keys.
func (u *usage) prefixSums(now time.Time) prefixSums {
	u.decay(now)
	if !u.stale {
		return u.sums
	}
	u.stale = false
	sum := 0.0
	for i, c := range u.counts {
		sum += c * (1 - decayFactor) / decayInterval.Seconds()
		u.sums[i+1] = sum
	}
	return u.sums
}

// prefixSums has at index k the load of all keys below k, in requests per second.
type prefixSums []float64

// sum returns the load of a range.
func (p prefixSums) sum(keys Range) float64 { return p[int(keys.Last)+1] - p[keys.First] }

// split divides a range into at most n parts of about the same load, or of about the same width if the
// range has no load.
func (p prefixSums) split(keys Range, n int) []Range {
	var parts []Range
	first := int(keys.First)
	load, width := p.sum(keys), keys.Width()
	for i := 1; i < n && first < int(keys.Last); i++ {
		end := int(keys.First) + width*i/n
		if load > 0 {
			end = p.searchEnd(first, int(keys.Last), p[keys.First]+load*float64(i)/float64(n))
		}
		if end <= first || end > int(keys.Last) {
			continue
		}
		parts = append(parts, Range{First: uint16(first), Last: uint16(end - 1)})
		first = end
	}
	return append(parts, Range{First: uint16(first), Last: keys.Last})
}

// searchEnd returns the lowest index in [first, last] whose prefix sum is at least the target, or last+1 if
// there is none.
func (p prefixSums) searchEnd(first, last int, target float64) int {
	return first + sort.Search(last-first+1, func(i int) bool { return p[first+i] >= target })
}

// suffix returns the longest part at the end of a range whose load is at most the target. The part always has the last
// key, even if the load of that key exceeds the target, and never the first key. A range of one key is returned whole.
func (p prefixSums) suffix(keys Range, target float64) Range {
	if keys.Width() < 2 {
		return keys
	}
	end := p[int(keys.Last)+1]
	i := sort.Search(keys.Width()-2, func(i int) bool { return end-p[int(keys.First)+1+i] <= target })
	return Range{First: keys.First + 1 + uint16(i), Last: keys.Last}
}
