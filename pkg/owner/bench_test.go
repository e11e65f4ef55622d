package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// Sizes of the largest cell of the design page.
const (
	cellProcesses = 60
	cellServers   = 60
)

// fullCell returns a decider of the largest cell with all spans open, and the time.
func fullCell() (*owner.Decider, time.Time) {
	t := &assign.Table{Version: 1, Services: make(map[assign.ServiceID][]assign.Holding)}
	e := owner.Started{Term: 1, RecordUnread: true, Tables: []*assign.Table{t}}
	for i := range cellProcesses {
		id := assign.ProcessID(fmt.Sprintf("p%02d", i))
		t.Runs = append(t.Runs, assign.Run{Process: id, Incarnation: "1"})
		e.Processes = append(e.Processes, owner.Process{ID: id, FailureDomain: fmt.Sprint(i % 3)})
		if i < 5 {
			t.Electors = append(t.Electors, id)
		}
	}
	for i := range cellServers {
		id := assign.ServerID(fmt.Sprintf("s%02d", i))
		e.Servers = append(e.Servers, assign.Server{ID: id, Service: service, FailureDomain: fmt.Sprint(i % 3)})
	}
	width := uint64(1<<63) / (assign.MaxSpans / 2)
	for i := range uint64(assign.MaxSpans) {
		h := assign.Holding{Open: true, Place: assign.Place{Span: assign.Span{From: i * width, To: i*width + width - 1}, Base: 1}}
		for rank := range uint64(1 + assign.Successors) {
			h.Owners = append(h.Owners, e.Servers[(i+rank)%cellServers].ID)
		}
		t.Services[service] = append(t.Services[service], h)
	}
	d := owner.NewDecider(owner.Config{Self: "p00"})
	d.Step(epoch, e)
	cellAnswers(d, epoch)
	return d, epoch
}

// cellAnswers lets every process and server answer once.
func cellAnswers(d *owner.Decider, now time.Time) int {
	for i := range cellProcesses {
		d.Step(now, owner.ProcessAnswered{
			Process: assign.ProcessID(fmt.Sprintf("p%02d", i)), Incarnation: "1", Term: 1, Sent: now, Version: d.Table().Version,
		})
	}
	for i := range cellServers {
		d.Step(now, owner.ServerAnswered{Server: assign.ServerID(fmt.Sprintf("s%02d", i)), Incarnation: "1", ProbedAt: now})
	}
	return cellProcesses + cellServers
}

// BenchmarkBeat measures one beat of the largest cell: a tick and the answers of every process and
// server.
func BenchmarkBeat(b *testing.B) {
	d, now := fullCell()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(beat)
		d.Step(now, owner.Tick{})
		cellAnswers(d, now)
	}
}
