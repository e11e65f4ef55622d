package steer

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// errNoLeader is the error of a reservation while this process neither leads nor reaches the leader.
var errNoLeader = errors.New("no leader answers, so the request to a server that is cold or has a limit cannot be coordinated")

// LimitNotice is a quota.Notice between processes, whose clocks differ.
type LimitNotice struct {
	Server    assign.ServerID
	Born      int64
	Limited   bool
	PerSecond float64
	// Age is the time since the notice was heard.
	Age time.Duration
}

// ReserveAsk asks the leader for the time of a request to a server with a limit or to a cold one.
type ReserveAsk struct {
	// Notice is what the asking process knows of the server.
	Notice LimitNotice
	// Cold is the pace of the server if it counts as cold at the asking process, otherwise the zero value.
	Cold quota.Pace
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
}

// ReserveAnswer is the response to a ReserveAsk.
type ReserveAnswer struct {
	// Leads reports whether the called process leads. The other fields are set only then.
	Leads       bool
	Reservation quota.Reservation
	// Notice is what the leader knows of the server.
	Notice LimitNotice
}

func limitNotice(now time.Time, n quota.Notice) LimitNotice {
	return LimitNotice{Server: n.Server, Born: n.Born, Limited: n.Limited, PerSecond: n.PerSecond, Age: age(now, n.Heard)}
}

func limitNotices(now time.Time, list []quota.Notice) []LimitNotice {
	var notices []LimitNotice
	for _, n := range list {
		notices = append(notices, limitNotice(now, n))
	}
	return notices
}

func (n LimitNotice) notice(now time.Time) quota.Notice {
	return quota.Notice{Run: n.run(), Limited: n.Limited, PerSecond: n.PerSecond, Heard: now.Add(-n.Age)}
}

func (n LimitNotice) run() quota.Run { return quota.Run{Server: n.Server, Born: n.Born} }

// mergeLimits records the limits that other processes heard.
func (c *Control) mergeLimits(now time.Time, list []LimitNotice) {
	for _, n := range list {
		c.options.Limits.Merge(n.notice(now))
	}
}

// followLimits takes over the limits that the leader knows.
func (c *Control) followLimits(now time.Time, list []LimitNotice) {
	notices := make([]quota.Notice, len(list))
	for i, n := range list {
		notices[i] = n.notice(now)
	}
	c.options.Limits.Follow(now, notices)
}

// updateLimits forgets outdated limits and passes changed ones to the decider.
func (c *Control) updateLimits(now time.Time) {
	c.options.Limits.Prune(now)
	if !maps.Equal(c.limitedRates(now), c.decidedRates) {
		c.setLimits(now)
	}
}

// setLimits passes the limits to the decider.
func (c *Control) setLimits(now time.Time) {
	c.decidedRates = c.limitedRates(now)
	c.stepDecider(now, shard.Limited{Rates: c.decidedRates})
}

// limitedRates returns the limits by which keys are assigned. Silent servers get keys again.
func (c *Control) limitedRates(now time.Time) map[shard.Run]float64 {
	rates := map[shard.Run]float64{}
	for _, n := range c.options.Limits.Notices() {
		if n.Limited && !n.Silent(now) {
			rates[shard.Run{Server: n.Server, Born: n.Born}] = n.PerSecond
		}
	}
	return rates
}

// reserve reserves the time of a request as the leader.
func (c *Control) reserve(now time.Time, ask ReserveAsk) ReserveAnswer {
	if !c.leads || c.checkLease() != nil {
		return ReserveAnswer{}
	}
	run := ask.Notice.run()
	c.mergeLimits(now, []LimitNotice{ask.Notice})
	known, limited := c.options.Limits.Limit(run)
	a := ReserveAnswer{Leads: true, Reservation: quota.Reservation{Granted: true}, Notice: limitNotice(now, known)}
	if pace, bounded := quota.PaceOf(known, limited, ask.Cold); bounded {
		a.Reservation = c.allotter.ReserveAt(now, run, pace, ask.MaxWait)
	}
	return a
}

// Reserve returns the time of a request to a server with a limit, or to a cold one with the given pace, as the leader
// reserves it. It returns an error if no leader answers within reserveTimeout. It is safe for concurrent use.
func (c *Control) Reserve(ctx context.Context, n quota.Notice, cold quota.Pace, maxWait time.Duration) (quota.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ask := ReserveAsk{Notice: limitNotice(c.options.Clock.Now(), n), Cold: cold, MaxWait: maxWait}
	answer, err := c.askLeader(ctx, ask)
	if err != nil {
		return quota.Reservation{}, err
	}
	if !answer.Leads {
		return quota.Reservation{}, errNoLeader
	}
	c.mergeLimits(c.options.Clock.Now(), []LimitNotice{answer.Notice})
	return answer.Reservation, nil
}

// askLeader passes a ReserveAsk to the control goroutine if this process leads, and otherwise to the leader.
func (c *Control) askLeader(ctx context.Context, ask ReserveAsk) (ReserveAnswer, error) {
	if c.checkLease() == nil {
		return c.askOwn(ctx, ask)
	}
	client := c.follower.connected.Load()
	if client == nil {
		return ReserveAnswer{}, errNoLeader
	}
	var answer ReserveAnswer
	select {
	case call := <-client.Go(reserveMethod, ask, &answer, make(chan *rpc.Call, 1)).Done:
		return answer, call.Error
	case <-ctx.Done():
		return ReserveAnswer{}, ctx.Err()
	}
}

// askOwn passes a ReserveAsk to the control goroutine of this process.
func (c *Control) askOwn(ctx context.Context, ask ReserveAsk) (ReserveAnswer, error) {
	r := reserveRequest{ask: ask, answer: make(chan ReserveAnswer, 1)}
	if !c.post(r) {
		return ReserveAnswer{}, errNoLeader
	}
	select {
	case a := <-r.answer:
		return a, nil
	case <-c.done:
		return ReserveAnswer{}, errNoLeader
	case <-ctx.Done():
		return ReserveAnswer{}, ctx.Err()
	}
}

// Reserve serves the calls of followers for reservations.
func (c *cell) Reserve(ask ReserveAsk, answer *ReserveAnswer) error {
	ctx, cancel := context.WithTimeout(c.control.ctx, reserveTimeout)
	defer cancel()
	var err error
	*answer, err = c.control.askOwn(ctx, ask)
	return err
}
