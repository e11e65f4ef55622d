package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// server is the decider's state of one backend server.
type server struct {
	assign.Server
	// listed is set while the server is in the list of backend servers.
	listed bool
	// incarnation is the run that answered last in this term, or "" if none did or that run has
	// ended.
	incarnation string
	answeredAt  time.Time
	probedAt    time.Time
	// idleAt is when the last probe was sent that found the server idle.
	idleAt time.Time
	// responsiveSince is the time since which the server has answered without a pause. Calls that
	// waited in its sockets during a pause are read shortly after the pause ends.
	responsiveSince time.Time
	lost            bool
	ended           bool
	endedAt         time.Time
	// gone is set once the VM no longer exists.
	gone bool
	// drainRequested is set while an operator drains the server, and drainReported while the server
	// reports that it is draining.
	drainRequested bool
	drainReported  bool
}

// usable reports whether spans may be assigned to the server.
func (s *server) usable() bool {
	return s != nil && s.listed && !s.lost && !s.draining()
}

func (s *server) draining() bool {
	return s.Draining || s.drainRequested || s.drainReported
}

// ready reports whether a grant can be sent to the server.
func (s *server) ready() bool {
	return s != nil && !s.lost && s.incarnation != ""
}

// silent reports whether the server's last answer is older than limit.
func (s *server) silent(now time.Time, limit time.Duration) bool {
	return now.Sub(s.answeredAt) > limit
}

func (d *Decider) serverIDs() []assign.ServerID {
	return slices.Sorted(maps.Keys(d.servers))
}

// setServers replaces the list of servers. A server that is no longer listed stays known until no
// span refers to it.
func (d *Decider) setServers(now time.Time, listed []assign.Server) {
	for _, s := range d.servers {
		s.listed = false
	}
	for _, l := range listed {
		s := d.servers[l.ID]
		if s == nil {
			s = &server{answeredAt: now}
			d.servers[l.ID] = s
		}
		s.Server = l
		s.listed = true
	}
	for _, id := range d.serverIDs() {
		if s := d.servers[id]; !s.listed && !d.isReferenced(id) {
			delete(d.servers, id)
		}
	}
	d.checkSpans = true
	d.record.dirty = true
}

// isReferenced reports whether a span lists the server as an owner.
func (d *Decider) isReferenced(id assign.ServerID) bool {
	for _, spans := range d.spans {
		for _, s := range spans {
			if slices.Contains(s.Owners, id) {
				return true
			}
		}
	}
	return false
}

func (d *Decider) serverAnswered(now time.Time, e ServerAnswered) {
	s := d.servers[e.Server]
	if s == nil || s.gone || e.ProbedAt.Before(s.probedAt) || s.ended && e.ProbedAt.Before(s.endedAt) {
		return
	}
	if s.lost || s.incarnation != e.Incarnation || now.Sub(s.answeredAt) >= d.config.Silence {
		s.responsiveSince = now
	}
	s.probedAt = e.ProbedAt
	d.checkSpans = d.checkSpans || s.lost || s.drainReported != e.Draining || s.incarnation != e.Incarnation
	s.drainReported = e.Draining
	d.setIncarnation(now, s, e.Incarnation)
	if s.lost {
		s.lost, s.ended = false, false
		d.record.dirty = true
		d.emit(Note{Kind: NoteServerBack, Server: s.ID})
	}
	if e.Idle && e.ProbedAt.Sub(s.responsiveSince) >= d.config.Silence {
		s.idleAt = e.ProbedAt
		d.markIdle(s.ID, e.ProbedAt)
	}
}

// setIncarnation records the run that answered. A new incarnation proves that the previous run has
// ended.
func (d *Decider) setIncarnation(now time.Time, s *server, incarnation string) {
	if s.incarnation != "" && s.incarnation != incarnation {
		d.markStopped(s.ID)
	}
	s.incarnation = incarnation
	s.answeredAt = now
}

// markIdle records that the server was idle after runs had ended. A call that a run sent just
// before it ended may still be on its way, so a probe soon after the end does not count.
func (d *Decider) markIdle(id assign.ServerID, probedAt time.Time) {
	for _, r := range d.runs {
		if r.ended && probedAt.Sub(r.endedAt) >= d.config.Silence {
			r.idleServers[id] = true
		}
	}
}

func (d *Decider) serverEnded(now time.Time, e ServerEnded) {
	s := d.servers[e.Server]
	if s == nil || !e.Gone && s.incarnation != e.Incarnation {
		return
	}
	s.ended = true
	s.endedAt = now
	s.gone = s.gone || e.Gone
	s.incarnation = ""
	d.markStopped(s.ID)
	d.markLost(s)
}

func (d *Decider) markLost(s *server) {
	if s.lost {
		return
	}
	s.lost = true
	d.checkSpans = true
	d.record.dirty = true
	d.emit(Note{Kind: NoteServerLost, Server: s.ID})
}

func (d *Decider) checkSilence(now time.Time) {
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		if now.Sub(s.answeredAt) >= d.silenceTimeout(s) {
			d.markLost(s)
		}
	}
}

// silenceTimeout returns the time without an answer after which the server counts as lost. It is
// half as long if the server has not answered in this term: calls that processes forward to it in
// the meantime delay the move of its spans, and the loss of owner and decider together has to be
// repaired within 4 s.
func (d *Decider) silenceTimeout(s *server) time.Duration {
	if s.incarnation == "" {
		return d.config.Silence / 2
	}
	return d.config.Silence
}

func (d *Decider) drainServer(e DrainServer) {
	if s := d.servers[e.Server]; s != nil {
		s.drainRequested = !e.Cancel
		d.checkSpans = true
		d.record.dirty = true
	}
}

// fencingOf returns the fencing kind of the server. An unknown server is assumed to have the kind
// that checks the least.
func (d *Decider) fencingOf(id assign.ServerID) assign.Fencing {
	if s := d.servers[id]; s != nil {
		return s.Fencing
	}
	return assign.None
}
