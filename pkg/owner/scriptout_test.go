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

// describe returns one line for an action, and stores what later commands refer to. It omits
// probes, renewals and heartbeats without a new table or lease state.
func (s *script) describe(a owner.DeciderAction) string {
	switch a := a.(type) {
	case owner.SendHeartbeat:
		return s.describeHeartbeat(a)
	case owner.SendGrant:
		s.lastGrants[a.Server] = a.Version
		shown := formatGrants(a.Server, a.Spans)
		if s.shownGrants[a.Server] == shown {
			return ""
		}
		s.shownGrants[a.Server] = shown
		return fmt.Sprintf("grant %s: %s until %.2f", a.Incarnation, formatGrants(a.Server, a.Spans), a.Deadline.Sub(epoch).Seconds())
	case owner.SendRevoke:
		again := s.lastRevokes[a.Server] == a.Version
		s.lastRevokes[a.Server] = a.Version
		if again {
			return ""
		}
		return fmt.Sprintf("revoke %s", formatGrants(a.Server, a.Spans))
	case owner.WriteRecord:
		s.pending = a
		return fmt.Sprintf("write %s if %d: %s next %d", a.Record.Token, a.IfVersion, formatPlaces(a.Record.Services[service]), a.Record.NextFence)
	case owner.ReadRecord:
		return "read"
	case owner.StepDown:
		return "step down: " + a.Reason.String()
	case owner.Note:
		return describeNote(a)
	}
	return ""
}

func describeNote(n owner.Note) string {
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

// describeHeartbeat describes heartbeats to p1, which represent all others, if they carry a table
// or start or end a lease.
func (s *script) describeHeartbeat(b owner.SendHeartbeat) string {
	if b.Table != nil {
		s.version = b.Table.Version
	}
	leased := b.Lease > 0
	if b.Process != "p1" || leased == s.shownLease && b.Table == nil {
		return ""
	}
	s.shownLease = leased
	line := "beat"
	if b.Lease > 0 {
		line += " with lease"
	}
	if b.Table != nil {
		line += " " + describeTable(b.Table)
	}
	return line
}

func describeTable(t *assign.Table) string {
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
		text += fmt.Sprintf(" %s %s", formatFence(h.Owner(), h.Fence()), state)
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

func formatGrants(server assign.ServerID, spans []owner.Grant) string {
	parts := make([]string, len(spans))
	for i, g := range spans {
		parts[i] = formatFence(server, g.Fence)
	}
	return strings.Join(parts, " ")
}

func formatPlaces(places []assign.Place) string {
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

func argList(d *datadriven.TestData, key string) []string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return slices.Clone(a.Vals)
		}
	}
	return nil
}

func arg(d *datadriven.TestData, key string) string {
	return strings.Join(argList(d, key), ",")
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	n, err := strconv.ParseInt(arg(d, key), 0, 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return int(n)
}

func durationArg(t *testing.T, d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	if !d.HasArg(key) {
		return fallback
	}
	v, err := time.ParseDuration(arg(d, key))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

// runFollower runs the commands of a follower file.
func (s *script) runFollower(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "wait":
		s.now = s.now.Add(durationArg(t, d, "for", heartbeatInterval))
		return fmt.Sprintf("serves %v\n", s.follower.Serves(s.now))
	case "beat":
		return s.stepFollower(s.beatReceived(t, d))
	case "promise":
		return s.stepFollower(owner.TermPromised{Term: uint64(intArg(t, d, "term"))})
	case "counted":
		e := owner.InFlightCounted{Version: uint64(intArg(t, d, "version")), InFlight: make(map[assign.ServerID]int)}
		for _, id := range argList(d, "in-flight") {
			e.InFlight[assign.ServerID(id)]++
		}
		return s.stepFollower(e)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// beatReceived returns a heartbeat that echoes the last timestamp sent by the follower.
func (s *script) beatReceived(t *testing.T, d *datadriven.TestData) owner.HeartbeatReceived {
	e := owner.HeartbeatReceived{From: "p1", Term: uint64(intArg(t, d, "term")), Incarnation: "f.1", Echo: s.sent}
	if d.HasArg("incarnation") {
		e.Incarnation = arg(d, "incarnation")
	}
	if d.HasArg("lease") {
		e.Lease = 2 * time.Second
	}
	if d.Input != "" {
		e.Table = s.table(t, d, nil)
		e.Table.Version, e.Table.Term = uint64(intArg(t, d, "version")), e.Term
	}
	return e
}

func (s *script) stepFollower(e owner.FollowerEvent) string {
	var out strings.Builder
	for _, a := range s.follower.Step(s.now, e) {
		switch a := a.(type) {
		case owner.Apply:
			fmt.Fprintf(&out, "apply %d closing %s opening %s\n", a.Table.Version, formatAssignments(a.Closing), formatAssignments(a.Opening))
		case owner.Answer:
			s.sent = a.Sent
			fmt.Fprintf(&out, "answer term %d version %d in flight %v\n", a.Term, a.Version, a.InFlight)
		}
	}
	fmt.Fprintf(&out, "serves %v\n", s.follower.Serves(s.now))
	return out.String()
}

func formatAssignments(cs []owner.Assignment) string {
	parts := []string{}
	for _, c := range cs {
		parts = append(parts, fmt.Sprintf("%x-%x %s", c.Span.From>>60, c.Span.To>>60, formatFence(c.Server, c.Fence)))
	}
	return fmt.Sprint(parts)
}
