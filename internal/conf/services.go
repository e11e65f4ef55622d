package conf

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// reservedTeams are names that a team cannot have, because they have another meaning as the first
// segment of a path.
var reservedTeams = append([]string{"booking-ids"}, reservedSegments...)

// retriedMethods are methods that HTTP clients, including fasthttp, retry on their own after a
// connection failure.
var retriedMethods = []string{http.MethodGet, http.MethodHead, http.MethodPut}

// teamBuilder collects the sections of one team file.
type teamBuilder struct {
	report   *report
	team     string
	contact  string
	seen     map[string]section
	services map[string]*serviceDraft
	// servers holds the service of each server read so far, addresses the server at each address.
	servers   map[assign.ServerID]assign.ServiceID
	addresses map[netip.AddrPort]assign.ServerID
}

// serviceDraft is a service whose sections are still being read.
type serviceDraft struct {
	service Service
	values  values
	// declared reports whether the service's own section was read.
	declared bool
	line     int
	// matches holds the line of each route.
	matches map[route]int
}

func buildTeam(r *report, team string, doc document) Team {
	b := &teamBuilder{
		report:    r,
		team:      team,
		seen:      make(map[string]section),
		services:  make(map[string]*serviceDraft),
		servers:   make(map[assign.ServerID]assign.ServiceID),
		addresses: make(map[netip.AddrPort]assign.ServerID),
	}
	if !isName(team) || slices.Contains(reservedTeams, team) {
		r.add(0, fmt.Sprintf("%q cannot be the name of a team", excerpt(team)),
			nameRemedy+", and none of "+strings.Join(reservedTeams, ", "))
		return Team{}
	}
	for i, s := range doc.sections {
		if i == 0 {
			reportOrphanKeys(r, s)
			continue
		}
		b.add(s)
	}
	return b.build()
}

// add reads one section. It reports a duplicate, an unknown name and a section of another team.
func (b *teamBuilder) add(s section) {
	if first, dup := b.seen[s.name]; dup {
		reportDuplicate(b.report, s, first)
		return
	}
	b.seen[s.name] = s
	parts, pattern, ok := parseSectionName(s.name)
	if !ok {
		b.report.add(s.line, fmt.Sprintf("there is no section [%s] in a team-file", excerpt(s.name)),
			fmt.Sprintf("the nearest known section is [%s]", excerpt(nearestSection(s.name, b.team))))
		return
	}
	if parts.team != b.team {
		b.report.add(s.line, fmt.Sprintf("section [%s] is in the subtree of another team", excerpt(s.name)),
			fmt.Sprintf("move it to the file of team %s, or start it with team.%s", excerpt(parts.team), b.team))
		return
	}
	if name, invalid := parts.invalidName(); invalid {
		b.report.add(s.line, fmt.Sprintf("%q is no name", excerpt(name)), nameRemedy)
		return
	}
	b.addKnown(s, parts, pattern)
}

func (b *teamBuilder) addKnown(s section, parts sectionParts, pattern string) {
	v := readSection(b.report, s, pattern)
	switch pattern {
	case teamSection:
		b.contact = v.text("contact")
	case serviceSection:
		b.addService(b.draft(parts.service, s.line), v)
	case operationSection:
		b.addOperation(b.draft(parts.service, s.line), parts.operation, v)
	}
}

// draft returns the draft of a service. It creates the draft at the first section of the service,
// because operations may precede the section of the service itself.
func (b *teamBuilder) draft(name string, line int) *serviceDraft {
	d, ok := b.services[name]
	if !ok {
		d = &serviceDraft{line: line, matches: make(map[route]int)}
		d.service.ID = assign.ServiceID(b.team + "/" + name)
		b.services[name] = d
	}
	return d
}

func (b *teamBuilder) addService(d *serviceDraft, v values) {
	d.declared, d.values, d.line = true, v, v.section.line
	s := &d.service
	s.Exclusive = v.flag("exclusive")
	s.Key, _ = v.parsed["key"].(KeySource)
	s.Fencing, _ = assign.FencingString(v.text("fencing"))
	s.Slots = v.number("slots")
	s.Connections = v.number("connections")
	s.ChurnBudget = v.share("churn-budget")
	s.Servers, _ = v.parsed["servers"].([]assign.Server)
	b.checkKey(d)
	b.checkServers(d)
	slices.SortFunc(s.Servers, func(a, b assign.Server) int { return cmp.Compare(a.ID, b.ID) })
}

