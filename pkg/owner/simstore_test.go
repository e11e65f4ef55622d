package owner_test

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// simStore stores the record. It can be down, lose answers, and apply writes after the writer has
// given up.
type simStore struct {
	sim     *simulation
	down    bool
	record  *assign.Record
	version uint64
}

// storeTimeout is the time after which a caller gives up.
const storeTimeout = 500 * time.Millisecond

func (t *simStore) delay() time.Duration {
	if t.sim.faults && t.sim.chance(0.15) {
		return t.sim.randomDuration(0, 3*time.Second)
	}
	return t.sim.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// write performs a conditional write. The answer may be lost although the write took effect.
func (t *simStore) write(p *proc, w owner.WriteRecord) {
	record := w.Record
	answered := false
	fail := func(conflict bool) {
		if !answered {
			answered = true
			p.decide(owner.RecordFailed{Token: record.Token, Conflict: conflict})
		}
	}
	t.sim.after(storeTimeout, func() { fail(false) })
	if t.down {
		return
	}
	t.sim.after(t.delay(), func() {
		if w.IfVersion != t.version {
			t.sim.after(t.delay(), func() { fail(true) })
			return
		}
		t.version++
		t.record = &record
		t.sim.log("record %d stored by %s", t.version, record.Token)
		written := owner.RecordWritten{Version: t.version, Token: record.Token}
		if t.sim.faults && t.sim.chance(0.2) {
			return
		}
		t.sim.after(t.delay(), func() {
			answered = true
			p.decide(written)
		})
	})
}

func (t *simStore) read(p *proc) {
	if t.down {
		return
	}
	t.sim.after(t.delay(), func() {
		read := owner.RecordRead{Record: t.record, Version: t.version}
		t.sim.after(t.delay(), func() { p.decide(read) })
	})
}
