package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"image/png"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRing(process assign.ProcessID, capacity int) (*event.Ring, *event.Clock, *clock.Manual) {
	manual := clock.NewManual(start)
	logical := new(event.Clock)
	return event.NewRing(process, capacity, manual, logical), logical, manual
}

var _ = Describe("a logical clock", func() {
	// Guards against an effect that sorts before its cause.
	It("ticks above every value that it has witnessed", func() {
		var c event.Clock
		Expect(c.Tick()).To(Equal(uint64(1)))
		c.Witness(10)
		Expect(c.Now()).To(Equal(uint64(10)))
		Expect(c.Tick()).To(Equal(uint64(11)))
		c.Witness(5)
		Expect(c.Tick()).To(Equal(uint64(12)))
	})

	// Guards against two events with one logical time under concurrent use.
	It("never returns a value twice", func() {
		var c event.Clock
		var wg sync.WaitGroup
		values := make([][]uint64, 8)
		for i := range values {
			wg.Go(func() {
				for n := range 500 {
					c.Witness(uint64(n))
					values[i] = append(values[i], c.Tick())
				}
			})
		}
		wg.Wait()
		seen := make(map[uint64]bool)
		for _, clockValues := range values {
			for _, v := range clockValues {
				Expect(seen[v]).To(BeFalse())
				seen[v] = true
			}
		}
	})
})

var _ = Describe("a ring", func() {
	// Guards against events with the process or the logical time of the caller instead of the ring's.
	It("sets the process and the timestamps of events", func() {
		ring, logical, manual := newRing("entry-1", 4)
		logical.Witness(7)
		manual.Advance(time.Second)
		e := ring.Add(event.Event{Kind: event.Ready, Process: "other", Logical: 99})
		Expect(e.Process).To(Equal(assign.ProcessID("entry-1")))
		Expect(e.Time).To(Equal(start.Add(time.Second)))
		Expect(e.Logical).To(Equal(uint64(8)))
		Expect(ring.Events()).To(Equal([]event.Event{e}))
	})

	// Guards against memory that grows with the number of events, and against losing the newest events.
	It("keeps the last events, oldest first", func() {
		for _, capacity := range []int{1, 2, 3, 7} {
			ring, _, _ := newRing("entry-1", capacity)
			for n := range 20 {
				ring.Add(event.Event{Version: uint64(n)})
				events := ring.Events()
				Expect(len(events)).To(Equal(min(n+1, capacity)))
				for i, e := range events {
					Expect(e.Version).To(Equal(uint64(n + 1 - len(events) + i)))
				}
				Expect(ring.Dropped()).To(Equal(uint64(n + 1 - len(events))))
			}
		}
	})

	// Guards against a ring of capacity 0, which could not store any event.
	It("has room for at least one event", func() {
		ring, _, _ := newRing("entry-1", 0)
		ring.Add(event.Event{})
		Expect(ring.Events()).To(HaveLen(1))
	})

	// Guards against long texts that exceed the memory bound, and against a cut inside a character.
	It("truncates texts between characters", func() {
		ring, _, _ := newRing("entry-1", 1)
		e := ring.Add(event.Event{Detail: strings.Repeat("ā", event.MaxDetailBytes), Server: assign.ServerID(strings.Repeat("x", 1000))})
		Expect(e.Detail).To(Equal(strings.Repeat("ā", event.MaxDetailBytes/2)))
		Expect(len(e.Server)).To(BeNumerically("<=", event.MaxDetailBytes))
		odd := ring.Add(event.Event{Detail: "x" + strings.Repeat("ā", event.MaxDetailBytes)})
		Expect(odd.Detail).To(HaveLen(event.MaxDetailBytes - 1))
		Expect(odd.Detail).To(HaveSuffix("ā"))
	})

	// Guards against a data race, and against logical times that do not increase within a ring.
	It("is safe for concurrent use", func() {
		ring, logical, _ := newRing("entry-1", 64)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for n := range 200 {
					logical.Witness(uint64(n))
					ring.Add(event.Event{Kind: event.Grant})
					ring.Events()
				}
			})
		}
		wg.Wait()
		events := ring.Events()
		Expect(events).To(HaveLen(64))
		Expect(ring.Dropped()).To(Equal(uint64(8*200 - 64)))
		for i := 1; i < len(events); i++ {
			Expect(events[i].Logical).To(BeNumerically(">", events[i-1].Logical))
		}
	})
})

// message is a message between simulated processes. Its cause is the event that the sender stored
// just before.
type message struct {
	logical uint64
	cause   string
}

// Guards against a timeline in which an effect comes before its cause, or which depends on the order
// in which rings were fetched.
func TestTimelineKeepsCauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		rings := make([]*event.Ring, processes)
		clocks := make([]*event.Clock, processes)
		for i := range rings {
			rings[i], clocks[i], _ = newRing(assign.ProcessID(fmt.Sprintf("p%d", i)), 1000)
		}
		var sent []message
		causes := make(map[string]string)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			name := fmt.Sprintf("e%d", n)
			if len(sent) > 0 && rapid.Bool().Draw(t, "receive") {
				m := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")]
				clocks[p].Witness(m.logical)
				causes[name] = m.cause
			}
			rings[p].Add(event.Event{Detail: name})
			sent = append(sent, message{logical: clocks[p].Tick(), cause: name})
		}
		timeline := event.Merge(rings[0].Events(), rings[1].Events(), rings[2].Events())
		position := make(map[string]int)
		for i, e := range timeline {
			position[e.Detail] = i
		}
		for effect, cause := range causes {
			if position[cause] >= position[effect] {
				t.Fatalf("%s caused %s but comes after it", cause, effect)
			}
		}
		again := event.Merge(rings[2].Events(), rings[0].Events(), rings[1].Events())
		for i := range timeline {
			if timeline[i] != again[i] {
				t.Fatalf("the order of the rings changed the timeline at %d", i)
			}
		}
	})
}

