package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// ticksPerProbe is the number of ticks between probes of a server that answers its grants. Other
// servers are probed at every tick.
const ticksPerProbe = 5

// renewGrants renews the grants of every server that answers, and probes servers.
func (d *Decider) renewGrants(now time.Time) {
	grantable := d.grantableSpans()
	d.ticks++
	for _, id := range d.serverIDs() {
		silent := d.servers[id].silent(now, d.maxAnswerAge())
		if spans := grantable[id]; len(spans) > 0 && !silent && d.ticks%d.ticksPerRenewal() == 0 {
			d.sendGrant(now, id, spans)
		}
		if len(grantable[id]) == 0 || silent || d.ticks%ticksPerProbe == 0 {
			d.emit(ProbeServer{Server: id, Incarnation: d.servers[id].incarnation})
		}
	}
}

// ticksPerRenewal returns the number of ticks between two renewals of a grant. It leaves room for
// one lost answer before the server counts as silent. Renewals are not more frequent because each
// names every span of its server, so that renewals are most of what the decider sends.
func (d *Decider) ticksPerRenewal() uint64 {
	return max(1, uint64(d.config.Silence/(2*d.config.HeartbeatInterval)))
}

// maxAnswerAge returns the age of a server's last answer above which its grants are no longer
// renewed. A frozen server may accept a pending renewal when it resumes, so each renewal would
// delay the time at which its grants lapse. Probes delay nothing.
func (d *Decider) maxAnswerAge() time.Duration {
	return time.Duration(d.ticksPerRenewal()+1) * d.config.HeartbeatInterval
}

// grantableSpans returns, for each server, the spans that its next grant names.
func (d *Decider) grantableSpans() map[assign.ServerID][]*span {
	grantable := make(map[assign.ServerID][]*span)
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			owner := d.servers[s.Owner()]
			if owner.ready() && owner.Fencing == assign.Grants && (s.Open || s.awaitsGrant) {
				grantable[owner.ID] = append(grantable[owner.ID], s)
			}
		}
	}
	return grantable
}

// sendGrant sends one grant with all spans of a server. Its deadline is counted from now, so that a
// late send does not extend it.
func (d *Decider) sendGrant(now time.Time, id assign.ServerID, spans []*span) {
	d.grantVersion++
	grant := SendGrant{
		Server:      id,
		Incarnation: d.servers[id].incarnation,
		Version:     d.grantVersion,
		Deadline:    now.Add(d.config.Grant),
	}
	for _, s := range spans {
		s.granted.Extend(now, d.config.Grant, d.config.Margin)
		s.mayRun = true
		if s.firstGrant == 0 {
			s.firstGrant = d.grantVersion
		}
		grant.Spans = append(grant.Spans, s.grant())
	}
	d.emit(grant)
}

func (d *Decider) grantAnswered(now time.Time, e GrantAnswered) {
	s := d.servers[e.Server]
	if s == nil || s.lost {
		return
	}
	if s.incarnation != e.Incarnation {
		d.emit(ProbeServer{Server: s.ID, Incarnation: s.incarnation})
		return
	}
	s.answeredAt = now
	if !e.OK || d.closedSpans == 0 {
		return
	}
	for _, id := range d.serviceIDs() {
		for _, sp := range d.spans[id] {
			if sp.awaitsGrant && sp.Owner() == e.Server && sp.firstGrant > 0 && sp.firstGrant <= e.Version {
				d.open(now, sp)
			}
		}
	}
}

// serviceIDs returns the services with spans, sorted.
func (d *Decider) serviceIDs() []assign.ServiceID {
	if len(d.sortedServices) != len(d.spans) {
		d.sortedServices = slices.Sorted(maps.Keys(d.spans))
	}
	return d.sortedServices
}

// sendRevokes tells servers of kind grants to stop the spans that moved away, once a majority has
// acknowledged that they are closed. Before that, a next decider might not know that the span was
// closed and renew a fence that the server refuses after the revoke. One message names all spans
// that moved away from a server in one table version.
func (d *Decider) sendRevokes(include func(*formerOwner) bool) {
	if d.closedSpans == 0 {
		return
	}
	type key struct {
		server  assign.ServerID
		version uint64
	}
	revoked := make(map[key][]Grant)
	var order []key
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			for _, former := range s.formerOwners {
				owner := d.servers[former.server]
				if !include(former) || !d.Committed(former.closedVersion) || !owner.ready() || owner.Fencing != assign.Grants {
					continue
				}
				former.revokeSent = true
				k := key{former.server, former.closedVersion}
				if revoked[k] == nil {
					order = append(order, k)
				}
				revoked[k] = append(revoked[k], Grant{Service: id, Span: s.Span, Fence: former.fence})
			}
		}
	}
	for _, k := range order {
		d.emit(SendRevoke{Server: k.server, Version: k.version, Spans: revoked[k]})
	}
}

func (d *Decider) resendRevokes() {
	d.sendRevokes(func(former *formerOwner) bool { return !former.stopped })
}

func (d *Decider) sendNewRevokes() {
	d.sendRevokes(func(former *formerOwner) bool { return !former.stopped && !former.revokeSent })
}

func (d *Decider) revokeAnswered(e RevokeAnswered) {
	if !e.OK {
		return
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			for _, former := range s.formerOwners {
				if former.server == e.Server && former.closedVersion == e.Version && d.fencingOf(former.server) == assign.Grants {
					former.stopped = true
				}
			}
		}
	}
}
