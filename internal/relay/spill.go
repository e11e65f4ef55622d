package relay

import (
	"errors"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// reportMaxAge is how long the load that a server reports counts. It changes many times a second.
const reportMaxAge = 500 * time.Millisecond

// noteSpillover updates the metric of the spillover share, and logs when spillover starts and stops. The pauses of
// spill.Controller between starts bound the number of lines. A service without requests is noted with each View.
func (s *service) noteSpillover(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.picker.Spillover(now)
	s.options.Meter.setSpillShare(s.id, state.Share)
	if state.Active == !s.spillingSince.IsZero() {
		return
	}
	if state.Active {
		s.spillingSince = now
		s.options.Log.Info().Str("service", string(s.id)).Str("failure-domain", s.options.FailureDomain).Msg("spillover-started")
		return
	}
	s.options.Log.Info().Str("service", string(s.id)).Str("failure-domain", s.options.FailureDomain).
		Dur("took-ms", now.Sub(s.spillingSince)).Msg("spillover-stopped")
	s.spillingSince = time.Time{}
}

// hearLoad passes the load that a server reports to the picker.
func (s *service) hearLoad(now time.Time, b *backend, l LoadReport) {
	if !l.Valid {
		return
	}
	load := float64(l.Running+l.Waiting) / float64(l.Slots) * l.WorkTime
	s.picker.Report(now, b.server.ID, pick.Report{Load: load, MaxAge: reportMaxAge})
}

// call describes the next attempt for the choice of a server.
func (x *exchange) call() pick.Call {
	return pick.Call{Avoid: x.lastServer, Objective: x.rule.Objective, Rejected: x.rejectedAtHome}
}

// noteResult returns the result of an attempt for the choice of servers, and notes for the next attempt whether a server of
// the own failure domain did not run it.
func (x *exchange) noteResult(b *backend, took time.Duration, meta ResponseMeta, err error) pick.Result {
	rejected := meta.Proof == ProofNotRun || err != nil && x.runs() == 0 && !isUnsent(err)
	x.rejectedAtHome = rejected && b.server.FailureDomain == x.relay.options.FailureDomain
	return pick.Result{
		Latency:   took,
		Failed:    meta.Proof != ProofRan,
		Rejected:  rejected,
		Objective: x.rule.Objective,
		Ignore:    isUnsent(err),
	}
}

// isUnsent reports whether the error is that of an attempt that this process did not send by its own decision, which says
// nothing of the server.
func isUnsent(err error) bool {
	return errors.Is(err, errExpired) || errors.Is(err, errTurnedAway) || errors.Is(err, errStopping) || errors.Is(err, errEvacuated) || errors.Is(err, errNoPermit)
}
