package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// values holds the parsed settings of one section. A key with a fault has the zero value; the fault is
// in the report.
type values struct {
	section section
	parsed  map[string]any
	lines   map[string]int
	// valid reports whether all keys were read without a fault.
	valid bool
}

// readSection parses the keys of a section with the table entries for the pattern. It reports unknown,
// duplicate, missing and invalid keys.
func readSection(r *report, s section, pattern string) values {
	before := len(r.faults) + r.omitted
	v := values{section: s, parsed: make(map[string]any), lines: make(map[string]int)}
	known := settingsOf(pattern)
	for _, kv := range s.keys {
		v.readKey(r, kv, known)
	}
	for _, k := range known {
		v.applyDefault(r, k)
	}
	v.valid = len(r.faults)+r.omitted == before
	return v
}

func (v *values) readKey(r *report, kv keyValue, known []setting) {
	if first, dup := v.lines[kv.name]; dup {
		r.add(kv.line, fmt.Sprintf("the key %q is set twice, first in line %d", excerpt(kv.name), first), "remove one of the lines")
		return
	}
	k, ok := settingFor(kv.name, known)
	if !ok {
		v.reportUnknown(r, kv, known)
		return
	}
	v.lines[kv.name] = kv.line
	value, f := parseValue(k.kind, kv.value)
	if f != nil {
		r.add(kv.line, fmt.Sprintf("%s: %s", kv.name, f.problem), f.remedy)
		return
	}
	v.parsed[kv.name] = value
}

func (v *values) reportUnknown(r *report, kv keyValue, known []setting) {
	if r.atLimit() {
		r.omitted++
		return
	}
	names := keyNames(known)
	if slices.Contains(names, anyName) {
		r.add(kv.line, fmt.Sprintf("%q is no name", excerpt(kv.name)), nameRemedy)
		return
	}
	r.add(kv.line, fmt.Sprintf("section [%s] has no key %q", excerpt(v.section.name), excerpt(kv.name)),
		fmt.Sprintf("the nearest known key is %q", nearest(kv.name, names)))
}

// applyDefault sets a key that the section leaves out to its default. It reports the key if it is
// required.
func (v *values) applyDefault(r *report, k setting) {
	if _, set := v.lines[k.name]; set || k.name == anyName {
		return
	}
	if k.required {
		r.add(v.section.line, fmt.Sprintf("section [%s] has no %q", excerpt(v.section.name), k.name),
			fmt.Sprintf("add a line such as: %s = %s", k.name, exampleValue(k.kind)))
		return
	}
	if k.defaultValue == "" {
		return
	}
	if value, f := parseValue(k.kind, k.defaultValue); f == nil {
		v.parsed[k.name] = value
	}
}

// settingFor returns the table entry of a key.
func settingFor(name string, known []setting) (setting, bool) {
	for _, k := range known {
		if k.name == name || (k.name == anyName && isName(name)) {
			return k, true
		}
	}
	return setting{}, false
}

func keyNames(known []setting) []string {
	names := make([]string, len(known))
	for i, k := range known {
		names[i] = k.name
	}
	return names
}

// line returns the line of a key, or of the section if the key is left out.
func (v *values) line(name string) int {
	if n, ok := v.lines[name]; ok {
		return n
	}
	return v.section.line
}

func (v *values) text(name string) string {
	s, _ := v.parsed[name].(string)
	return s
}

func (v *values) texts(name string) []string {
	s, _ := v.parsed[name].([]string)
	return s
}

func (v *values) flag(name string) bool {
	b, _ := v.parsed[name].(bool)
	return b
}

func (v *values) number(name string) int {
	n, _ := v.parsed[name].(int)
	return n
}

func (v *values) share(name string) float64 {
	f, _ := v.parsed[name].(float64)
	return f
}

func (v *values) duration(name string) time.Duration {
	d, _ := v.parsed[name].(time.Duration)
	return d
}

func (v *values) address(name string) netip.AddrPort {
	a, _ := v.parsed[name].(netip.AddrPort)
	return a
}
