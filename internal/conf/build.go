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

// maxPeers limits the entry processes of a cell, which is designed for about 60.
const maxPeers = 64

// fixedSections returns the sections, by name, of a kind of file that has fixed section names. A
// section that the file leaves out is returned without keys. Unknown and duplicate sections, and keys
// before the first section, are reported.
func fixedSections(r *report, doc document, file FileKind) map[string]section {
	known := sectionsOf(file)
	found := make(map[string]section)
	for i, s := range doc.sections {
		if i == 0 {
			reportOrphanKeys(r, s)
			continue
		}
		if first, dup := found[s.name]; dup {
			reportDuplicate(r, s, first)
			continue
		}
		if !slices.Contains(known, s.name) {
			r.add(s.line, fmt.Sprintf("there is no section [%s] in a %s", excerpt(s.name), file),
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

func reportOrphanKeys(r *report, s section) {
	for _, kv := range s.keys {
		r.add(kv.line, fmt.Sprintf("the key %q is before the first section", excerpt(kv.name)), "move it below a [section] line")
	}
}

func reportDuplicate(r *report, s, first section) {
	r.add(s.line, fmt.Sprintf("section [%s] is there twice, first in line %d", excerpt(s.name), first.line),
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
	if v.valid {
		checkAddresses(r, p, v)
	}
	if v.valid && peers.valid {
		checkOwnPeer(r, p, peers)
	}
	return p
}

func buildPeers(r *report, v values) []Peer {
	var peers []Peer
	taken := make(map[netip.AddrPort]string)
	for _, kv := range v.section.keys {
		ep, ok := v.parsed[kv.name].(endpoint)
		if !ok || kv.line != v.line(kv.name) {
			continue
		}
		if other, dup := taken[ep.address]; dup {
			r.add(kv.line, fmt.Sprintf("peer %s has the address of peer %s", kv.name, other), "give each peer its own address")
		}
		taken[ep.address] = kv.name
		peers = append(peers, Peer{Name: assign.ProcessID(kv.name), Address: ep.address, FailureDomain: ep.domain})
	}
	if len(peers) > maxPeers {
		r.add(v.section.line, fmt.Sprintf("the cell has %d entry processes, more than %d", len(peers), maxPeers),
			"divide the user into cells")
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// checkOwnPeer reports a peer list that does not contain this process or has another address or
// failure domain for it. Such a process would derive other electors than its peers do.
func checkOwnPeer(r *report, p Process, peers values) {
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

// checkAddresses reports listeners of the process that would bind the same port of one address.
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
	unspecified := a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return a.Port() == b.Port() && (unspecified || a.Addr() == b.Addr())
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
	if v.valid {
		checkTLS(r, t, v)
	}
	return t
}

// checkTLS reports certificate, key and authority files of which only some are set: the process could
// present a certificate but not verify the certificates of its peers, or the reverse.
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
	if v.valid {
		checkTiming(r, t, v)
	}
	return t
}

func buildDeployment(r *report, doc document) Deployment {
	sections := fixedSections(r, doc, DeploymentFile)
	v := readSection(r, sections[deploymentSection], deploymentSection)
	latency := readSection(r, sections[latencySection], latencySection)
	return Deployment{
		User:           v.text("user"),
		Processes:      v.texts("processes"),
		Teams:          v.texts("teams"),
		BetweenDomains: latency.duration("between-failure-domains"),
		ToCallers:      latency.duration("to-callers"),
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
