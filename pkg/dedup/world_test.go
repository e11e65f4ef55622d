package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// report is what a process told the decider.
type report struct {
	at          time.Time
	incarnation uint64
	version     uint64
	ready       bool
}

// decider publishes tables. It stands for a decider whose tables a majority of electors holds.
type decider struct {
	sim     *sim
	version uint64
	// since is the version that began the present generation.
	since   uint64
	bucket  assign.Bucket
	reports map[assign.ProcessID]report
	bumped  time.Time
}

func (d *decider) reported(p assign.ProcessID, r report) {
	r.at = d.sim.now
	if r.incarnation >= d.reports[p].incarnation {
		d.reports[p] = r
	}
}

func (d *decider) loop() {
	d.plan()
	// The version rises every quarter of the window, as the recorders need it.
	if d.sim.now.Sub(d.bumped) >= simWindow/4 {
		d.version++
		d.bumped = d.sim.now
	}
	sent, view := d.sim.now, dedup.View{Version: d.version, Bucket: d.bucket}
	for _, p := range d.sim.processes {
		d.sim.send(p, func() { p.beat(sent, view) })
	}
	d.sim.after(simBeat, d.loop)
}

func (d *decider) live(p assign.ProcessID) bool {
	r, ok := d.reports[p]
	return ok && d.sim.now.Sub(r.at) < simSilence
}

// plan replaces recorders that are lost or restarted, and moves the bucket at random.
func (d *decider) plan() {
	var keep []dedup.Member
	lost, waiting := len(d.bucket.Recorders) == 0, false
	for i, p := range d.bucket.Recorders {
		r := d.reports[p]
		if !d.live(p) || r.incarnation != d.bucket.Incarnations[i] {
			lost = true
			continue
		}
		current := r.version >= d.since
		waiting = waiting || !current
		keep = append(keep, dedup.Member{Process: p, Incarnation: r.incarnation, Ready: r.ready && current})
	}
	moved := d.sim.chance(d.sim.weather.move)
	if !lost && !moved || waiting && !d.sim.chance(d.sim.weather.impatient) {
		return
	}
	if moved && len(keep) > 1 {
		keep = keep[1:]
	}
	d.publish(d.fill(keep))
}

// fill adds random live processes until there are two recorders.
func (d *decider) fill(members []dedup.Member) []dedup.Member {
	for _, i := range d.sim.random.Perm(len(d.sim.processes)) {
		p := d.sim.processes[i].id
		if len(members) >= 2 || !d.live(p) || contains(members, p) {
			continue
		}
		members = append(members, dedup.Member{Process: p, Incarnation: d.reports[p].incarnation})
	}
	return members
}

func contains(members []dedup.Member, p assign.ProcessID) bool {
	for _, m := range members {
		if m.Process == p {
			return true
		}
	}
	return false
}

func (d *decider) publish(members []dedup.Member) {
	if len(members) < 2 {
		return
	}
	d.version++
	d.since = d.version
	horizon := d.bucket.Horizon
	d.bucket = dedup.Reassign(d.bucket, d.version, members)
	d.sim.counts["generation"]++
	d.sim.note("table %d: %+v", d.version, d.bucket)
	if d.bucket.Horizon != horizon {
		d.sim.counts["horizon"]++
	}
}

// sent is a call that was sent for running.
type sent struct {
	attempt dedup.Attempt
	open    bool
	outcome dedup.Outcome
}

func (x *sent) mayHaveRun() bool { return x.open || x.outcome != dedup.NotRun }

// history is the truth about one identifier, which no process knows.
type history struct {
	sim   *sim
	key   dedup.Key
	first time.Time
	sends []*sent
}

func (h *history) fail(format string, args ...any) {
	h.sim.faults = append(h.sim.faults, fmt.Sprintf("%s: %s", h.key.Identifier, fmt.Sprintf(format, args...)))
}

// mark returns an answer's status that tells attempts apart.
func (h *history) mark(b *running) int {
	return int(b.attempt.Incarnation*1000+b.attempt.Number)*10 + int(b.attempt.Process[1]-'0')
}

// mayHaveRun reports whether another attempt was sent and is not proven as not run.
func (h *history) mayHaveRun(a dedup.Attempt) bool {
	for _, x := range h.sends {
		if x.attempt != a && x.mayHaveRun() {
			return true
		}
	}
	return false
}

func (h *history) send(b *running) {
	h.sim.counts["sent"]++
	if h.mayHaveRun(b.attempt) {
		h.fail("attempt %v was sent although another may have run", b.attempt)
	}
	h.sends = append(h.sends, &sent{attempt: b.attempt, open: true})
}

