package elect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// TestMachineScripts steps single machines through the events of the files and compares the actions.
// Each case in the files says which failure it guards against.
func TestMachineScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/machine", func(t *testing.T, path string) {
		var s machineScript
		datadriven.RunTest(t, path, s.run)
	})
}

type machineScript struct {
	machine *elect.Machine
	now     time.Time
	// ahead is the distance of Latest from Now.
	ahead time.Duration
}

func (s *machineScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		return s.create(t, d)
	case "wall-step":
		s.ahead += argDuration(t, d, "by")
		return s.describe()
	case "state":
		return s.describe()
	}
	s.now = s.now.Add(argDuration(t, d, "after"))
	return s.step(s.event(t, d))
}

// create makes a machine whose wait is over and that has learned term 0, or one that has just
// started.
func (s *machineScript) create(t *testing.T, d *datadriven.TestData) string {
	s.now, s.ahead = epoch, 0
	s.machine = elect.New(elect.Config{
		Self:            "a",
		Electors:        ids(argString(t, d, "electors")),
		ElectorsVersion: argUint(t, d, "version"),
		Started:         epoch,
		Seed:            1,
	})
	if d.HasArg("restarted") {
		return ""
	}
	s.now = s.now.Add(lease.DefaultMargin.AddTo(elect.DefaultTermLease))
	s.machine.Step(s.now, elect.StateLearned{})
	return ""
}

func (s *machineScript) event(t *testing.T, d *datadriven.TestData) elect.Event {
	from := assign.ProcessID(argString(t, d, "from"))
	term := argUint(t, d, "term")
	version := argUint(t, d, "version")
	switch d.Cmd {
	case "tick":
		return elect.Tick{Latest: s.now.Add(s.ahead)}
	case "claim":
		return elect.ClaimReceived{From: from, Term: term, ElectorsVersion: version, Probe: d.HasArg("probe")}
	case "beat":
		return elect.BeatReceived{From: from, Term: term, ElectorsVersion: version}
	case "answer":
		return elect.AnswerReceived{
			From: from, Term: term, SentAt: s.now.Add(s.ahead - argDuration(t, d, "sent-ago")),
			Granted: d.HasArg("granted"), HighestTerm: argUint(t, d, "highest"), ElectorsVersion: version,
			Probe: d.HasArg("probe"),
		}
	case "release":
		return elect.ReleaseReceived{From: from, Term: term, Next: d.HasArg("next")}
	case "electors":
		return elect.ElectorsChanged{Electors: ids(argString(t, d, "set")), Version: version}
	case "learned":
		return elect.StateLearned{HighestTerm: term}
	case "stop":
		return elect.Stop{}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return nil
}

func (s *machineScript) step(e elect.Event) string {
	var b strings.Builder
	for _, a := range s.machine.Step(s.now, e) {
		fmt.Fprintf(&b, "%s %+v\n", strings.TrimPrefix(fmt.Sprintf("%T", a), "elect."), a)
	}
	return b.String()
}

func (s *machineScript) describe() string {
	m := s.machine
	return fmt.Sprintf("leads=%t decider=%q term=%d highest=%d learned=%t promised=%v settled=%t\n",
		m.Leads(s.now.Add(s.ahead)), m.Leader(), m.Term(), m.HighestTerm(), m.Learned(), m.Promised(), m.Settled())
}

// TestNetworkScripts runs small networks through the faults of the files and compares who wins and
// loses terms. Each case in the files says which failure it guards against.
func TestNetworkScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/network", func(t *testing.T, path string) {
		var s networkScript
		datadriven.RunTest(t, path, s.run)
	})
}

type networkScript struct {
	network *network
	out     strings.Builder
}

func (s *networkScript) run(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	if d.Cmd == "new" {
		s.network = newNetwork(argUint(t, d, "seed"), int(argUint(t, d, "processes")), int(argUint(t, d, "electors")))
		s.network.log = func(format string, a ...any) { fmt.Fprintf(&s.out, format+"\n", a...) }
		return ""
	}
	s.command(t, d)
	for _, f := range s.network.faults {
		fmt.Fprintf(&s.out, "fault: %s\n", f)
	}
	s.network.faults = nil
	return s.out.String()
}

func (s *networkScript) command(t *testing.T, d *datadriven.TestData) {
	n := s.network
	nd := n.byID[assign.ProcessID(argString(t, d, "of"))]
	switch d.Cmd {
	case "run":
		n.run(n.now + argDuration(t, d, "for"))
	case "cut":
		n.isolate(nd, argDuration(t, d, "for"), d.HasArg("out"), d.HasArg("in"))
	case "pause":
		n.pause(nd, argDuration(t, d, "for"), argDuration(t, d, "hidden"))
	case "restart":
		n.restart(nd, d.HasArg("freeze"))
	case "end":
		nd.down = true
	case "stop":
		n.step(nd, elect.Stop{}, time.Time{})
	case "change":
		n.changeElectorSet(nd)
	case "decider":
		if decider := n.decider(); decider != nil {
			fmt.Fprintf(&s.out, "%s in term %d\n", decider.id, decider.machine.Term())
		} else {
			s.out.WriteString("none\n")
		}
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func ids(set string) []assign.ProcessID {
	var ids []assign.ProcessID
	for id := range strings.SplitSeq(set, "+") {
		ids = append(ids, assign.ProcessID(id))
	}
	return ids
}

func argString(t *testing.T, d *datadriven.TestData, name string) string {
	var s string
	d.MaybeScanArgs(t, name, &s)
	return s
}

func argUint(t *testing.T, d *datadriven.TestData, name string) uint64 {
	var u uint64
	d.MaybeScanArgs(t, name, &u)
	return u
}

func argDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	s := argString(t, d, name)
	if s == "" {
		return 0
	}
	length, err := time.ParseDuration(s)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return length
}
