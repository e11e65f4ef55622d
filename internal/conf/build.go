package conf

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// maxPeers bounds the entry processes of a cell. The design allows about 60.
const maxPeers = 64

// fixedSections returns the sections of a file whose section names are fixed. A section that is
// left out is empty. It reports unknown, duplicate and missing sections.
func fixedSections(r *report, doc document, file FileKind) map[string]section {
	known := sectionsOf(file)
	found := make(map[string]section)
	for i, s := range doc.sections {
		if i == 0 {
			reportLoose(r, s)
			continue
		}
		if first, twice := found[s.name]; twice {
			reportTwice(r, s, first)
			continue
		}
		if !slices.Contains(known, s.name) {
			r.add(s.line, fmt.Sprintf("there is no section [%s] in a %s", brief(s.name), file),
				fmt.Sprintf("the nearest known section is [%s]", nearest(s.name, known)))
			continue
		}
		found[s.name] = s
	}
	for _, name := range known {
		if _, ok := found[name]; !ok {
			found[name] = section{name: name}
		}
	}
	return found
}

func reportLoose(r *report, s section) {
	for _, e := range s.keys {
		r.add(e.line, fmt.Sprintf("the key %q is before the first section", brief(e.name)), "move it below a [section] line")
	}
}

func reportTwice(r *report, s, first section) {
	r.add(s.line, fmt.Sprintf("section [%s] is there twice, first in line %d", brief(s.name), first.line),
		"move its keys to the first one")
}

func buildProcess(r *report, doc document) Process {
	sections := fixedSections(r, doc, ProcessFile)
	v := readSection(r, sections[processSection], processSection)
	p := Process{
		Name:            assign.ProcessID(v.text("name")),
		User:            v.text("user"),
		FailureDomain:   v.text("failure-domain"),
		CallerAddress:   v.address("caller-address"),
		PeerAddress:     v.address("peer-address"),
		AdminAddress:    v.address("admin-address"),
		PlatformAddress: v.address("platform-address"),
		Timing:          buildTiming(r, sections[timingSection]),
		Limits:          buildLimits(r, sections[limitsSection]),
		TLS:             buildTLS(r, sections[tlsSection]),
	}
	peers := readSection(r, sections[peersSection], peersSection)
	p.Peers = buildPeers(r, peers)
	if v.whole {
		checkAddresses(r, p, v)
	}
	if v.whole && peers.whole {
		checkSelf(r, p, peers)
	}
	return p
}

