package conf

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// TestDefaultsParse guards against a default that its own kind refuses: the key would silently get the
// zero value.
func TestDefaultsParse(t *testing.T) {
	g := NewWithT(t)
	for _, s := range settings {
		if s.required || s.defaultValue == "" {
			continue
		}
		_, f := parseValue(s.kind, s.defaultValue)
		g.Expect(f).To(BeNil(), "%s in [%s]", s.name, s.section)
	}
}

// TestExamplesParse guards against an example in a remedy that the parser refuses.
func TestExamplesParse(t *testing.T) {
	g := NewWithT(t)
	for _, s := range settings {
		if !s.required || s.name == anyName {
			continue
		}
		_, f := parseValue(s.kind, exampleValue(s.kind))
		g.Expect(f).To(BeNil(), "%s in [%s]", s.name, s.section)
	}
}

// TestTableIsComplete guards against a kind without unit or bounds on the reference page, a key that is
// listed twice, and a section whose keys are not adjacent in the table.
func TestTableIsComplete(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[string]bool)
	for _, s := range settings {
		g.Expect(unit(s.kind)).NotTo(BeEmpty(), s.name)
		g.Expect(bounds(s.kind)).NotTo(BeEmpty(), s.name)
		g.Expect(s.description).To(HaveSuffix("."), s.name)
		g.Expect(seen[s.section+"/"+s.name]).To(BeFalse(), s.name)
		seen[s.section+"/"+s.name] = true
	}
	for _, file := range FileKindValues() {
		sections := make(map[string]bool)
		for _, name := range sectionsOf(file) {
			g.Expect(sections[name]).To(BeFalse(), name)
			sections[name] = true
		}
	}
}

// TestDefaultTiming guards against defaults that differ from the intended durations, margins and limits.
func TestDefaultTiming(t *testing.T) {
	g := NewWithT(t)
	r := &report{}
	timing := buildTiming(r, section{name: timingSection})
	g.Expect(r.faults).To(BeEmpty())
	g.Expect(timing).To(Equal(Timing{
		TermLease:     time.Second,
		ServingLease:  2 * time.Second,
		Grant:         2 * time.Second,
		Beat:          200 * time.Millisecond,
		Silence:       time.Second,
		Margin:        lease.DefaultMargin,
		StoreTimeout:  500 * time.Millisecond,
		DrainNotice:   time.Second,
		BookingWindow: 10 * time.Minute,
	}))
	g.Expect(buildLimits(r, section{name: limitsSection})).To(Equal(Limits{
		BodyBytes:   1 << 20,
		HeaderBytes: 16 << 10,
		QueueLength: 256,
		RetryBudget: 0.1,
		ReadTimeout: 5 * time.Second,
		Events:      4096,
	}))
}

// TestNearest guards against a suggestion that is not the nearest name.
func TestNearest(t *testing.T) {
	g := NewWithT(t)
	names := []string{"slots", "servers", "connections"}
	g.Expect(nearest("slot", names)).To(Equal("slots"))
	g.Expect(nearest("severs", names)).To(Equal("servers"))
	g.Expect(nearest("conections", names)).To(Equal("connections"))
	g.Expect(nearest("x", nil)).To(BeEmpty())
	g.Expect(distance("kitten", "sitting")).To(Equal(3))
	g.Expect(distance("", "abc")).To(Equal(3))
}
