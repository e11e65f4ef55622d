package conf_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// TestData runs the cases in testdata/cases. Each case has an INI text as its input and the faults or
// the value as its output. It guards against an accepted text with the fault that the comment of the
// case names, and against a wrong line number. The command "timing" appends its text to validProcess as
// section [timing], after line 12, and "tls" as section [tls].
func TestData(t *testing.T) {
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCase(t, d)
		})
	})
}

func runCase(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "process":
		p, faults := conf.ParseProcess("entry-1.ini", d.Input)
		return formatResult(faults, "%+v", p)
	case "team":
		team := "yards"
		d.MaybeScanArgs(t, "team", &team)
		v, faults := conf.ParseTeam(team, "team.ini", d.Input)
		return formatResult(faults, "%s", formatTeam(v))
	case "deployment":
		v, faults := conf.ParseDeployment("deployment.ini", d.Input)
		return formatResult(faults, "%+v", v)
	case "timing":
		_, faults := conf.ParseProcess("entry-1.ini", validProcess+"[timing]\n"+d.Input)
		return formatResult(faults, "%s", "ok")
	case "tls":
		p, faults := conf.ParseProcess("entry-1.ini", validProcess+"[tls]\n"+d.Input)
		return formatResult(faults, "%+v", p.TLS)
	case "match":
		return runMatch(t, d)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// validProcess has 11 lines, so appended text starts at line 12.
const validProcess = `[process]
name = entry-1
user = khangai
failure-domain = fd-1
caller-address = 127.0.0.1:8001
peer-address = 127.0.0.1:9001
admin-address = 127.0.0.1:7001
platform-address = 127.0.0.1:6000
[peers]
entry-1 = 127.0.0.1:9001 fd-1
entry-2 = 127.0.0.1:9002 fd-2
`

func formatResult(faults []conf.Fault, format string, value any) string {
	if len(faults) == 0 {
		return fmt.Sprintf(format, value)
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func formatTeam(t conf.Team) string {
	var b strings.Builder
	fmt.Fprintf(&b, "team %s contact %q\n", t.Name, t.Contact)
	for _, s := range t.Services {
		fmt.Fprintf(&b, "service %s exclusive=%t key=%v fencing=%s slots=%d connections=%d churn-budget=%g\n",
			s.ID, s.Exclusive, s.Key, s.Fencing, s.Slots, s.Connections, s.ChurnBudget)
		for _, v := range s.Servers {
			fmt.Fprintf(&b, "  server %s %s %s %s %s\n", v.ID, v.Service, v.Address, v.FailureDomain, v.Fencing)
		}
		for _, o := range s.Operations {
			fmt.Fprintf(&b, "  operation %s %s %s repeatable=%t class=%s timeout=%s\n",
				o.Name, o.Method, o.Prefix, o.Repeatable, o.Class, o.Timeout)
		}
	}
	return b.String()
}

// runMatch matches each input line, "METHOD path", against the operations in the arguments, each of the
// form op=(NAME,METHOD,/prefix).
func runMatch(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	b.WriteString("[team.yards.service.ledger]\nservers = a@127.0.0.1:1/fd-1\n")
	for _, a := range d.CmdArgs {
		fmt.Fprintf(&b, "[team.yards.service.ledger.operation.%s]\nmatch = %s %s\n", a.Vals[0], a.Vals[1], a.Vals[2])
	}
	team, faults := conf.ParseTeam("yards", "team.ini", b.String())
	if len(faults) > 0 {
		return formatResult(faults, "", nil)
	}
	var out []string
	for line := range strings.SplitSeq(d.Input, "\n") {
		method, path, _ := strings.Cut(line, " ")
		o, ok := team.Services[0].Match(method, path)
		out = append(out, fmt.Sprintf("%s -> %t %s", line, ok, o.Name))
	}
	return strings.Join(out, "\n")
}
