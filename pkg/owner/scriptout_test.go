package owner_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// describe returns one line for an action, and keeps what later commands answer. Probes, renewals and
// heartbeats without news are left out.
func (s *script) describe(a owner.DeciderAction) string {
	switch a := a.(type) {
	case owner.SendHeartbeat:
		return s.beat(a)
	case owner.SendGrant:
		s.grants[a.Server] = a.Version
		shown := grantList(a.Server, a.Spans)
		if s.granted[a.Server] == shown {
			return ""
		}
		s.granted[a.Server] = shown
		return fmt.Sprintf("grant %s: %s until %.2f", a.Incarnation, grantList(a.Server, a.Spans), a.Deadline.Sub(epoch).Seconds())
	case owner.SendRevoke:
		again := s.revokes[a.Server] == a.Version
		s.revokes[a.Server] = a.Version
		if again {
			return ""
		}
		return fmt.Sprintf("revoke %s", grantList(a.Server, a.Spans))
	case owner.WriteRecord:
		s.pending = a
		return fmt.Sprintf("write %s if %d: %s next %d", a.Record.Token, a.IfVersion, placeList(a.Record.Services[service]), a.Record.NextFence)
	case owner.ReadRecord:
		return "read"
	case owner.StepDown:
		return "step down: " + a.Reason.String()
	case owner.Note:
		return note(a)
	}
	return ""
}

func note(n owner.Note) string {
	switch n.Kind {
	case owner.NoteServerLost, owner.NoteServerBack:
		return fmt.Sprintf("%s %s", n.Kind, n.Server)
	case owner.NoteProcessLost:
		return fmt.Sprintf("%s %s", n.Kind, n.Process)
	case owner.NoteHorizon, owner.NoteRecorders:
		return fmt.Sprintf("%s %x", n.Kind, n.Version)
	}
	return ""
}

// beat shows a heartbeat that gives a lease or a table to p1, which stands for all.
func (s *script) beat(b owner.SendHeartbeat) string {
	if b.Table != nil {
		s.version = b.Table.Version
	}
	lent := b.Lease > 0
	if b.Process != "p1" || lent == s.lent && b.Table == nil {
		return ""
	}
	s.lent = lent
	line := "beat"
	if b.Lease > 0 {
		line += " with lease"
	}
	if b.Table != nil {
		line += " " + showTable(b.Table)
	}
	return line
}

func showTable(t *assign.Table) string {
	const shown = 4
	text := fmt.Sprintf("table %x:", t.Version)
	for i, h := range t.Services[service] {
		if i == shown {
			text += " and more"
			break
		}
		state := "closed"
		if h.Open {
			state = "open"
		}
		text += fmt.Sprintf(" %s %s", fence(h.Owner(), h.Fence()), state)
	}
	for _, b := range t.Buckets[:min(shown, len(t.Buckets))] {
		text += fmt.Sprintf("; bucket %d %v", b.Generation, b.Recorders)
		if b.Copying {
			text += " copying"
		}
		if b.Horizon > 0 {
			text += fmt.Sprintf(" horizon %x", b.Horizon)
		}
	}
	return text
}

func grantList(server assign.ServerID, spans []owner.Grant) string {
	parts := make([]string, len(spans))
	for i, g := range spans {
		parts[i] = fence(server, g.Fence)
	}
	return strings.Join(parts, " ")
}

func placeList(places []assign.Place) string {
	const shown = 4
	var parts []string
	for _, p := range places[:min(shown, len(places))] {
		parts = append(parts, fmt.Sprintf("%v@%d", p.Owners, p.Base))
	}
	if len(places) > shown {
		parts = append(parts, fmt.Sprintf("and %d more", len(places)-shown))
	}
	return strings.Join(parts, " ")
}

func list(d *datadriven.TestData, key string) []string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return slices.Clone(a.Vals)
		}
	}
	return nil
}

func word(d *datadriven.TestData, key string) string {
	return strings.Join(list(d, key), ",")
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	n, err := strconv.ParseInt(word(d, key), 0, 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return int(n)
}

func duration(t *testing.T, d *datadriven.TestData, key string, otherwise time.Duration) time.Duration {
	if !d.HasArg(key) {
		return otherwise
	}
	v, err := time.ParseDuration(word(d, key))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

// follower runs the commands of a follower file.
func (s *script) follower(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "wait":
		s.now = s.now.Add(duration(t, d, "for", beat))
		return fmt.Sprintf("serves %v\n", s.f.Serves(s.now))
	case "beat":
		return s.follow(s.beatReceived(t, d))
	case "promise":
		return s.follow(owner.TermPromised{Term: uint64(number(t, d, "term"))})
	case "counted":
		e := owner.InFlightCounted{Version: uint64(number(t, d, "version")), InFlight: make(map[assign.ServerID]int)}
		for _, id := range list(d, "in-flight") {
			e.InFlight[assign.ServerID(id)]++
		}
		return s.follow(e)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// beatReceived builds a heartbeat; the echo is the last timestamp that the follower sent.
func (s *script) beatReceived(t *testing.T, d *datadriven.TestData) owner.HeartbeatReceived {
	e := owner.HeartbeatReceived{From: "p1", Term: uint64(number(t, d, "term")), Incarnation: "f.1", Echo: s.sent}
	if d.HasArg("incarnation") {
		e.Incarnation = word(d, "incarnation")
	}
	if d.HasArg("lease") {
		e.Lease = 2 * time.Second
	}
	if d.Input != "" {
		e.Table = s.table(t, d, nil)
		e.Table.Version, e.Table.Term = uint64(number(t, d, "version")), e.Term
	}
	return e
}

func (s *script) follow(e owner.FollowerEvent) string {
	var out strings.Builder
	for _, a := range s.f.Step(s.now, e) {
		switch a := a.(type) {
		case owner.Apply:
			fmt.Fprintf(&out, "apply %d closing %s opening %s\n", a.Table.Version, closings(a.Closing), closings(a.Opening))
		case owner.Answer:
			s.sent = a.Sent
			fmt.Fprintf(&out, "answer term %d version %d in flight %v\n", a.Term, a.Version, a.InFlight)
		}
	}
	fmt.Fprintf(&out, "serves %v\n", s.f.Serves(s.now))
	return out.String()
}

func closings(cs []owner.Closing) string {
	parts := []string{}
	for _, c := range cs {
		parts = append(parts, fmt.Sprintf("%x-%x %s", c.Span.From>>60, c.Span.To>>60, fence(c.Server, c.Fence)))
	}
	return fmt.Sprint(parts)
}
