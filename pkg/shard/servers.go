package shard

import (
	"maps"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// handleListed replaces the known servers of the listed services.
func (d *Decider) handleListed(now time.Time, e Listed) {
	for _, s := range d.services {
		s.listed = false
	}
	for id, servers := range e.Services {
		s := d.knownService(now, id)
		s.listed = true
		listed := make(map[assign.ServerID]assign.Server, len(servers))
		for _, a := range servers {
			listed[a.ID] = a
		}
		if !maps.EqualFunc(s.servers, listed, sameRun) {
			s.serversChanged = now
		}
		s.servers, s.evacuated = listed, e.Evacuated
		s.pruneServers(now)
		if s.recovery != nil {
			s.updateSweeps(e.ReadAt)
		}
	}
}

// pruneServers drops the state of servers that are no longer listed, and outdated entries of suspect and unresponsive
// servers.
func (s *service) pruneServers(now time.Time) {
	for id := range s.requestTimes.byServer {
		if _, ok := s.servers[id]; !ok {
			delete(s.requestTimes.byServer, id)
			delete(s.lastActive, id)
		}
	}
	for run, until := range s.suspects {
		if !now.Before(until) {
			delete(s.suspects, run)
		}
	}
	for run, nextProbe := range s.unresponsive {
		if now.Sub(nextProbe) > suspectDuration {
			delete(s.unresponsive, run)
		}
	}
}

// sameRun reports whether both entries are of the same run of a server.
func sameRun(a, b assign.Server) bool { return HolderOf(a).sameRun(HolderOf(b)) }

// eligible reports whether the holder may get keys.
func (s *service) eligible(now time.Time, h Holder) bool {
	a, ok := s.servers[h.Server]
	return ok && !a.Draining && !s.evacuated[a.FailureDomain] && HolderOf(a).sameRun(h) && !now.Before(s.suspects[runOf(h)])
}

// keepsGrant reports whether the grant of a row is renewed although its owner is not eligible: the failure domain of the
// owner is evacuated, and no server is left for its keys, or no change can be stored.
func (s *service) keepsGrant(now time.Time, r *row) bool {
	a, ok := s.servers[r.Owner.Server]
	return ok && r.Open && !a.Draining && s.evacuated[a.FailureDomain] && s.canRenew(now, r.Owner)
}

// canRenew reports whether an existing grant of the holder may be renewed. Unlike eligible, it allows draining servers and
// those of evacuated failure domains.
func (s *service) canRenew(now time.Time, h Holder) bool {
	a, ok := s.servers[h.Server]
	return ok && HolderOf(a).sameRun(h) && !now.Before(s.suspects[runOf(h)])
}