func buildPeers(r *report, v values) []Peer {
	var peers []Peer
	taken := make(map[netip.AddrPort]string)
	for _, e := range v.section.keys {
		place, ok := v.parsed[e.name].(endpoint)
		if !ok || e.line != v.line(e.name) {
			continue
		}
		if other, twice := taken[place.address]; twice {
			r.add(e.line, fmt.Sprintf("peer %s has the address of peer %s", e.name, other), "give each peer its own address")
		}
		taken[place.address] = e.name
		peers = append(peers, Peer{Name: assign.ProcessID(e.name), Address: place.address, FailureDomain: place.domain})
	}
	if len(peers) > maxPeers {
		r.add(v.section.line, fmt.Sprintf("the cell has %d entry processes, more than %d", len(peers), maxPeers),
			"divide the user into cells")
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// checkSelf reports a process that its own peer list leaves out or describes differently. Such a
// process would derive other electors than its peers.
func checkSelf(r *report, p Process, peers values) {
	i := slices.IndexFunc(p.Peers, func(q Peer) bool { return q.Name == p.Name })
	line := fmt.Sprintf("%s = %s %s", p.Name, p.PeerAddress, p.FailureDomain)
	if i < 0 {
		r.add(peers.section.line, fmt.Sprintf("section [peers] does not list this process, %s", p.Name), "add the line: "+line)
		return
	}
	if q := p.Peers[i]; q.Address != p.PeerAddress || q.FailureDomain != p.FailureDomain {
		r.add(peers.line(string(p.Name)), fmt.Sprintf("peer %s differs from section [process]", p.Name), "write the line as: "+line)
	}
}

// checkAddresses reports two listeners of the process that cannot both be opened.
func checkAddresses(r *report, p Process, v values) {
	listeners := []struct {
		key     string
		address netip.AddrPort
	}{
		{"caller-address", p.CallerAddress},
		{"peer-address", p.PeerAddress},
		{"admin-address", p.AdminAddress},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if overlap(a.address, b.address) {
				r.add(v.line(a.key), fmt.Sprintf("%s and %s use the same port of one address", b.key, a.key), "give each its own port")
			}
		}
	}
}

func overlap(a, b netip.AddrPort) bool {
	anywhere := a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return a.Port() == b.Port() && (anywhere || a.Addr() == b.Addr())
}

func buildLimits(r *report, s section) Limits {
	v := readSection(r, s, limitsSection)
	return Limits{
		BodyBytes:   v.number("body-bytes"),
		HeaderBytes: v.number("header-bytes"),
		QueueLength: v.number("queue-length"),
		RetryBudget: v.share("retry-budget"),
		ReadTimeout: v.duration("read-timeout"),
		Events:      v.number("events"),
	}
}

func buildTLS(r *report, s section) TLS {
	v := readSection(r, s, tlsSection)
	t := TLS{
		Certificate: v.text("certificate"),
		Key:         v.text("key"),
		Authority:   v.text("authority"),
		Callers:     v.flag("callers"),
	}
	if v.whole {
		checkTLS(r, t, v)
	}
	return t
}

// checkTLS reports certificate files that are set in part, with which a process could present a
// certificate but not check those of its peers, or the other way round.
func checkTLS(r *report, t TLS, v values) {
	paths := []struct{ key, path string }{
		{"certificate", t.Certificate},
		{"key", t.Key},
		{"authority", t.Authority},
	}
	var missing []string
	for _, p := range paths {
		if p.path == "" {
			missing = append(missing, p.key)
		}
	}
	if len(missing) > 0 && len(missing) < len(paths) {
		r.add(v.section.line, "section [tls] has no "+strings.Join(missing, " and no "),
			"set certificate, key and authority, or none of them")
	}
	if t.Callers && (t.Certificate == "" || t.Key == "") {
		r.add(v.line("callers"), "callers is true without a certificate and a key", "set certificate, key and authority, or callers = false")
	}
}

func buildTiming(r *report, s section) Timing {
	v := readSection(r, s, timingSection)
	t := Timing{
		TermLease:     v.duration("term-lease"),
		ServingLease:  v.duration("serving-lease"),
		Grant:         v.duration("grant"),
		Beat:          v.duration("beat"),
		Silence:       v.duration("silence"),
		Margin:        lease.Margin{Rate: v.share("rate-margin"), Slack: v.duration("slack")},
		StoreTimeout:  v.duration("store-timeout"),
		DrainNotice:   v.duration("drain-notice"),
		BookingWindow: v.duration("booking-window"),
	}
	if v.whole {
		checkTiming(r, t, v)
	}
	return t
}

func buildDeployment(r *report, doc document) Deployment {
	sections := fixedSections(r, doc, DeploymentFile)
	v := readSection(r, sections[deploymentSection], deploymentSection)
	network := readSection(r, sections[latencySection], latencySection)
	return Deployment{
		User:           v.text("user"),
		Processes:      v.texts("processes"),
		Teams:          v.texts("teams"),
		BetweenDomains: network.duration("between-failure-domains"),
		ToCallers:      network.duration("to-callers"),
		StandIn:        buildStandIn(r, sections[standInSection]),
	}
}

func buildStandIn(r *report, s section) StandIn {
	v := readSection(r, s, standInSection)
	return StandIn{
		Run:         v.duration("run"),
		LongFactor:  v.number("long-factor"),
		Connect:     v.duration("connect"),
		StoreWrites: v.number("store-writes"),
		StoreReads:  v.number("store-reads"),
		VMLag:       v.duration("vm-lag"),
	}
}
