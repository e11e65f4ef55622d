package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
)

const (
	// maxColdAsks is the number of reservations at cold servers that a request asks for. After that, it is sent to a server
	// that is not cold or rejected, since each ask takes time.
	maxColdAsks = 3
	// leaderSilentTime is how long this process decides alone about requests to cold servers after the leader did not answer.
	leaderSilentTime = 500 * time.Millisecond
	// entryRenewal is the time in heartbeats after which a running server has refreshed its entry.
	entryRenewal = 1.25
)

// Values of the label "outcome" of Meter.cold.
const (
	coldGranted = "granted"
	coldRefused = "refused"
	// coldKnown is a refusal that was known without asking.
	coldKnown        = "refused-known"
	coldAloneGranted = "alone-granted"
	coldAloneRefused = "alone-refused"
)

// coldPace returns the pace of a server that counts as cold, the zero value for any other.
func (s *service) coldPace(now time.Time, b *backend) quota.Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.boundsCold() || !now.Before(s.cold[b.server.ID]) && !s.suspects(now, b) {
		return quota.Pace{}
	}
	return quota.ColdPace(s.config.WarmUpRate, s.bounds.WarmUpOverage, s.bounds.WarmUpBurst)
}

// mayBeCold reports whether the requests to cold servers of the service are bounded.
func (s *service) mayBeCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boundsCold()
}

// boundsCold reports whether the requests to cold servers are bounded. The caller holds the lock.
func (s *service) boundsCold() bool { return s.config.WarmUpRate > 0 && s.bounds.WarmUpOverage > 0 }

// suspects reports whether a server may have restarted since its entry was written. A running server has written its entry
// anew by the time that it is read entryRenewal heartbeats after the failure. One that has ended refuses the next connection
// too. Without a newer list, for example because this process stops, the suspicion ends when a restarted server would be warm.
// The caller holds the lock.
func (s *service) suspects(now time.Time, b *backend) bool {
	if b.suspectedAt.IsZero() || now.Sub(b.suspectedAt) > s.config.WarmUp+s.options.Heartbeat {
		return false
	}
	renewed := b.suspectedAt.Add(time.Duration(entryRenewal * float64(s.options.Heartbeat)))
	return s.options.Views.ListedAt().Before(renewed)
}

// suspected reports whether the requests to a server are bounded because it may have restarted.
func (s *service) suspected(now time.Time, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boundsCold() && s.suspects(now, b)
}

// suspect records that a connection to a server failed so that it may have restarted, and reports whether that is new.
//
// The load is a server that crashes and returns under its ID and address: all processes send their requests to it, and the
// entry that says that it is cold comes later.
func (s *service) suspect(now time.Time, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.boundsCold() {
		return false
	}
	known := s.suspects(now, b)
	b.suspectedAt = now
	return !known
}

// trust ends the suspicion of a server that has answered a request which was sent before the failure: it runs on. A server
// that has too many connections or requests resets some of them.
func (s *service) trust(b *backend, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.Before(b.suspectedAt) {
		b.suspectedAt = time.Time{}
	}
}

// hasCold reports whether a server of the service counts as cold.
func (s *service) hasCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countCold(now) > 0
}

// countCold returns the number of servers that count as cold. The caller holds the lock.
func (s *service) countCold(now time.Time) int {
	count := 0
	for id, b := range s.backends {
		if s.boundsCold() && (now.Before(s.cold[id]) || s.suspects(now, b)) {
			count++
		}
	}
	return count
}

// countColdServers updates the metric. The caller holds the lock.
func (s *service) countColdServers(now time.Time) {
	if s.boundsCold() {
		s.options.Meter.coldServers.WithLabelValues(string(s.id)).Set(float64(s.countCold(now)))
	}
}

// permitCold is permit for a cold server. The permit counts from the time of the ask, which is not later than the leader's
// reservation.
func (x *exchange) permitCold(ctx context.Context, b *backend, n quota.Notice, pace quota.Pace, maxWait time.Duration) quota.Reservation {
	if x.coldAsks >= maxColdAsks {
		return x.countCold(pace, quota.Reservation{RetryAfter: longRetryAfter}, coldKnown)
	}
	x.coldAsks++
	asked := x.relay.options.Clock.Now()
	n.Run = b.run()
	r := x.reserveCold(ctx, asked, n, pace, maxWait)
	if !r.Granted {
		return r
	}
	x.permitted, x.permitUntil = b, asked.Add(r.Wait+quota.PermitTTL)
	x.awaitPermit(ctx, r)
	return r
}

// reserveCold asks the leader, or decides alone while it does not answer.
func (x *exchange) reserveCold(ctx context.Context, now time.Time, n quota.Notice, pace quota.Pace, maxWait time.Duration) quota.Reservation {
	if now.UnixNano() >= x.relay.leaderSilent.Load() {
		r, err := x.relay.options.Reserve(ctx, n, pace, maxWait)
		if err == nil {
			x.relay.permits.Answered(x.relay.options.Clock.Now(), n.Run, r)
			return x.countCold(pace, r, coldRefused)
		}
		if ctx.Err() == nil {
			x.relay.leaderSilent.Store(x.relay.options.Clock.Now().Add(leaderSilentTime).UnixNano())
			x.relay.options.Log.Debug().Err(err).Str("server", string(n.Server)).Msg("cold-unreserved")
		}
	}
	return x.countCold(pace, x.relay.permits.AloneAt(now, n.Run, pace), coldAloneRefused)
}

// countCold counts the outcome of a reservation at a cold server, and returns the reservation.
func (x *exchange) countCold(cold quota.Pace, r quota.Reservation, refused string) quota.Reservation {
	outcome := refused
	switch {
	case !cold.Cold:
		return r
	case r.Granted && refused == coldAloneRefused:
		outcome = coldAloneGranted
	case r.Granted:
		outcome = coldGranted
	}
	x.relay.options.Meter.cold.WithLabelValues(outcome).Inc()
	return r
}

// isCold reports whether a server counts as cold by the latest View.
func (x *exchange) isCold(b *backend) bool {
	if !x.service.mayBeCold() {
		return false
	}
	x.relay.refresh()
	return x.service.coldPace(x.relay.options.Clock.Now(), b).Cold
}

// suspect records that a server may have restarted, and logs it once.
func (x *exchange) suspect(b *backend) {
	if !x.service.suspect(x.relay.options.Clock.Now(), b) {
		return
	}
	x.relay.options.Log.Info().Str("server", string(b.server.ID)).Int64("born", b.server.Born).Str("service", string(x.service.id)).
		Str("request", x.requestMeta.ID).Msg("server-suspected")
}

// awaitReplacement waits until limit for another View if the owner of the key may have ended, since the key then gets another
// owner. It returns nil if there is none by then.
func (x *exchange) awaitReplacement(ctx context.Context, b *backend, v *view.View, limit time.Time) *view.View {
	if !x.service.suspected(x.relay.options.Clock.Now(), b) {
		return nil
	}
	return x.nextView(ctx, v, limit)
}

// mayHaveRestarted reports whether the error of an attempt is that of a server that has ended: the connection was refused,
// reset, closed before the response, or not opened in time.
func mayHaveRestarted(err error) bool {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return true
	}
	for _, target := range []error{syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
