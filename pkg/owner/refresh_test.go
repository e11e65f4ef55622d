package owner_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// cellOf returns a decider with a written first record, and a function that lets processes answer
// as the given runs.
func cellOf(config owner.Config, ids ...assign.ProcessID) (*owner.Decider, func(time.Time, map[assign.ProcessID]string)) {
	d := owner.NewDecider(config)
	processes := make([]owner.Process, len(ids))
	for i, id := range ids {
		processes[i] = owner.Process{ID: id, FailureDomain: string(id)}
	}
	actions := d.Step(epoch, owner.Started{
		Term: 1, Processes: processes, Electors: ids,
		Servers: []assign.Server{{ID: "a", Service: "s/t", Fencing: assign.Grants}},
	})
	for _, action := range actions {
		if w, ok := action.(owner.WriteRecord); ok {
			d.Step(epoch, owner.RecordWritten{Version: 1, Token: w.Record.Token})
		}
	}
	answer := func(now time.Time, runs map[assign.ProcessID]string) {
		for _, id := range ids {
			version := uint64(0)
			if t := d.Table(); t != nil {
				version = t.Version
			}
			if run, ok := runs[id]; ok {
				d.Step(now, owner.ProcessAnswered{Process: id, Incarnation: run, Term: 1, Sent: now, Version: version})
			}
		}
		d.Step(now, owner.Tick{})
	}
	return d, answer
}

var _ = Describe("the table", func() {
	// Guards against recorders that refuse every new identifier: they forget an identifier after the
	// window and refuse those issued at its version, so the version has to rise in a quiet cell.
	It("gets a new version within the refresh time although nothing changes", func() {
		d, answer := cellOf(owner.Config{Cell: "c", Self: "p1", RefreshInterval: time.Minute}, "p1", "p2", "p3")
		runs := map[assign.ProcessID]string{"p1": "1", "p2": "2", "p3": "3"}
		now := epoch
		for range 20 {
			now = now.Add(beat)
			answer(now, runs)
		}
		quiet := d.Table().Version
		for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(beat) {
			answer(now, runs)
		}
		Expect(d.Table().Version).To(BeNumerically(">=", quiet+1))
		Expect(d.Table().Version).To(BeNumerically("<=", quiet+2))
	})
})

var _ = Describe("a bucket", func() {
	// Guards against a recorder that restarted between two heartbeats and is taken for one that still
	// remembers the identifiers.
	It("gets another generation when one of its recorders restarts at once", func() {
		d, answer := cellOf(owner.Config{Cell: "c", Self: "p1"}, "p1", "p2", "p3")
		runs := map[assign.ProcessID]string{"p1": "1", "p2": "2", "p3": "3"}
		now := epoch
		for range 20 {
			now = now.Add(beat)
			answer(now, runs)
		}
		before := d.Table().Buckets
		runs["p2"] = "22"
		for range 3 {
			now = now.Add(beat)
			answer(now, runs)
		}
		for i, b := range d.Table().Buckets {
			if !slices.Contains(before[i].Recorders, "p2") {
				Expect(b.Generation).To(Equal(before[i].Generation))
				continue
			}
			Expect(b.Generation).To(BeNumerically(">", before[i].Generation))
			Expect(b.Incarnations).NotTo(ContainElement(uint64(2)))
			Expect(b.Horizon).To(Equal(before[i].Horizon), "the other recorder still remembers")
		}
	})
})

var _ = Describe("the first buckets", func() {
	// Guards against bookings that are refused for seconds in a new cell, because the buckets do not
	// name the runs of their recorders until the silence has passed.
	It("name the runs of their recorders as soon as every process has answered", func() {
		d, answer := cellOf(owner.Config{Cell: "c", Self: "p1"}, "p1", "p2", "p3")
		runs := map[assign.ProcessID]string{"p1": "1", "p2": "2", "p3": "3"}
		now := epoch
		for range 2 {
			now = now.Add(beat)
			answer(now, runs)
		}
		for _, b := range d.Table().Buckets {
			Expect(b.Incarnations).To(HaveLen(2))
			Expect(b.Incarnations).NotTo(ContainElement(uint64(0)))
			Expect(b.Horizon).To(BeZero(), "nothing can have been forgotten yet")
		}
	})
})
