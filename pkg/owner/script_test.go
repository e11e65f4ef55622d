package owner_test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// TestScripts runs the scripted cases in testdata. Each file says at its top which failure it guards
// against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if strings.HasPrefix(filepath.Base(path), "follower") {
				return s.follower(t, d)
			}
			return s.decider(t, d)
		})
	})
}

// script is the state of one file: a decider, a follower, and the time.
type script struct {
	now     time.Time
	d       *owner.Decider
	f       *owner.Follower
	kind    assign.Fencing
	pending owner.WriteRecord
	grants  map[assign.ServerID]uint64
	revokes map[assign.ServerID]uint64
	version uint64
	term    uint64
	sent    time.Time
	// granted and lent are what was last shown: a renewal is not shown again.
	granted map[assign.ServerID]string
	lent    bool
}

func newScript() *script {
	return &script{
		now:     epoch,
		d:       owner.NewDecider(owner.Config{Cell: "cell", Self: "p1"}),
		f:       owner.NewFollower("f.1"),
		grants:  make(map[assign.ServerID]uint64),
		revokes: make(map[assign.ServerID]uint64),
		granted: make(map[assign.ServerID]string),
	}
}

func (s *script) decider(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		return s.start(t, d)
	case "tick":
		var length, step time.Duration
		length, step = duration(t, d, "for", beat), duration(t, d, "every", beat)
		var out strings.Builder
		for end := s.now.Add(length); s.now.Before(end); {
			s.now = s.now.Add(step)
			s.answerAll(t, d)
			out.WriteString(s.step(owner.Tick{}))
		}
		return out.String()
	case "wait":
		s.now = s.now.Add(duration(t, d, "for", beat))
		return ""
	case "held":
		return fmt.Sprintf("%v\n", s.d.Committed(s.version))
	}
	return s.step(s.event(t, d))
}

// answerAll lets the processes and servers named in the arguments answer before each tick.
func (s *script) answerAll(t *testing.T, d *datadriven.TestData) {
	for _, id := range list(d, "processes") {
		s.step(s.processAnswered(id, d))
	}
	for _, id := range list(d, "servers") {
		s.step(s.serverAnswered(id, d))
		if v, ok := s.grants[assign.ServerID(id)]; ok {
			s.step(owner.GrantAnswered{Server: assign.ServerID(id), Incarnation: id + ".1", Version: v, OK: true})
		}
	}
	t.Helper()
}

