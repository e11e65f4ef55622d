// Package evac keeps the evacuations of failure domains that a process knows.
//
// The load pattern is an operator who evacuates one or more failure domains, and takes them back, while the store fails,
// answers from a copy that lags, or comes back from an older copy. A process gets reports from its own reads of the store
// and from the leader. Reports are ordered by the version of the store:
//
//   - A report of a later version replaces what is known.
//   - A report of an earlier version that says something else is ignored, unless such reports go on for longer than the
//     store may lag: then the store has gone back without naming a new era.
//   - After the store has come back from an older copy, which may lack evacuations, they stay in force for recoveryTime.
//
// A failed read is no report, so it changes nothing.
//
// # Usage
//
//	board := evac.New(maxSkew)
//	changes, current := board.Update(now, evac.Report{At: sent, Version: version, Domains: domains})
//	since, evacuated := board.Domains()["domain-a"]
package evac

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
)

const (
	// recoveryTime is how long evacuations stay in force that the first reports of a new era of the store lack.
	recoveryTime = 2400 * time.Millisecond
	// defaultSkew is how far the store may lag if the deployment does not say.
	defaultSkew = 5 * time.Second
)

// Report is what a list of the evacuations says.
type Report struct {
	// At is a time at which the list was current: before the call that returned it was sent.
	At time.Time
	// Version is the version of the store at which the list was taken.
	Version uint64
	// Domains has the evacuated failure domains, each with the latest time at which the reporter knew that it was not
	// evacuated, the zero time if the reporter does not know one.
	Domains map[string]time.Time
}

// Change is the beginning or the end of an evacuation.
type Change struct {
	Domain string
	// Began is false if the evacuation has ended.
	Began bool
}

// Board holds the evacuations. It is not safe for concurrent use.
type Board struct {
	skew    time.Duration
	known   bool
	version uint64
	// confirmed is the latest time at which the evacuations are known to have been current.
	confirmed time.Time
	domains   map[string]time.Time
	// olderSince is the time of the first of the reports of earlier versions that came one after the other, the zero time
	// if the last report was not one.
	olderSince time.Time
	// restored is when a report of a new era of the store was first seen.
	restored time.Time
}

// New returns a Board without evacuations for a store whose answers lag by up to skew, 0 for the default.
func New(skew time.Duration) *Board {
	return &Board{skew: cmp.Or(skew, defaultSkew), domains: map[string]time.Time{}}
}

// Known reports whether there has been a report.
func (b *Board) Known() bool { return b.known }

// Version returns the version of the store at which the evacuations were read.
func (b *Board) Version() uint64 { return b.version }

// Confirmed returns the latest time at which the evacuations are known to have been current, the zero time if there was no
// report.
func (b *Board) Confirmed() time.Time { return b.confirmed }

// Domains returns the evacuated failure domains, each with the latest time at which it was known not to be evacuated, the
// zero time if there is none. The caller must not change the map.
func (b *Board) Domains() map[string]time.Time { return b.domains }

// Update applies a report. It returns the changes, sorted by domain, and whether the report was as late as what was known.
func (b *Board) Update(now time.Time, r Report) (changes []Change, current bool) {
	if b.known && r.Version < b.version && !b.agrees(r) && !b.replaces(r) {
		return nil, false
	}
	b.olderSince = time.Time{}
	if b.known && store.EraOf(r.Version) > store.EraOf(b.version) {
		b.restored = now
	}
	next := b.merge(now, r)
	for domain := range next {
		if _, ok := b.domains[domain]; !ok {
			changes = append(changes, Change{Domain: domain, Began: true})
		}
	}
	for domain := range b.domains {
		if _, ok := next[domain]; !ok {
			changes = append(changes, Change{Domain: domain})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Domain, y.Domain) })
	if !b.agrees(r) || r.Version > b.version {
		b.version = r.Version
	}
	b.domains, b.known = next, true
	b.confirmed = later(b.confirmed, r.At)
	return changes, true
}

// agrees reports whether a report has the same evacuations as the Board.
func (b *Board) agrees(r Report) bool {
	return maps.EqualFunc(b.domains, r.Domains, func(time.Time, time.Time) bool { return true })
}

// replaces reports whether a report of an earlier version replaces what is known: such reports, each from after the last
// report that counted, have gone on for longer than the store may lag.
func (b *Board) replaces(r Report) bool {
	if !r.At.After(b.confirmed) {
		return false
	}
	if b.olderSince.IsZero() {
		b.olderSince = r.At
	}
	return r.At.Sub(b.olderSince) > b.skew
}

// merge returns the evacuations after a report.
func (b *Board) merge(now time.Time, r Report) map[string]time.Time {
	next := make(map[string]time.Time, len(r.Domains))
	for domain, since := range r.Domains {
		known, ok := b.domains[domain]
		switch {
		case !ok:
			next[domain] = later(b.confirmed, since)
		case known.IsZero():
			next[domain] = since
		default:
			next[domain] = known
		}
	}
	if now.Sub(b.restored) >= recoveryTime {
		return next
	}
	for domain, since := range b.domains {
		if _, ok := next[domain]; !ok {
			next[domain] = since
		}
	}
	return next
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
