package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// endedMemory is how long an ended limit is remembered, so that an older notice from another process does not
	// revive it.
	endedMemory = 10 * time.Second
	// limitMemory is how long a limit counts without another response of the server.
	limitMemory = 90 * time.Second
	// silentTime is the time without a response after which a limit may have ended unheard, see Notice.Silent.
	silentTime = 20 * time.Second
)

// Board holds the latest Notice of each run of a server. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	notices map[Run]Notice
	// unreported has the runs whose notices the leader may not know.
	unreported map[Run]struct{}
	version    uint64
}

// NewBoard returns a Board without notices.
func NewBoard() *Board {
	return &Board{notices: map[Run]Notice{}, unreported: map[Run]struct{}{}}
}

// Hear records what a response to this process said, and reports whether that changes the limit of the server. It
// ignores notices that are older than the latest one, and those of servers without limits.
func (b *Board) Hear(n Notice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.notices[n.Run]
	if !ok && !n.Limited || ok && n.Heard.Before(known.Heard) {
		return false
	}
	b.notices[n.Run] = n
	if ok && known.sameRate(n) {
		return false
	}
	b.version++
	b.unreported[n.Run] = struct{}{}
	return true
}

// Merge records the notice that another process heard, unless this process has a later one. A later one that differs
// is reported to the other process with Unreported.
func (b *Board) Merge(n Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.notices[n.Run]
	switch {
	case ok && !known.Heard.Before(n.Heard):
		if !known.sameRate(n) {
			b.unreported[n.Run] = struct{}{}
		}
		return
	case !ok && !n.Limited:
		return
	}
	b.notices[n.Run] = n
	if !ok || !known.sameRate(n) {
		b.version++
	}
}

// Limit returns the latest notice of a server, and whether it has a limit.
func (b *Board) Limit(r Run) (Notice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.notices[r]
	return n, n.Limited
}

// Notices returns the latest notice of each server that has or had a limit, sorted by server.
func (b *Board) Notices() []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Notice, 0, len(b.notices))
	for _, n := range b.notices {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
	return list
}

// Unreported returns the notices that have changed since its last call and that the leader may not know.
func (b *Board) Unreported() []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Notice
	for r := range b.unreported {
		list = append(list, b.notices[r])
	}
	clear(b.unreported)
	return list
}

// Version increases with each change of a limit.
func (b *Board) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Prune forgets outdated notices, at the leader. It reports nothing to the other processes, which learn of it with the
// next list.
func (b *Board) Prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.notices {
		b.forget(now, r)
	}
}

// Follow merges the leader's list, and forgets outdated notices that are not in it. A process has to keep a limit for as
// long as the leader does, since it may itself have requests for the server only once in a while.
func (b *Board) Follow(now time.Time, list []Notice) {
	for _, n := range list {
		b.Merge(n)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.notices {
		if !slices.ContainsFunc(list, func(n Notice) bool { return n.Run == r }) {
			b.forget(now, r)
		}
	}
}

// Renew counts all limits as heard now. A new leader does not know when other processes heard them last.
func (b *Board) Renew(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r, n := range b.notices {
		if n.Limited {
			n.Heard = now
			b.notices[r] = n
		}
	}
}

// forget drops the notice of a server if it is outdated. The caller holds the lock.
func (b *Board) forget(now time.Time, r Run) {
	n := b.notices[r]
	memory := endedMemory
	if n.Limited {
		memory = limitMemory
	}
	if now.Sub(n.Heard) <= memory {
		return
	}
	delete(b.notices, r)
	delete(b.unreported, r)
	if n.Limited {
		b.version++
	}
}
