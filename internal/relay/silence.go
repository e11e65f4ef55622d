package relay

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/hang"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

const (
	// minHungOwner is the number of hung requests from which on an owner of keys gets one probe at a time. No other server
	// can run its requests.
	minHungOwner = 2
	// maxSuspectedPicks is the number of choices of a server until one that is suspected gets a request besides its probe.
	maxSuspectedPicks = 3
	// hungRetryShare is the least Retry-After time of a request to a hung owner, as a fraction of the latency objective. The
	// probe has been answered by then if the owner answers in time again.
	hungRetryShare = 0.5
	// hungLogInterval is the least time between two log lines about a run of a server that hangs.
	hungLogInterval = 5 * time.Second
)

// errHung is the error of an attempt that was canceled because it counted as hung.
var errHung = errors.New("the server did not answer for much longer than usual")

// silence has the requests of this process to a run of a server that are not answered. It is safe for concurrent use.
type silence struct {
	mu       sync.Mutex
	tracker  *hang.Tracker
	loggedAt time.Time
}

func newSilence() *silence { return &silence{tracker: hang.New()} }

// admit reports whether the server takes a request, and whether that is the probe. With fewer than the given number of hung
// requests, the server takes all requests.
func (s *silence) admit(minHung int) (admitted, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.Hung() < minHung {
		return true, false
	}
	probe = s.tracker.Probe()
	return probe, probe
}

// endProbe ends the probe if the request was one.
func (s *silence) endProbe(probe bool) {
	if !probe {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.EndProbe()
}

// shouldLog reports whether a log line about the server may be written now. The caller holds the lock.
func (s *silence) shouldLog(now time.Time) bool {
	if !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < hungLogInterval {
		return false
	}
	s.loggedAt = now
	return true
}

// takeResponsive is take, but a suspected server gets one request at a time, if another server is available. It also reports
// whether the request is the probe of the server.
func (s *service) takeResponsive(now time.Time, c pick.Call) (b *backend, probe bool) {
	next := c
	for range maxSuspectedPicks {
		b = s.take(now, next)
		if b == nil {
			break
		}
		if b.server.ID != c.Avoid {
			if admitted, isProbe := b.silence.admit(1); admitted {
				return b, isProbe
			}
		}
		s.done(now, b, pick.Result{Objective: c.Objective, Ignore: true})
		next.Avoid = b.server.ID
	}
	if next == c {
		return nil, false
	}
	return s.take(now, c), false
}

// canReplace reports whether a request that was lost at a server can be sent again: to the owner of its key on another
// connection, or to another server.
func (s *service) canReplace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Partitioned || len(s.backends) > 1
}

// endHung rejects a request because the owner of its key has stopped answering.
func (x *exchange) endHung(b *backend) {
	x.lastServer = b.server.ID
	if x.runs() > 0 {
		x.giveUp(ReasonLost)
		return
	}
	x.respondNotRun(ReasonHung, max(shortRetryAfter, x.objectiveShare(hungRetryShare)))
}

// watch cancels an attempt of an idempotent request that counts as hung. Attempts of rules without a latency objective are
// not watched.
type watch struct {
	exchange *exchange
	backend  *backend
	// ctx is the context of the attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// mayRepeat reports that the request may be sent once more if this attempt is lost.
	mayRepeat bool

	// The lock of backend.silence guards the fields below.
	flight *hang.Flight
	timer  *time.Timer
	// canceled reports that the attempt counted as hung and was canceled.
	canceled bool
}

func (x *exchange) newWatch(ctx context.Context, b *backend) *watch {
	w := &watch{exchange: x, backend: b, ctx: ctx}
	if x.rule.Objective <= 0 {
		return w
	}
	w.mayRepeat = x.rule.Idempotent && x.runs()+1 < x.rule.Attempts && len(x.sendings)+1 < maxSends && x.service.canReplace()
	if w.mayRepeat {
		w.ctx, w.cancel = context.WithCancel(ctx)
	}
	return w
}

// start begins to watch when the request is sent.
func (w *watch) start() {
	x := w.exchange
	if x.rule.Objective <= 0 {
		return
	}
	s := w.backend.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	w.flight = s.tracker.Send(hang.Request{Sent: x.preparedAt, Deadline: x.deadline, Objective: x.rule.Objective})
	_, next := s.tracker.Check(x.preparedAt, w.flight)
	if !next.IsZero() {
		w.timer = time.AfterFunc(next.Sub(x.preparedAt), w.check)
	}
}

// check cancels the attempt if it counts as hung and may be sent again.
func (w *watch) check() {
	x, s := w.exchange, w.backend.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.flight == nil {
		return
	}
	now := x.relay.options.Clock.Now()
	hung, next := s.tracker.Check(now, w.flight)
	if !hung {
		if !next.IsZero() {
			w.timer.Reset(next.Sub(now))
		}
		return
	}
	// An attempt that cannot be replaced may still be answered.
	w.canceled = w.mayRepeat && x.service.takeRetry()
	if w.canceled {
		w.cancel()
	}
	w.report(now)
}

// report counts a hung attempt and logs it. The caller holds the lock.
func (w *watch) report(now time.Time) {
	x, b := w.exchange, w.backend
	x.relay.options.Meter.hung.WithLabelValues(string(x.service.id), strconv.FormatBool(w.canceled)).Inc()
	if !b.silence.shouldLog(now) {
		return
	}
	x.relay.options.Log.Info().Str("server", string(b.server.ID)).Int64("born", b.server.Born).Str("service", string(x.service.id)).
		Str("request", x.requestMeta.ID).Dur("waited-ms", now.Sub(x.preparedAt)).Int("hung", b.silence.tracker.Hung()).
		Bool("canceled", w.canceled).Msg("server-hung")
}

// stop ends the watch with the result of the attempt, and returns the error of the attempt.
func (w *watch) stop(meta ResponseMeta, err error) error {
	if w.cancel != nil {
		defer w.cancel()
	}
	s := w.backend.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.flight == nil {
		return err
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	if err == nil && (meta.Unproven == nil || errors.Is(meta.Unproven, ErrUnsaid)) {
		s.tracker.Answer(w.exchange.relay.options.Clock.Now(), w.flight, meta.Proof == ProofRan || meta.Proof == ProofFailed)
	} else {
		s.tracker.Lose(w.flight)
	}
	w.flight = nil
	w.exchange.retryTaken = w.canceled
	if w.canceled && err != nil {
		return errHung
	}
	return err
}
