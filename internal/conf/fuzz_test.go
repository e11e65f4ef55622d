package conf

import (
	"net/netip"
	"os"
	"path"
	"path/filepath"
	"strings"
	"testing"
	"unicode"

	"gopkg.in/ini.v1"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// addSeeds adds the settings texts of the test data and the examples to the seed corpus.
func addSeeds(f *testing.F, cases, examples string) {
	text, err := os.ReadFile(cases)
	if err != nil {
		f.Fatal(err)
	}
	for block := range strings.SplitSeq(string(text), "\n\n") {
		_, input, found := strings.Cut(block, "\n[")
		if found {
			input, _, _ = strings.Cut("["+input, "\n----")
			f.Add(input)
		}
	}
	files, _ := filepath.Glob(examples)
	for _, name := range files {
		if text, err := os.ReadFile(name); err == nil {
			f.Add(string(text))
		}
	}
	f.Add("\uFEFF[a]\nb = \\\n\nc = d")
	f.Add("[a] # ]\n'b' = 'c'\n")
}

// FuzzParseProcess guards against a panic, a fault without a valid line, problem or remedy, and an
// accepted file that breaks a rule.
func FuzzParseProcess(f *testing.F) {
	addSeeds(f, "testdata/cases/process", "../../examples/*/entry-1.ini")
	f.Fuzz(func(t *testing.T, text string) {
		checkScan(t, text)
		p, faults := ParseProcess("f", text)
		checkFaults(t, text, faults)
		if len(faults) == 0 {
			checkProcess(t, p)
		}
	})
}

// FuzzParseTeam guards against the same failures as FuzzParseProcess.
func FuzzParseTeam(f *testing.F) {
	addSeeds(f, "testdata/cases/team", "../../examples/*/team-*.ini")
	f.Fuzz(func(t *testing.T, text string) {
		checkScan(t, text)
		team, faults := ParseTeam("yards", "f", text)
		checkFaults(t, text, faults)
		if len(faults) == 0 {
			checkTeam(t, team)
		}
		Check([]Text{{Name: "f", Content: text}, {Name: "f", Content: text}})
	})
}

// checkScan guards against a scan that finds other sections or keys than ini.v1 does: a setting would
// be read as empty, or a fault would be reported at the wrong line.
func checkScan(t *testing.T, text string) {
	doc, ok := readDocument(&report{}, text)
	if !ok {
		return
	}
	file, err := ini.LoadSources(loadOptions, []byte(strings.TrimPrefix(text, byteOrderMark)))
	if err != nil {
		t.Fatalf("ini.v1 refuses what readDocument accepts: %v", err)
	}
	sections := file.Sections()
	if len(sections) != len(doc.sections) {
		t.Fatalf("the scan found %d sections, ini.v1 %d", len(doc.sections), len(sections))
	}
	for i, s := range doc.sections {
		checkKeys(t, s, sections[i])
	}
}

func checkKeys(t *testing.T, s section, parsed *ini.Section) {
	if s.name != parsed.Name() {
		t.Fatalf("the scan found section %q, ini.v1 %q", s.name, parsed.Name())
	}
	total := 0
	for _, k := range parsed.Keys() {
		total += len(k.ValueWithShadows())
	}
	if total != len(s.keys) {
		t.Fatalf("the scan found %d keys in %q, ini.v1 %d", len(s.keys), s.name, total)
	}
	for _, kv := range s.keys {
		if !parsed.HasKey(kv.name) {
			t.Fatalf("the scan found key %q in %q, ini.v1 did not", kv.name, s.name)
		}
	}
}

func checkFaults(t *testing.T, text string, faults []Fault) {
	if len(faults) > MaxFaults+1 {
		t.Fatalf("got %d faults, want at most MaxFaults+1", len(faults))
	}
	lines := strings.Count(text, "\n") + 1
	for _, f := range faults {
		if f.File != "f" || f.Line < 0 || f.Line > lines || f.Problem == "" || f.Remedy == "" {
			t.Fatalf("incomplete fault: %#v", f)
		}
		if strings.ContainsFunc(f.String(), unicode.IsControl) {
			t.Fatalf("control characters in fault %q", f)
		}
	}
}

func checkProcess(t *testing.T, p Process) {
	if len(p.Others()) != len(p.Peers)-1 || p.Name == "" || !p.PeerAddress.IsValid() {
		t.Fatalf("a process without its own peer line: %+v", p)
	}
	m := p.Timing.Margin
	term := m.AddTo(p.Timing.TermLease)
	longest := max(m.AddTo(p.Timing.ServingLease), m.AddTo(p.Timing.Grant))
	if term >= p.Timing.ServingLease || term >= p.Timing.Grant || term+longest >= maxRecoveryTime {
		t.Fatalf("unsafe timing: %+v", p.Timing)
	}
}

func checkTeam(t *testing.T, team Team) {
	ids := make(map[assign.ServerID]bool)
	addresses := make(map[netip.AddrPort]bool)
	for _, s := range team.Services {
		if s.Exclusive && s.Key == nil {
			t.Fatalf("exclusive without a key: %+v", s)
		}
		for _, v := range s.Servers {
			if ids[v.ID] || addresses[v.Address] || v.Service != s.ID {
				t.Fatalf("server %+v is there twice or in another service", v)
			}
			ids[v.ID], addresses[v.Address] = true, true
		}
		checkOperations(t, s)
	}
}

func checkOperations(t *testing.T, s Service) {
	if len(s.Operations) == 0 || len(s.Servers) == 0 {
		t.Fatalf("a service without operations or servers: %+v", s)
	}
	for _, o := range s.Operations {
		if o.Class == Booking && o.Repeatable {
			t.Fatalf("a repeatable booking: %+v", o)
		}
		if found, ok := s.Match(o.Method, o.Prefix); !ok || found != o {
			t.Fatalf("%+v does not match its own prefix but %+v", o, found)
		}
	}
}

// FuzzMatch guards against a path that Match classifies as one operation and the server resolves to
// another one.
func FuzzMatch(f *testing.F) {
	for _, p := range []string{"/", "/a/b", "/a/../b", "/a/%2e%2e/b", "//a", "/a%2Fb", "/control/x", "/%61", "/a/b/", ""} {
		f.Add(p)
	}
	s := Service{Operations: []Operation{
		{Name: "ab", Method: "GET", Prefix: "/a/b"},
		{Name: "a", Method: "GET", Prefix: "/a"},
		{Name: "all", Method: "GET", Prefix: "/"},
	}}
	f.Fuzz(func(t *testing.T, raw string) {
		o, ok := s.Match("GET", raw)
		if !ok {
			return
		}
		decoded, _ := decodePath(raw)
		resolved := path.Clean(decoded)
		if resolved != decoded && resolved+"/" != decoded {
			t.Fatalf("%q resolves to %q", raw, resolved)
		}
		if want := expectedOperation(resolved); o.Name != want {
			t.Fatalf("%q matched %s, not %s", raw, o.Name, want)
		}
	})
}

// expectedOperation returns the operation of a resolved path, determined by its segments.
func expectedOperation(resolved string) string {
	segments := strings.Split(resolved[1:], "/")
	switch {
	case segments[0] != "a":
		return "all"
	case len(segments) > 1 && segments[1] == "b":
		return "ab"
	default:
		return "a"
	}
}
