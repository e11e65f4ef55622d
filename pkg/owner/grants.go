package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// probeEvery is the number of beats between probes of a server whose grants are answered; the
// others are probed each beat.
const probeEvery = 5

// renewGrants renews the grants of every live server and probes servers.
func (d *Decider) renewGrants(now time.Time) {
	work := d.grantable()
	d.beats++
	for _, id := range d.serverIDs() {
		quiet := d.servers[id].quiet(now, d.answerTime())
		if spans := work[id]; len(spans) > 0 && !quiet && d.beats%d.renewEvery() == 0 {
			d.sendGrant(now, id, spans)
		}
		if len(work[id]) == 0 || quiet || d.beats%probeEvery == 0 {
			d.act(ProbeServer{Server: id, Incarnation: d.servers[id].incarnation})
		}
	}
}

// renewEvery returns the number of beats between two renewals of a grant: as many as leave room for
// one lost answer before the server counts as silent. A renewal names every span of its server, so
// renewals are most of what the decider sends.
func (d *Decider) renewEvery() uint64 {
	return max(1, uint64(d.config.Silence/(2*d.config.HeartbeatInterval)))
}

// answerTime is the age of a server's last answer above which its grants are not renewed. A frozen
// server may take a renewal on its return, so each one sent would put off the lapse of its grants;
// probes put off nothing.
func (d *Decider) answerTime() time.Duration {
	return time.Duration(d.renewEvery()+1) * d.config.HeartbeatInterval
}

// grantable returns the spans of each server that its next grant names.
func (d *Decider) grantable() map[assign.ServerID][]*span {
	work := make(map[assign.ServerID][]*span)
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			owner := d.servers[s.Owner()]
			if owner.ready() && owner.Fencing == assign.Grants && (s.Open || s.granting) {
				work[owner.ID] = append(work[owner.ID], s)
			}
		}
	}
	return work
}

// sendGrant sends one grant with all spans of a server. It is counted from now: the deadline is
// fixed here, so that a late send does not extend it.
func (d *Decider) sendGrant(now time.Time, id assign.ServerID, spans []*span) {
	d.grants++
	grant := SendGrant{
		Server:      id,
		Incarnation: d.servers[id].incarnation,
		Version:     d.grants,
		Deadline:    now.Add(d.config.Grant),
	}
	for _, s := range spans {
		s.granted.Extend(now, d.config.Grant, d.config.Margin)
		s.used = true
		if s.asked == 0 {
			s.asked = d.grants
		}
		grant.Spans = append(grant.Spans, s.grant())
	}
	d.act(grant)
}

func (d *Decider) grantAnswered(now time.Time, e GrantAnswered) {
	s := d.servers[e.Server]
	if s == nil || s.lost {
		return
	}
	if s.incarnation != e.Incarnation {
		d.act(ProbeServer{Server: s.ID, Incarnation: s.incarnation})
		return
	}
	s.heard = now
	if !e.OK || d.closedSpans == 0 {
		return
	}
	for _, id := range d.serviceIDs() {
		for _, sp := range d.spans[id] {
			if sp.granting && sp.Owner() == e.Server && sp.asked > 0 && sp.asked <= e.Version {
				d.open(now, sp)
			}
		}
	}
}

// serviceIDs returns the services with spans, sorted.
func (d *Decider) serviceIDs() []assign.ServiceID {
	if len(d.sorted) != len(d.spans) {
		d.sorted = slices.Sorted(maps.Keys(d.spans))
	}
	return d.sorted
}

// sendRevokes tells the servers of kind grants to stop the spans that leave them, once a majority
// holds them closed. Otherwise a next decider might not know of the closing, and renew a fence that
// the server refuses from the revoke on. One message carries all spans that left a server by one
// version.
func (d *Decider) sendRevokes(wanted func(*leave) bool) {
	if d.closedSpans == 0 {
		return
	}
	type key struct {
		server  assign.ServerID
		version uint64
	}
	work := make(map[key][]Grant)
	var order []key
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			for _, l := range s.leaves {
				owner := d.servers[l.server]
				if !wanted(l) || !d.Committed(l.version) || !owner.ready() || owner.Fencing != assign.Grants {
					continue
				}
				l.revoked = true
				k := key{l.server, l.version}
				if work[k] == nil {
					order = append(order, k)
				}
				work[k] = append(work[k], Grant{Service: id, Span: s.Span, Fence: l.fence})
			}
		}
	}
	for _, k := range order {
		d.act(SendRevoke{Server: k.server, Version: k.version, Spans: work[k]})
	}
}

func (d *Decider) repeatRevokes() {
	d.sendRevokes(func(l *leave) bool { return !l.done })
}

func (d *Decider) firstRevokes() {
	d.sendRevokes(func(l *leave) bool { return !l.done && !l.revoked })
}

func (d *Decider) revokeAnswered(e RevokeAnswered) {
	if !e.OK {
		return
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			for _, l := range s.leaves {
				if l.server == e.Server && l.version == e.Version && d.kind(l.server) == assign.Grants {
					l.done = true
				}
			}
		}
	}
}
