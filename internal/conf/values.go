package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// values are the parsed settings of one section. A key that is faulty reads as the zero value; the
// report then has a fault for it.
type values struct {
	section section
	parsed  map[string]any
	lines   map[string]int
	// whole reports whether every key was read without a fault.
	whole bool
}

// readSection parses the keys of a section by the table's entries for the pattern, and reports
// unknown, duplicate, missing and faulty keys.
func readSection(r *report, s section, pattern string) values {
	before := len(r.faults) + r.hidden
	v := values{section: s, parsed: make(map[string]any), lines: make(map[string]int)}
	known := settingsOf(pattern)
	for _, e := range s.keys {
		v.read(r, e, known)
	}
	for _, k := range known {
		v.complete(r, k)
	}
	v.whole = len(r.faults)+r.hidden == before
	return v
}

func (v *values) read(r *report, e entry, known []setting) {
	if first, twice := v.lines[e.name]; twice {
		r.add(e.line, fmt.Sprintf("the key %q is set twice, first in line %d", brief(e.name), first), "remove one of the lines")
		return
	}
	k, ok := settingFor(e.name, known)
	if !ok {
		v.unknown(r, e, known)
		return
	}
	v.lines[e.name] = e.line
	value, f := parseValue(k.kind, e.value)
	if f != nil {
		r.add(e.line, fmt.Sprintf("%s: %s", e.name, f.problem), f.remedy)
		return
	}
	v.parsed[e.name] = value
}

func (v *values) unknown(r *report, e entry, known []setting) {
	if r.full() {
		r.hidden++
		return
	}
	names := keyNames(known)
	if slices.Contains(names, anyName) {
		r.add(e.line, fmt.Sprintf("%q is no name", brief(e.name)), nameRemedy)
		return
	}
	r.add(e.line, fmt.Sprintf("section [%s] has no key %q", brief(v.section.name), brief(e.name)),
		fmt.Sprintf("the nearest known key is %q", nearest(e.name, names)))
}

// complete sets a key that the section leaves out to its default.
func (v *values) complete(r *report, k setting) {
	if _, set := v.lines[k.name]; set || k.name == anyName {
		return
	}
	if k.required {
		r.add(v.section.line, fmt.Sprintf("section [%s] has no %q", brief(v.section.name), k.name),
			fmt.Sprintf("add a line such as: %s = %s", k.name, example(k.kind)))
		return
	}
	if k.standard == "" {
		return
	}
	if value, f := parseValue(k.kind, k.standard); f == nil {
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

// line returns the line of a key, or of the section where the key is left out.
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