func (h *history) ended(b *running, o dedup.Outcome) {
	for _, x := range h.sends {
		if x.attempt == b.attempt {
			x.open = false
			x.outcome = o
		}
	}
}

func (h *history) concluded(b *running, c dedup.Conclude) {
	h.sim.counts[c.Outcome.String()+" "+c.Reason.String()]++
	if b.concluded {
		h.fail("attempt %v was concluded twice", b.attempt)
	}
	b.concluded = true
	if c.Outcome == dedup.Unknown && c.Reason == dedup.ReasonRecorders && b.patient() {
		h.sim.counts["unanswered"]++
	}
	for _, x := range h.sends {
		if c.Outcome == dedup.NotRun && x.attempt == b.attempt && x.mayHaveRun() {
			h.fail("attempt %v was sent and answered as not run", b.attempt)
		}
	}
	for _, x := range b.earlier {
		if c.Outcome == dedup.NotRun && x.mayHaveRun() {
			h.fail("attempt %v was answered as not run although the earlier %v may have run", b.attempt, x.attempt)
		}
	}
	if c.Outcome == dedup.Ran && !h.ranWith(c.Answer.Status) {
		h.fail("attempt %v returned an answer that no run gave", b.attempt)
	}
}

// patient reports whether the attempt had its full time, which the end of the window may cut.
func (b *running) patient() bool {
	return b.deadline.Sub(b.history.first) < simWindow || issued(b.history.key)
}

func (h *history) ranWith(status int) bool {
	for _, x := range h.sends {
		if !x.open && x.outcome == dedup.Ran && h.mark(&running{attempt: x.attempt}) == status {
			return true
		}
	}
	return false
}

// caller submits one booking, and repeats it through other processes whatever the outcome was.
func (h *history) caller(left int) {
	s := h.sim
	p := s.processes[s.random.IntN(len(s.processes))]
	s.send(p, func() {
		if s.now.Sub(h.first) < simWindow || issued(h.key) {
			p.submit(h)
		}
	})
	if left == 0 {
		return
	}
	wait := s.between(0, 150*time.Millisecond)
	switch x := s.random.Float64(); {
	case x < 0.3:
		wait = s.between(100*time.Millisecond, 1500*time.Millisecond)
	case x < 0.4:
		wait = s.between(time.Second, simWindow+time.Second)
	case x < 0.5:
		wait = h.first.Add(simWindow).Sub(s.now) - s.between(0, 300*time.Millisecond)
	}
	s.after(max(0, wait), func() { h.caller(left - 1) })
}

func issued(k dedup.Key) bool {
	_, ok := dedup.Parse(k.Identifier)
	return ok
}

// begin starts the caller of booking i, with an identifier of its own or one issued by a process.
func (s *sim) begin(i int) {
	id := fmt.Sprintf("own-%d", i)
	if i%2 == 0 {
		p := s.processes[s.random.IntN(len(s.processes))]
		if p.recorder == nil || p.view.Version == 0 {
			return
		}
		id = dedup.Issue(p.view.Version, p.id, [16]byte{byte(i)})
	}
	h := &history{sim: s, key: dedup.Key{Scope: "depot/orders", Identifier: id}, first: s.now}
	s.histories = append(s.histories, h)
	h.caller(2 + s.random.IntN(4))
}

// newSim returns a schedule that is determined by the seed.
func newSim(seed uint64, w weather) *sim {
	s := &sim{
		random:  rand.New(rand.NewPCG(seed, 1)),
		weather: w,
		now:     start,
		counts:  map[string]int{},
	}
	s.config = dedup.Config{
		Window:     simWindow,
		Grace:      simLease + 50*time.Millisecond,
		Entries:    2 + s.random.IntN(12),
		ChunkBytes: 1 + s.random.IntN(400),
		AskWait:    50 * time.Millisecond,
	}
	if w == (weather{}) {
		s.config.Entries = 100
	}
	for i := range 4 + s.random.IntN(3) {
		p := &process{sim: s, id: assign.ProcessID(fmt.Sprintf("p%d", i))}
		s.processes = append(s.processes, p)
		p.restart()
	}
	s.decider = &decider{sim: s, version: 1, reports: map[assign.ProcessID]report{}}
	s.decider.loop()
	s.faultLoop()
	for i := range 4 + s.random.IntN(5) {
		s.after(s.between(300*time.Millisecond, 3*time.Second), func() { s.begin(i) })
	}
	return s
}
