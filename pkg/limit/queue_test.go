package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

var _ = Describe("a queue", func() {
	item := func(id uint64, c limit.Class, deadline int) limit.Item {
		return limit.Item{ID: id, Class: c, Deadline: at(deadline), Mean: time.Millisecond, Estimate: 2 * time.Millisecond}
	}
	order := func(q *limit.Queue, long bool) []uint64 {
		var ids []uint64
		for it, ok := q.Pop(true, long); ok; it, ok = q.Pop(true, long) {
			ids = append(ids, it.ID)
		}
		return ids
	}

	// Guards against lookups and long work that are sent before bookings.
	It("is ordered by class and then deadline, without deadline last", func() {
		q := limit.NewQueue(limit.QueueConfig{})
		none := item(6, limit.Short, 0)
		none.Deadline = time.Time{}
		for _, it := range []limit.Item{
			item(1, limit.Long, 1), item(2, limit.Short, 20), item(3, limit.Booking, 30),
			item(4, limit.Booking, 10), item(5, limit.Short, 10), none,
		} {
			q.Push(it)
		}
		Expect(q.WorkAhead(item(9, limit.Short, 15))).To(Equal(3 * time.Millisecond))
		Expect(order(q, true)).To(Equal([]uint64{4, 3, 5, 2, 6, 1}))
	})

	// Guards against long work that is starved while short calls keep arriving.
	It("takes a long call after a bounded number of others, if it may be sent", func() {
		q := limit.NewQueue(limit.QueueConfig{LongEvery: 4})
		for n := range uint64(8) {
			q.Push(item(n, limit.Short, int(n)))
			q.Push(item(100+n, limit.Long, int(n)))
		}
		var longs int
		for range 8 {
			it, _ := q.Pop(true, true)
			if it.Class == limit.Long {
				longs++
			}
		}
		Expect(longs).To(Equal(2))
		Expect(order(q, false)).To(HaveLen(2))
		Expect(q.Len()).To(Equal(6))
	})

	// Guards against sending work whose caller no longer waits by the time it ends.
	It("removes calls that would miss their deadlines", func() {
		q := limit.NewQueue(limit.QueueConfig{})
		q.Push(item(1, limit.Short, 5))
		q.Push(item(2, limit.Short, 9))
		Expect(q.PopLate(at(3))).To(BeEmpty())
		Expect(q.PopLate(at(4))).To(HaveLen(1))
		Expect(order(q, true)).To(Equal([]uint64{2}))
	})

	It("replaces the last call of the lowest class, for a call of a higher class only", func() {
		q := limit.NewQueue(limit.QueueConfig{Length: 3})
		q.Push(item(1, limit.Short, 5))
		q.Push(item(2, limit.Long, 9))
		q.Push(item(3, limit.Long, 7))
		removed, evicted, added := q.Push(item(4, limit.Booking, 5))
		Expect(evicted && added).To(BeTrue())
		Expect(removed.ID).To(Equal(uint64(2)))
		_, _, added = q.Push(item(5, limit.Long, 1))
		Expect(added).To(BeFalse())
		Expect(q.Remove(3)).To(BeTrue())
		Expect(q.Remove(3)).To(BeFalse())
		Expect(order(q, true)).To(Equal([]uint64{4, 1}))
	})
})

var _ = Describe("an admission", func() {
	// Guards against long work that keeps short calls of the same process from a server.
	It("counts long calls against the connections, but not against the learned limit", func() {
		a := limit.NewAdmission(limit.AdmissionConfig{Limit: limit.Bounds{Ceiling: 3, Initial: 2}})
		sent := func(id uint64, c limit.Class) bool {
			d := a.Submit(at(0), limit.Item{ID: id, Class: c})
			return len(d) == 1 && d[0].Kind == limit.KindNone
		}
		Expect(sent(1, limit.Long)).To(BeTrue())
		Expect(sent(2, limit.Short)).To(BeTrue())
		Expect(sent(3, limit.Short)).To(BeTrue())
		Expect(sent(4, limit.Booking)).To(BeFalse())
		Expect(a.Load()).To(Equal(limit.Load{InFlight: 3, Long: 1, Queued: 1, Allowed: 2}))
		Expect(a.Finish(at(1), limit.Long, limit.Sample{})).To(BeEmpty())
		Expect(a.Finish(at(1), limit.Short, limit.Sample{Outcome: limit.Unsent})).To(HaveLen(1))
	})

	// Guards against calls that wait although the calls ahead of them leave too little time.
	It("refuses at once a call that cannot meet its deadline", func() {
		a := limit.NewAdmission(limit.AdmissionConfig{Limit: limit.Bounds{Ceiling: 1}})
		arrive := func(id uint64, deadline int) []limit.Decision {
			return a.Submit(at(0), limit.Item{
				ID: id, Class: limit.Short, Deadline: at(deadline),
				Mean: 10 * time.Millisecond, Estimate: 15 * time.Millisecond,
			})
		}
		Expect(arrive(1, 14)[0].Kind).To(Equal(limit.KindDeadline))
		Expect(arrive(2, 15)[0].Kind).To(Equal(limit.KindNone))
		Expect(arrive(3, 30)).To(BeEmpty())
		Expect(arrive(4, 34)[0].Kind).To(Equal(limit.KindDeadline))
		Expect(arrive(5, 35)).To(BeEmpty())
	})
})
