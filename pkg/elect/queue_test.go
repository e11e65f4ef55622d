package elect_test

import "time"

// queued is a function that runs at a real time.
type queued struct {
	at  time.Duration
	seq int
	f   func()
}

func (q queued) before(other queued) bool {
	return q.at < other.at || q.at == other.at && q.seq < other.seq
}

// queue is a binary heap. container/heap would allocate for each item, which doubles the time of
// the schedules.
type queue struct {
	items []queued
	seq   int
}

func (q *queue) push(at time.Duration, f func()) {
	q.seq++
	q.items = append(q.items, queued{at: at, seq: q.seq, f: f})
	i := len(q.items) - 1
	for i > 0 && q.items[i].before(q.items[(i-1)/2]) {
		q.items[i], q.items[(i-1)/2] = q.items[(i-1)/2], q.items[i]
		i = (i - 1) / 2
	}
}

func (q *queue) pop() queued {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = queued{}
	q.items = q.items[:last]
	q.sink()
	return first
}

// sink restores the order of the heap below its first item.
func (q *queue) sink() {
	for i := 0; ; {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(q.items) && q.items[child].before(q.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}
