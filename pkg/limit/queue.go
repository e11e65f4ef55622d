package limit

import (
	"container/heap"
	"time"
)

const (
	defaultLength = 256
	defaultShare  = 16
	classes       = int(Long) + 1
)

// Item is a call that waits.
type Item struct {
	// ID is unique in the queue.
	ID       uint64
	Class    Class
	Deadline time.Time
	// Mean is the mean time from sending to the complete answer, 0 where nothing is known.
	Mean time.Duration
	// Estimate is the time that most such calls do not exceed, 0 where nothing is known.
	Estimate time.Duration
}

// late reports whether a call that is sent at now misses its deadline.
func (i Item) late(now time.Time) bool {
	return !i.Deadline.IsZero() && now.Add(i.Estimate).After(i.Deadline)
}

// QueueConfig configures a Queue. Zero values mean the defaults.
type QueueConfig struct {
	// Length is the largest number of waiting calls; 256 by default.
	Length int
	// Share makes one of this many calls a Long one while Long calls wait and may be sent, so that
	// they are not starved; 16 by default.
	Share int
}

// Queue holds the calls that wait for one server, ordered by class and then deadline.
type Queue struct {
	config QueueConfig
	items  [classes]itemHeap
	byID   map[uint64]*queued
	// passed counts the calls of other classes taken since a Long one could have been.
	passed int
}

type queued struct {
	Item
	index int
}

// NewQueue returns an empty Queue.
func NewQueue(c QueueConfig) *Queue {
	if c.Length <= 0 {
		c.Length = defaultLength
	}
	if c.Share <= 0 {
		c.Share = defaultShare
	}
	return &Queue{config: c, byID: map[uint64]*queued{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds a call. Where the queue is full, it makes room by removing the call with the latest
// deadline of the last class, if the new call's class goes before it. It reports which call was
// removed, or that the new one was not added.
func (q *Queue) Push(it Item) (removed Item, evicted, added bool) {
	if q.Len() >= q.config.Length {
		removed, evicted = q.evict(it.Class)
		if !evicted {
			return Item{}, false, false
		}
	}
	x := &queued{Item: it}
	q.byID[it.ID] = x
	heap.Push(&q.items[it.Class], x)
	return removed, evicted, true
}

// evict removes the last call of a class that goes after c.
func (q *Queue) evict(c Class) (Item, bool) {
	for class := Long; class > c; class-- {
		if h := q.items[class]; len(h) > 0 {
			last := h[0]
			for _, x := range h {
				if x.before(last) {
					continue
				}
				last = x
			}
			q.Remove(last.ID)
			return last.Item, true
		}
	}
	return Item{}, false
}

// Pop removes and returns the call to send next, of the classes that there is room for: brief says
// so for Booking and Short, long for Long.
func (q *Queue) Pop(brief, long bool) (Item, bool) {
	waiting := long && len(q.items[Long]) > 0
	if waiting && q.passed >= q.config.Share-1 {
		return q.take(Long), true
	}
	for c := Booking; brief && c < Long; c++ {
		if len(q.items[c]) > 0 {
			if waiting {
				q.passed++
			}
			return q.take(c), true
		}
	}
	if waiting {
		return q.take(Long), true
	}
	return Item{}, false
}

func (q *Queue) take(c Class) Item {
	if c == Long {
		q.passed = 0
	}
	x := heap.Pop(&q.items[c]).(*queued)
	delete(q.byID, x.ID)
	return x.Item
}

// Late removes and returns the calls at the heads of the classes that would miss their deadlines if
// they were sent at now.
func (q *Queue) Late(now time.Time) []Item {
	var late []Item
	for c := range q.items {
		for len(q.items[c]) > 0 && q.items[c][0].late(now) {
			x := heap.Pop(&q.items[c]).(*queued)
			delete(q.byID, x.ID)
			late = append(late, x.Item)
		}
	}
	return late
}

// Remove removes a call. It reports false where the call does not wait.
func (q *Queue) Remove(id uint64) bool {
	x, ok := q.byID[id]
	if !ok {
		return false
	}
	heap.Remove(&q.items[x.Class], x.index)
	delete(q.byID, id)
	return true
}

// Ahead returns the total of the mean times of the calls that go before it.
func (q *Queue) Ahead(it Item) time.Duration {
	var sum time.Duration
	for c := Booking; c <= it.Class; c++ {
		for _, x := range q.items[c] {
			if c < it.Class || x.before(&queued{Item: it}) {
				sum += x.Mean
			}
		}
	}
	return sum
}

// before orders the calls of one class: by deadline, without deadline last, then by ID.
func (x *queued) before(y *queued) bool {
	switch {
	case x.Deadline.Equal(y.Deadline):
		return x.ID < y.ID
	case x.Deadline.IsZero() || y.Deadline.IsZero():
		return y.Deadline.IsZero()
	}
	return x.Deadline.Before(y.Deadline)
}

// itemHeap implements heap.Interface.
type itemHeap []*queued

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	q := x.(*queued)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