var _ = Describe("a timeline", func() {
	events := []event.Event{
		{Process: "b", Logical: 1, Kind: event.TermWon, Time: start},
		event.Event{Process: "a", Logical: 2, Kind: event.Close, Server: "s1", Service: "t/x", Time: start.Add(time.Second)}.
			On(assign.Span{From: 10, To: 20}),
		event.Event{Process: "a", Logical: 3, Kind: event.Move, Server: "s2", Service: "t/y", Time: start.Add(2 * time.Second)}.
			OnKey(15),
	}
	logicals := func(filters ...event.Filter) []uint64 {
		var times []uint64
		for _, e := range event.Select(events, filters...) {
			times = append(times, e.Logical)
		}
		return times
	}

	// Guards against an order of events with equal logical times that changes from run to run.
	It("orders ties by process", func() {
		merged := event.Merge(
			[]event.Event{{Process: "b", Logical: 1}, {Process: "b", Logical: 2}},
			[]event.Event{{Process: "a", Logical: 1}, {Process: "a", Logical: 3}},
		)
		var order []string
		for _, e := range merged {
			order = append(order, fmt.Sprintf("%s%d", e.Process, e.Logical))
		}
		Expect(order).To(Equal([]string{"a1", "b1", "b2", "a3"}))
		Expect(event.Merge()).To(BeEmpty())
	})

	// Guards against a filter that omits a matching event or selects another one.
	It("is filtered", func() {
		Expect(logicals()).To(Equal([]uint64{1, 2, 3}))
		Expect(logicals(event.ByKey(15))).To(Equal([]uint64{2, 3}))
		Expect(logicals(event.ByKey(10))).To(Equal([]uint64{2}))
		Expect(logicals(event.ByKey(0))).To(BeEmpty())
		Expect(logicals(event.ByServer("s2"))).To(Equal([]uint64{3}))
		Expect(logicals(event.ByService("t/x"))).To(Equal([]uint64{2}))
		Expect(logicals(event.ByProcess("b"))).To(Equal([]uint64{1}))
		Expect(logicals(event.ByKinds(event.TermWon, event.Move))).To(Equal([]uint64{1, 3}))
		Expect(logicals(event.Between(start.Add(time.Second), start.Add(2*time.Second)))).To(Equal([]uint64{2}))
		Expect(logicals(event.Between(time.Time{}, start.Add(time.Second)))).To(Equal([]uint64{1}))
		Expect(logicals(event.Between(start.Add(time.Second), time.Time{}))).To(Equal([]uint64{2, 3}))
		Expect(logicals(event.ByKey(15), event.ByServer("s1"))).To(Equal([]uint64{2}))
	})

	// Guards against a line that cannot be parsed back into its pairs.
	It("is written as key=value lines", func() {
		var b bytes.Buffer
		quoted := event.Event{Process: "a", Kind: event.Fault, Detail: "two words\nand \"quotes\"", Version: 4, Fence: 9}
		Expect(event.WriteText(&b, append(events[1:3:3], quoted))).To(Succeed())
		Expect(b.String()).To(Equal(`logical=2 time=2026-01-01T00:00:01Z process=a kind=close service=t/x span=000000000000000a-0000000000000014 server=s1
logical=3 time=2026-01-01T00:00:02Z process=a kind=move service=t/y span=000000000000000f server=s2
logical=0 time=0001-01-01T00:00:00Z process=a kind=fault version=4 fence=9 detail="two words\nand \"quotes\""
`))
	})

	// Guards against events that change in the JSON of the admin address.
	It("is the same after encoding as JSON and decoding", func() {
		text, err := json.Marshal(events)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`"kind":"term-won"`))
		var read []event.Event
		Expect(json.Unmarshal(text, &read)).To(Succeed())
		Expect(read).To(Equal(events))
	})

	// Guards against a change of the kind names that operators use in filters.
	It("names the kinds in kebab case", func() {
		Expect(event.KindStrings()).To(Equal([]string{
			"grant", "lapse", "move", "close", "open", "term-won", "term-lost", "drain", "configuration",
			"refusal-burst", "fault", "record-written", "lease-lost", "lease-gained", "ready", "unready",
		}))
	})

	// Guards against an image without its rows, and against a failure for one event or none.
	It("is drawn as SVG and PNG", func() {
		var b bytes.Buffer
		Expect(event.Plot(events, &b, event.WithTitle("a move"))).To(Succeed())
		for _, text := range []string{"<svg", "a move", "term-won", "close", ">a<", ">b<"} {
			Expect(b.String()).To(ContainSubstring(text))
		}
		for _, subset := range [][]event.Event{nil, events[:1], events} {
			b.Reset()
			Expect(event.Plot(subset, &b, event.AsPNG())).To(Succeed())
			_, err := png.Decode(&b)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