func (b *teamBuilder) checkKey(d *serviceDraft) {
	if _, set := d.values.lines["key"]; d.service.Exclusive && !set {
		b.report.add(d.values.line("exclusive"), fmt.Sprintf("service %s is exclusive but names no key", d.service.ID),
			"add a line such as: key = header:NAME")
	}
}

func (b *teamBuilder) checkServers(d *serviceDraft) {
	line := d.values.line("servers")
	for i := range d.service.Servers {
		s := &d.service.Servers[i]
		s.Service, s.Fencing = d.service.ID, d.service.Fencing
		if other, dup := b.servers[s.ID]; dup {
			b.report.add(line, fmt.Sprintf("the server name %s is used twice, first in service %s", s.ID, other),
				"give each server of the team its own name")
		} else {
			b.servers[s.ID] = d.service.ID
		}
		if other, dup := b.addresses[s.Address]; dup {
			b.report.add(line, fmt.Sprintf("server %s has the address %s of server %s", s.ID, s.Address, other),
				"give each server of the team its own address")
		} else {
			b.addresses[s.Address] = s.ID
		}
	}
}

func (b *teamBuilder) addOperation(d *serviceDraft, name string, v values) {
	o := Operation{Name: name, Repeatable: v.flag("repeatable"), Timeout: v.duration("timeout")}
	o.Class, _ = ClassString(v.text("class"))
	match, ok := v.parsed["match"].(route)
	o.Method, o.Prefix = match.method, match.prefix
	b.checkBooking(o, v)
	if first, dup := d.matches[match]; ok && dup {
		b.report.add(v.line("match"), fmt.Sprintf("%s %s is matched twice, first in line %d", o.Method, o.Prefix, first),
			"remove one of the operations or change its match")
	} else if ok {
		d.matches[match] = v.line("match")
	}
	d.service.Operations = append(d.service.Operations, o)
}

// checkBooking reports bookings that a retry could run twice.
func (b *teamBuilder) checkBooking(o Operation, v values) {
	if o.Class != Booking || !v.valid {
		return
	}
	if o.Repeatable {
		b.report.add(v.line("repeatable"), fmt.Sprintf("operation %s is a booking and marked repeatable", o.Name),
			"remove the line, or set another class if the operation may run twice")
	}
	if slices.Contains(retriedMethods, o.Method) {
		b.report.add(v.line("match"), fmt.Sprintf("operation %s is a booking by %s, which HTTP clients repeat", o.Name, o.Method),
			"match a booking by POST")
	}
}

// build runs the checks that need all sections and returns the team.
func (b *teamBuilder) build() Team {
	t := Team{Name: b.team, Contact: b.contact}
	if len(b.services) == 0 && b.report.empty() {
		b.report.add(0, fmt.Sprintf("team %s has no services", b.team),
			fmt.Sprintf("add a section [team.%s.service.NAME]", b.team))
	}
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		d := b.services[name]
		b.checkComplete(name, d)
		b.checkKeySegment(d)
		slices.SortFunc(d.service.Operations, compareOperations)
		t.Services = append(t.Services, d.service)
	}
	return t
}

func (b *teamBuilder) checkComplete(name string, d *serviceDraft) {
	if !d.declared {
		b.report.add(d.line, fmt.Sprintf("service %s has operations but no section", d.service.ID),
			fmt.Sprintf("add a section [team.%s.service.%s]", b.team, name))
	}
	if len(d.service.Operations) == 0 {
		b.report.add(d.line, fmt.Sprintf("service %s has no operations, so no call matches", d.service.ID),
			fmt.Sprintf("add a section [team.%s.service.%s.operation.NAME]", b.team, name))
	}
}

// checkKeySegment reports operations whose prefix includes the path segment of the key. All their calls
// would have the same key and would go to one server.
func (b *teamBuilder) checkKeySegment(d *serviceDraft) {
	source, ok := d.service.Key.(SegmentKey)
	if !ok {
		return
	}
	for _, o := range d.service.Operations {
		if o.Prefix != "" && o.Prefix != "/" && strings.Count(o.Prefix, "/") >= source.Index {
			b.report.add(d.matches[route{o.Method, o.Prefix}],
				fmt.Sprintf("the key %s is inside the prefix %s, so all calls have one key", source, o.Prefix),
				"name a later segment as the key, or shorten the prefix")
		}
	}
}

// compareOperations orders operations by prefix, longest first, so that the first match is the longest.
func compareOperations(a, b Operation) int {
	return cmp.Or(
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(a.Prefix, b.Prefix),
		cmp.Compare(a.Method, b.Method),
	)
}
