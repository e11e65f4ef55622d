package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// report is the last status that a process sent to the decider.
type report struct {
	at          time.Time
	incarnation uint64
	version     uint64
	ready       bool
}

// decider publishes tables. It simulates a decider whose tables a majority of the electors holds.
type decider struct {
	sim     *sim
	version uint64
	// generationVersion is the table version with which the current generation began.
	generationVersion uint64
	bucket            assign.Bucket
	reports           map[assign.ProcessID]report
	versionRaised     time.Time
}

func (d *decider) reported(p assign.ProcessID, r report) {
	r.at = d.sim.now
	if r.incarnation >= d.reports[p].incarnation {
		d.reports[p] = r
	}
}

func (d *decider) loop() {
	d.plan()
	// Recorders refuse new identifiers unless the version rises every quarter of the window.
	if d.sim.now.Sub(d.versionRaised) >= simWindow/4 {
		d.version++
		d.versionRaised = d.sim.now
	}
	sent, view := d.sim.now, dedup.View{Version: d.version, Bucket: d.bucket}
	for _, p := range d.sim.processes {
		d.sim.send(p, func() { p.heartbeat(sent, view) })
	}
	d.sim.after(simHeartbeat, d.loop)
}

func (d *decider) live(p assign.ProcessID) bool {
	r, ok := d.reports[p]
	return ok && d.sim.now.Sub(r.at) < simSilenceLimit
}

// plan replaces recorders that are lost or have restarted, and moves the bucket at random.
func (d *decider) plan() {
	var members []dedup.Member
	lost, waiting := len(d.bucket.Recorders) == 0, false
	for i, p := range d.bucket.Recorders {
		r := d.reports[p]
		if !d.live(p) || r.incarnation != d.bucket.Incarnations[i] {
			lost = true
			continue
		}
		current := r.version >= d.generationVersion
		waiting = waiting || !current
		members = append(members, dedup.Member{Process: p, Incarnation: r.incarnation, Ready: r.ready && current})
	}
	moved := d.sim.chance(d.sim.rates.move)
	if !lost && !moved || waiting && !d.sim.chance(d.sim.rates.planEarly) {
		return
	}
	if moved && len(members) > 1 {
		members = members[1:]
	}
	d.publish(d.fill(members))
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
	d.generationVersion = d.version
	horizon := d.bucket.Horizon
	d.bucket = dedup.Reassign(d.bucket, d.version, members)
	d.sim.counts["generation"]++
	d.sim.tracef("table %d: %+v", d.version, d.bucket)
	if d.bucket.Horizon != horizon {
		d.sim.counts["horizon"]++
	}
}

// sentCall is a call that was sent to the server.
type sentCall struct {
	attempt dedup.Attempt
	open    bool
	outcome dedup.Outcome
}

func (x *sentCall) mayHaveRun() bool { return x.open || x.outcome != dedup.NotRun }

// history records all calls for one identifier across processes. The test checks answers against it.
type history struct {
	sim   *sim
	key   dedup.Key
	first time.Time
	sends []*sentCall
}

func (h *history) fail(format string, args ...any) {
	h.sim.violations = append(h.sim.violations, fmt.Sprintf("%s: %s", h.key.Identifier, fmt.Sprintf(format, args...)))
}

// answerStatus returns an answer status that differs for each attempt.
func (h *history) answerStatus(b *runningBooking) int {
	return int(b.attempt.Incarnation*1000+b.attempt.Number)*10 + int(b.attempt.Process[1]-'0')
}

// mayHaveRun reports whether another attempt was sent and is not proven not to have run.
func (h *history) mayHaveRun(a dedup.Attempt) bool {
	for _, x := range h.sends {
		if x.attempt != a && x.mayHaveRun() {
			return true
		}
	}
	return false
}

func (h *history) send(b *runningBooking) {
	h.sim.counts["sent"]++
	if h.mayHaveRun(b.attempt) {
		h.fail("attempt %v was sent although another may have run", b.attempt)
	}
	h.sends = append(h.sends, &sentCall{attempt: b.attempt, open: true})
}

func (h *history) ended(b *runningBooking, o dedup.Outcome) {
	for _, x := range h.sends {
		if x.attempt == b.attempt {
			x.open = false
			x.outcome = o
		}
	}
}

func (h *history) concluded(b *runningBooking, c dedup.Conclude) {
	h.sim.counts[c.Outcome.String()+" "+c.Reason.String()]++
	if b.concluded {
		h.fail("attempt %v was concluded twice", b.attempt)
	}
	b.concluded = true
	if c.Outcome == dedup.Unknown && c.Reason == dedup.ReasonRecorders && b.hadFullTime() {
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

// hadFullTime reports whether the end of the window left the attempt its full time.
func (b *runningBooking) hadFullTime() bool {
	return b.deadline.Sub(b.history.first) < simWindow || issued(b.history.key)
}

func (h *history) ranWith(status int) bool {
	for _, x := range h.sends {
		if !x.open && x.outcome == dedup.Ran && h.answerStatus(&runningBooking{attempt: x.attempt}) == status {
			return true
		}
	}
	return false
}

// submitLoop submits one booking, and repeats it through random processes whatever the outcome was.
func (h *history) submitLoop(left int) {
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
	s.after(max(0, wait), func() { h.submitLoop(left - 1) })
}

func issued(k dedup.Key) bool {
	_, ok := dedup.Parse(k.Identifier)
	return ok
}

// startCaller starts the caller of booking i, with an identifier that it chose or that a process issued.
func (s *sim) startCaller(i int) {
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
	h.submitLoop(2 + s.random.IntN(4))
}

// newSim returns a simulation whose schedule is determined by the seed.
func newSim(seed uint64, rates faultRates) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)),
		rates:  rates,
		now:    start,
		counts: map[string]int{},
	}
	s.config = dedup.Config{
		Window:     simWindow,
		Grace:      simLease + 50*time.Millisecond,
		Entries:    2 + s.random.IntN(12),
		ChunkBytes: 1 + s.random.IntN(400),
		AskWait:    50 * time.Millisecond,
	}
	if rates == (faultRates{}) {
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
		s.after(s.between(300*time.Millisecond, 3*time.Second), func() { s.startCaller(i) })
	}
	return s
}
