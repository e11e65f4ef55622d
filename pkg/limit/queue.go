package limit

import (
	"container/heap"
	"time"
)

const (
	defaultQueueLength = 256
	defaultLongEvery   = 16
	classCount         = int(Long) + 1
)

// Item is a waiting call.
type Item struct {
	// ID is unique in the queue.
	ID       uint64
	Class    Class
	Deadline time.Time
	// Mean is the mean time from sending to the complete answer, 0 if unknown.
	Mean time.Duration
	// Estimate is the time that most such calls do not exceed, 0 if unknown.
	Estimate time.Duration
}

// missesDeadline reports whether the call is expected to miss its deadline if it is sent at now.
func (i Item) missesDeadline(now time.Time) bool {
	return !i.Deadline.IsZero() && now.Add(i.Estimate).After(i.Deadline)
}

// QueueConfig configures a Queue. Zero values mean the defaults.
type QueueConfig struct {
	// Length is the largest number of waiting calls; 256 by default.
	Length int
	// LongEvery is the period of Long calls: one of this many calls is a Long one while Long calls wait
	// and may be sent, so that they are not starved; 16 by default.
	LongEvery int
}

// Queue holds the calls that wait for one server, ordered by class and then deadline.
type Queue struct {
	config QueueConfig
	items  [classCount]itemHeap
	byID   map[uint64]*queuedItem
	// sinceLong counts the calls of other classes taken since the last Long call, while a Long call waited
	// and could have been sent.
	sinceLong int
}

type queuedItem struct {
	Item
	index int
}

// NewQueue returns an empty Queue.
func NewQueue(c QueueConfig) *Queue {
	if c.Length <= 0 {
		c.Length = defaultQueueLength
	}
	if c.LongEvery <= 0 {
		c.LongEvery = defaultLongEvery
	}
	return &Queue{config: c, byID: map[uint64]*queuedItem{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds a call. If the queue is full, it removes the call with the latest deadline of the lowest
// waiting class below the class of the new call. It reports which call was removed, or that the new one
// was not added because there is no such call.
func (q *Queue) Push(it Item) (removed Item, evicted, added bool) {
	if q.Len() >= q.config.Length {
		removed, evicted = q.evict(it.Class)
		if !evicted {
			return Item{}, false, false
		}
	}
	x := &queuedItem{Item: it}
	q.byID[it.ID] = x
	heap.Push(&q.items[it.Class], x)
	return removed, evicted, true
}

// evict removes the call that would be sent last, if its class is below c.
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

// Pop removes and returns the call to send next. regular allows calls of the classes Booking and Short,
// long allows Long calls.
func (q *Queue) Pop(regular, long bool) (Item, bool) {
	waiting := long && len(q.items[Long]) > 0
	if waiting && q.sinceLong >= q.config.LongEvery-1 {
		return q.popClass(Long), true
	}
	for c := Booking; regular && c < Long; c++ {
		if len(q.items[c]) > 0 {
			if waiting {
				q.sinceLong++
			}
			return q.popClass(c), true
		}
	}
	if waiting {
		return q.popClass(Long), true
	}
	return Item{}, false
}

func (q *Queue) popClass(c Class) Item {
	if c == Long {
		q.sinceLong = 0
	}
	x := heap.Pop(&q.items[c]).(*queuedItem)
	delete(q.byID, x.ID)
	return x.Item
}

// PopLate removes and returns the calls that would miss their deadlines if they were sent at now. It
// looks only at the calls before the first one of each class that would be in time.
func (q *Queue) PopLate(now time.Time) []Item {
	var late []Item
	for c := range q.items {
		for len(q.items[c]) > 0 && q.items[c][0].missesDeadline(now) {
			x := heap.Pop(&q.items[c]).(*queuedItem)
			delete(q.byID, x.ID)
			late = append(late, x.Item)
		}
	}
	return late
}

// Remove removes a call. It reports false if the call is not in the queue.
func (q *Queue) Remove(id uint64) bool {
	x, ok := q.byID[id]
	if !ok {
		return false
	}
	heap.Remove(&q.items[x.Class], x.index)
	delete(q.byID, id)
	return true
}

// WorkAhead returns the total of the mean run times of the queued calls that would be sent before it.
func (q *Queue) WorkAhead(it Item) time.Duration {
	var sum time.Duration
	for c := Booking; c <= it.Class; c++ {
		for _, x := range q.items[c] {
			if c < it.Class || x.before(&queuedItem{Item: it}) {
				sum += x.Mean
			}
		}
	}
	return sum
}

// before orders the calls of one class by deadline, then by ID. Calls without a deadline are last.
func (x *queuedItem) before(y *queuedItem) bool {
	switch {
	case x.Deadline.Equal(y.Deadline):
		return x.ID < y.ID
	case x.Deadline.IsZero() || y.Deadline.IsZero():
		return y.Deadline.IsZero()
	}
	return x.Deadline.Before(y.Deadline)
}

// itemHeap implements heap.Interface.
type itemHeap []*queuedItem

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	q := x.(*queuedItem)
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
