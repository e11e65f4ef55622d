package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// errTurnedAway is the error of an attempt that was not sent because the server has said that it is leaving, or that it
// wants no requests for a time.
var errTurnedAway = errors.New("the server has said that it takes no more requests for now")

// notice is what a run of a server has said in its responses to this process. It binds this process whatever the list of
// servers says.
type notice struct {
	// leavingSince is when the server first said that it is leaving, the zero time if it has not.
	leavingSince time.Time
	// closedUntil is until when the server wants no requests from this process.
	closedUntil time.Time
}

// drainLimit is how long a leaving server still receives requests. The caller holds the lock.
func (s *service) drainLimit() time.Duration {
	return time.Duration(float64(s.bounds.DrainTime) * drainShare)
}

// hasLeft reports whether a server receives no more requests of callers that arrive now, since it has said that it is
// leaving. The caller holds the lock.
func (s *service) hasLeft(now time.Time, b *backend) bool {
	since := b.notice.leavingSince
	return !since.IsZero() && now.Sub(since) > s.drainLimit()
}

// hearNotice records what a complete response of a server says besides, and reports whether that is new.
func (s *service) hearNotice(now time.Time, b *backend, m ResponseMeta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	if m.Leaving && b.notice.leavingSince.IsZero() {
		b.notice.leavingSince = now
		s.picker.Update(now, s.pickable(now))
		changed = true
	}
	if until := now.Add(m.RetryAfter); m.RetryAfter > 0 && until.After(b.notice.closedUntil) {
		changed = changed || now.After(b.notice.closedUntil)
		b.notice.closedUntil = until
		s.picker.Hold(b.server.ID, until)
	}
	return changed
}

// pickable returns the listed servers, of which those that have said that they are leaving and those of evacuated failure
// domains are marked as draining, and with the warm-up times of those that count as cold. The caller holds the lock.
func (s *service) pickable(now time.Time) []assign.Server {
	servers := slices.Clone(s.listed)
	for i, server := range servers {
		if b := s.backends[server.ID]; b != nil && !b.notice.leavingSince.IsZero() {
			servers[i].Draining = true
		}
		if _, evacuated := s.view.Evacuated[server.FailureDomain]; evacuated {
			servers[i].Draining = true
		}
		if s.boundsCold() {
			servers[i].WarmUp = max(0, s.cold[server.ID].Sub(now))
		}
	}
	return servers
}

// closedFor returns for how long a server wants no requests, 0 if it takes them.
func (s *service) closedFor(now time.Time, b *backend) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, b.notice.closedUntil.Sub(now))
}

// allClosedFor returns for how long no server of the service wants requests, 0 if one takes them or none is listed.
func (s *service) allClosedFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(0)
	for _, b := range s.backends {
		if b.server.Draining || !b.notice.leavingSince.IsZero() || s.isEvacuated(now, s.view, b) {
			continue
		}
		wait := b.notice.closedUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// turnsAway reports whether a server takes no request of a caller that arrived at the given time.
func (s *service) turnsAway(now, arrived time.Time, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(b.notice.closedUntil) || s.hasLeft(arrived, b)
}

// hearNotice records what the response of a server says besides, and logs what is new. A misdirected request may have
// reached another server.
func (x *exchange) hearNotice(b *backend, m ResponseMeta) {
	if m.Misdirected {
		return
	}
	now := x.relay.options.Clock.Now()
	x.service.hearLoad(now, b, m.Load)
	if !x.service.hearNotice(now, b, m) {
		return
	}
	x.relay.options.Log.Info().Str("server", string(b.server.ID)).Int64("born", b.server.Born).Str("service", string(x.service.id)).
		Bool("leaving", m.Leaving).Dur("closed-ms", m.RetryAfter).Str("request", x.requestMeta.ID).Msg("server-notice")
}
