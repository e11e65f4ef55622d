package shard

import (
	"sort"
	"time"
)

const (
	// usageStep is the time after which earlier requests count usageDecay times as much.
	usageStep  = 250 * time.Millisecond
	usageDecay = 0.83
)

// usage counts the requests of each key, recent ones more.
type usage struct {
	counts []float64
	rolled time.Time
	sums   prefix
	stale  bool
}

func (u *usage) add(now time.Time, keys []uint16) {
	u.roll(now)
	for _, k := range keys {
		u.counts[k]++
	}
	u.stale = true
}

// roll lets earlier requests count less.
func (u *usage) roll(now time.Time) {
	if u.counts == nil {
		u.counts = make([]float64, LastKey+1)
		u.sums = make(prefix, LastKey+2)
		u.rolled = now
	}
	if now.Sub(u.rolled) < usageStep {
		return
	}
	u.rolled = now
	for i := range u.counts {
		u.counts[i] *= usageDecay
	}
	u.stale = true
}

// prefix returns the sums of the rates of all keys below each key, in requests a second.
func (u *usage) prefix(now time.Time) prefix {
	u.roll(now)
	if !u.stale {
		return u.sums
	}
	u.stale = false
	sum := 0.0
	for i, c := range u.counts {
		sum += c * (1 - usageDecay) / usageStep.Seconds()
		u.sums[i+1] = sum
	}
	return u.sums
}

// prefix has the load of all keys below each key.
type prefix []float64

// of returns the load of a range.
func (p prefix) of(k Range) float64 { return p[int(k.Last)+1] - p[k.First] }

// split cuts a range into at most n parts of about the same load, or of the same width where there
// is no load.
func (p prefix) split(k Range, n int) []Range {
	var parts []Range
	first := int(k.First)
	load, width := p.of(k), k.Width()
	for i := 1; i < n && first < int(k.Last); i++ {
		end := int(k.First) + width*i/n
		if load > 0 {
			end = p.reach(first, int(k.Last), p[k.First]+load*float64(i)/float64(n))
		}
		if end <= first || end > int(k.Last) {
			continue
		}
		parts = append(parts, Range{First: uint16(first), Last: uint16(end - 1)})
		first = end
	}
	return append(parts, Range{First: uint16(first), Last: k.Last})
}

// reach returns the first end of a range from first on up to which the sum reaches the wanted one.
func (p prefix) reach(first, last int, wanted float64) int {
	return first + sort.Search(last-first+1, func(i int) bool { return p[first+i] >= wanted })
}

// closest returns the part at the end of a range whose load is the closest below or at the wanted
// one, at least one key and not the whole range where it has more than one key.
func (p prefix) closest(k Range, wanted float64) Range {
	if k.Width() < 2 {
		return k
	}
	total := p[int(k.Last)+1]
	i := sort.Search(k.Width()-2, func(i int) bool { return total-p[int(k.First)+1+i] <= wanted })
	return Range{First: k.First + 1 + uint16(i), Last: k.Last}
}
