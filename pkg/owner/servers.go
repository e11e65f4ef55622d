package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// server is what the decider knows of one backend server.
type server struct {
	assign.Server
	// listed is set while the server belongs to its service.
	listed bool
	// incarnation is that of the last answer in this term, "" before the first.
	incarnation string
	heard       time.Time
	askedAt     time.Time
	// idleAt is the time of the last probe that found the server idle.
	idleAt time.Time
	// steady is the time since which the server has answered without a pause. Calls that waited in
	// its sockets during a pause are read within a short time after it.
	steady  time.Time
	lost    bool
	ended   bool
	endedAt time.Time
	// gone is set where the VM no longer exists.
	gone bool
	// ordered is set while an operator drains the server, told while the server says that it is
	// draining.
	ordered bool
	told    bool
}

// usable reports whether the server may get spans.
func (s *server) usable() bool {
	return s != nil && s.listed && !s.lost && !s.draining()
}

func (s *server) draining() bool {
	return s.Draining || s.ordered || s.told
}

// ready reports whether a grant can be addressed to the server.
func (s *server) ready() bool {
	return s != nil && !s.lost && s.incarnation != ""
}

// quiet reports whether the server's last answer is older than the limit.
func (s *server) quiet(now time.Time, limit time.Duration) bool {
	return now.Sub(s.heard) > limit
}

func (d *Decider) serverIDs() []assign.ServerID {
	return slices.Sorted(maps.Keys(d.servers))
}

// listServers replaces the list. A server that left the list stays known until its spans have
// moved.
func (d *Decider) listServers(now time.Time, listed []assign.Server) {
	for _, s := range d.servers {
		s.listed = false
	}
	for _, l := range listed {
		s := d.servers[l.ID]
		if s == nil {
			s = &server{heard: now}
			d.servers[l.ID] = s
		}
		s.Server = l
		s.listed = true
	}
	for _, id := range d.serverIDs() {
		if s := d.servers[id]; !s.listed && !d.named(id) {
			delete(d.servers, id)
		}
	}
	d.look = true
	d.record.dirty = true
}

// named reports whether a span still refers to the server.
func (d *Decider) named(id assign.ServerID) bool {
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
	if s == nil || s.gone || e.ProbedAt.Before(s.askedAt) || s.ended && e.ProbedAt.Before(s.endedAt) {
		return
	}
	if s.lost || s.incarnation != e.Incarnation || now.Sub(s.heard) >= d.config.Silence {
		s.steady = now
	}
	s.askedAt = e.ProbedAt
	d.look = d.look || s.lost || s.told != e.Draining || s.incarnation != e.Incarnation
	s.told = e.Draining
	d.meet(now, s, e.Incarnation)
	if s.lost {
		s.lost, s.ended = false, false
		d.record.dirty = true
		d.act(Note{Kind: NoteServerBack, Server: s.ID})
	}
	if e.Idle && e.ProbedAt.Sub(s.steady) >= d.config.Silence {
		s.idleAt = e.ProbedAt
		d.clearRuns(s.ID, e.ProbedAt)
	}
}

// meet takes over the incarnation. A new one proves that the earlier process has ended.
func (d *Decider) meet(now time.Time, s *server, incarnation string) {
	if s.incarnation != "" && s.incarnation != incarnation {
		d.endLeaves(s.ID)
	}
	s.incarnation = incarnation
	s.heard = now
}

// clearRuns notes that the server was idle after runs had ended. A call that a run sent just
// before its end may be on the way for a while, so an early answer does not count.
func (d *Decider) clearRuns(id assign.ServerID, askedAt time.Time) {
	for _, r := range d.runs {
		if r.ended && askedAt.Sub(r.endedAt) >= d.config.Silence {
			r.clear[id] = true
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
	d.endLeaves(s.ID)
	d.lose(s)
}

func (d *Decider) lose(s *server) {
	if s.lost {
		return
	}
	s.lost = true
	d.look = true
	d.record.dirty = true
	d.act(Note{Kind: NoteServerLost, Server: s.ID})
}

func (d *Decider) checkSilence(now time.Time) {
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		if now.Sub(s.heard) >= d.patience(s) {
			d.lose(s)
		}
	}
}

// patience returns the time after which silence means lost. A server that never answered in this
// term gets half: the calls that processes forward to it meanwhile delay its gate, and the loss of
// owner and decider together has to be repaired within 4 s.
func (d *Decider) patience(s *server) time.Duration {
	if s.incarnation == "" {
		return d.config.Silence / 2
	}
	return d.config.Silence
}

func (d *Decider) drainServer(e DrainServer) {
	if s := d.servers[e.Server]; s != nil {
		s.ordered = !e.Cancel
		d.look = true
		d.record.dirty = true
	}
}

// kind returns what the server checks. A server that is not known is taken for the kind that
// checks least.
func (d *Decider) kind(id assign.ServerID) assign.Fencing {
	if s := d.servers[id]; s != nil {
		return s.Fencing
	}
	return assign.None
}