func (s *script) event(t *testing.T, d *datadriven.TestData) owner.DeciderEvent {
	id := ""
	if len(d.CmdArgs) > 0 {
		id = d.CmdArgs[0].Key
	}
	server := assign.ServerID(id)
	switch d.Cmd {
	case "process":
		return s.processAnswered(id, d)
	case "process-ended":
		return owner.ProcessEnded{Process: assign.ProcessID(id), Incarnation: word(d, "incarnation")}
	case "server":
		return s.serverAnswered(id, d)
	case "server-ended":
		return owner.ServerEnded{Server: server, Incarnation: word(d, "incarnation"), Gone: d.HasArg("gone")}
	case "granted":
		return owner.GrantAnswered{Server: server, Incarnation: id + ".1", Version: s.grants[server], OK: !d.HasArg("refused")}
	case "revoked":
		return owner.RevokeAnswered{Server: server, Version: s.revokes[server], OK: true}
	case "written":
		return owner.RecordWritten{Version: s.pending.IfVersion + 1, Token: s.pending.Record.Token}
	case "failed":
		return owner.RecordFailed{Token: s.pending.Record.Token, Conflict: d.HasArg("conflict")}
	case "read":
		return s.recordRead(t, d)
	case "drain":
		return owner.DrainServer{Server: server}
	case "hot":
		key, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return hotReport(key)
	case "copied":
		return owner.BucketCopied{Process: assign.ProcessID(id), Bucket: number(t, d, "bucket"), Generation: uint64(number(t, d, "generation"))}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return nil
}

// hotReport is the load of a hot key and of the keys before it, by the spans before and after the
// key gets its own.
func hotReport(key uint64) owner.LoadReported {
	return owner.LoadReported{
		Process: "p1", Service: service, Keys: map[uint64]float64{key: 100},
		Spans: map[assign.Span]float64{{From: 0, To: 1<<63 - 1}: 180, {From: key, To: key}: 100, {From: 0, To: key - 1}: 80},
	}
}

func (s *script) processAnswered(id string, d *datadriven.TestData) owner.ProcessAnswered {
	e := owner.ProcessAnswered{
		Process: assign.ProcessID(id), Incarnation: id + ".1", Term: s.term, Sent: s.now, Version: s.version,
		InFlight: make(map[assign.ServerID]int),
	}
	if i := word(d, "incarnation"); i != "" {
		e.Incarnation = i
	}
	for _, server := range list(d, "in-flight") {
		e.InFlight[assign.ServerID(server)] = 1
	}
	return e
}

func (s *script) serverAnswered(id string, d *datadriven.TestData) owner.ServerAnswered {
	e := owner.ServerAnswered{
		Server: assign.ServerID(id), Incarnation: id + ".1", ProbedAt: s.now, Idle: d.HasArg("idle"), Draining: d.HasArg("draining"),
	}
	if i := word(d, "incarnation"); i != "" {
		e.Incarnation = i
	}
	return e
}

// recordRead answers a read: with the pending write, with another's record, or with nothing.
func (s *script) recordRead(t *testing.T, d *datadriven.TestData) owner.RecordRead {
	if d.HasArg("absent") {
		return owner.RecordRead{}
	}
	r := s.pending.Record
	e := owner.RecordRead{Record: &r, Version: uint64(number(t, d, "version"))}
	if !d.HasArg("own") {
		r.Token = "other"
		r.Term = uint64(number(t, d, "term"))
	}
	return e
}

// start begins a term; the input lists spans as "owners base rank open|closed".
func (s *script) start(t *testing.T, d *datadriven.TestData) string {
	s.term = uint64(number(t, d, "term"))
	kind, err := assign.FencingString(word(d, "kind"))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	s.kind = kind
	e := owner.Started{Term: s.term, RecordUnread: d.HasArg("store-down")}
	for i, id := range list(d, "servers") {
		e.Servers = append(e.Servers, assign.Server{
			ID: assign.ServerID(id), Service: service, Fencing: kind, FailureDomain: fmt.Sprint(i % 3),
		})
	}
	for i, id := range list(d, "processes") {
		e.Processes = append(e.Processes, owner.Process{ID: assign.ProcessID(id), FailureDomain: fmt.Sprint(i % 3)})
		e.Electors = append(e.Electors, assign.ProcessID(id))
	}
	s.pending.Record.Electors = e.Electors
	if d.Input != "" {
		table := s.table(t, d, e.Electors)
		e.Tables = []*assign.Table{nil, table}
		e.Record = &assign.Record{Term: s.term - 1, Electors: e.Electors, NextFence: 50, Token: "old"}
		e.RecordVersion = 1
	}
	return s.step(e)
}

func (s *script) table(t *testing.T, d *datadriven.TestData, electors []assign.ProcessID) *assign.Table {
	table := &assign.Table{Version: 1, Services: make(map[assign.ServiceID][]assign.Holding), Electors: electors}
	lines := strings.Split(d.Input, "\n")
	for i, line := range lines {
		var owners, state string
		var h assign.Holding
		if _, err := fmt.Sscan(line, &owners, &h.Base, &h.Rank, &state); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		width := ^uint64(0)/uint64(len(lines)) + 1
		h.Span = assign.Span{From: uint64(i) * width, To: uint64(i+1)*width - 1}
		for _, id := range strings.Split(owners, ",") {
			h.Owners = append(h.Owners, assign.ServerID(id))
		}
		h.Open = state == "open"
		table.Services[service] = append(table.Services[service], h)
	}
	for _, id := range list(d, "runs") {
		table.Runs = append(table.Runs, assign.Run{Process: assign.ProcessID(id), Incarnation: id + ".1"})
	}
	for _, pair := range list(d, "buckets") {
		a, b, _ := strings.Cut(pair, "+")
		table.Buckets = append(table.Buckets, assign.Bucket{Generation: 1, Recorders: []assign.ProcessID{assign.ProcessID(a), assign.ProcessID(b)}})
	}
	return table
}

func (s *script) step(e owner.DeciderEvent) string {
	var out strings.Builder
	for _, a := range s.d.Step(s.now, e) {
		if line := s.describe(a); line != "" {
			fmt.Fprintf(&out, "%6.2f %s\n", s.now.Sub(epoch).Seconds(), line)
		}
	}
	return out.String()
}

// fence is shown with its server.
func fence(server assign.ServerID, f lease.Fence) string { return fmt.Sprintf("%s@%d", server, f) }
