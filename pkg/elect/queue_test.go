package elect_test

import "time"

// task is a function to call at a real time.
type task struct {
	at  time.Duration
	seq int
	f   func()
}

func (t task) before(other task) bool {
	return t.at < other.at || t.at == other.at && t.seq < other.seq
}

// queue is a binary heap. container/heap would allocate for each item, which doubles the run time of
// the scenarios.
type queue struct {
	items []task
	seq   int
}

func (q *queue) push(at time.Duration, f func()) {
	q.seq++
	q.items = append(q.items, task{at: at, seq: q.seq, f: f})
	i := len(q.items) - 1
	for i > 0 && q.items[i].before(q.items[(i-1)/2]) {
		q.items[i], q.items[(i-1)/2] = q.items[(i-1)/2], q.items[i]
		i = (i - 1) / 2
	}
}

func (q *queue) pop() task {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = task{}
	q.items = q.items[:last]
	q.siftDown()
	return first
}

// siftDown moves the first item down until the heap is in order.
func (q *queue) siftDown() {
	for i := 0; ; {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(q.items) && q.items[child].before(q.items[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		q.items[i], q.items[smallest] = q.items[smallest], q.items[i]
		i = smallest
	}
}
