package dedup

import "time"

// releasedRetention is how long an attempt is kept after it freed its identifier. A Reserve that
// arrives later than that leaves a reservation that no attempt finishes. The identifier is then
// refused as InProgress until its window ends, which is safe.
const releasedRetention = 30 * time.Second

// releasedAttempts holds attempts that freed their identifier, so that a delayed Reserve of the same
// attempt does not reserve it again. It is safe to drop attempts early.
type releasedAttempts struct {
	limit    int
	expiries map[Attempt]time.Time
	order    []Attempt
}

func (r *releasedAttempts) has(a Attempt) bool {
	_, ok := r.expiries[a]
	return ok
}

func (r *releasedAttempts) add(now time.Time, a Attempt) {
	if r.has(a) {
		return
	}
	if len(r.order) >= r.limit {
		r.evictOldest()
	}
	r.expiries[a] = now.Add(releasedRetention)
	r.order = append(r.order, a)
}

func (r *releasedAttempts) expire(now time.Time) {
	for len(r.order) > 0 && !now.Before(r.expiries[r.order[0]]) {
		r.evictOldest()
	}
}

func (r *releasedAttempts) evictOldest() {
	delete(r.expiries, r.order[0])
	r.order = r.order[1:]
}
