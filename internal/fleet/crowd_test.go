package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
)

const (
	// changeTimeout is how long an operator waits for the answer to a change. It is longer than a fault,
	// so that the outcome of a change with a lost answer is known once the store answers again.
	changeTimeout = 2 * faultDuration
	// maxThinkTime is the upper bound of the random pause between two calls of an operator or a caller, and the
	// shortest wait before a booking is retried.
	maxThinkTime = 30 * time.Millisecond
	// readInterval is the time between two reads of the versions in force.
	readInterval = 20 * time.Millisecond
	// stallInterval is the sleep time of stallMeter.
	stallInterval = 10 * time.Millisecond

	bookingKeys        = 20
	maxBookingAttempts = 6
)

// actor holds what operators, callers and readers share: the fleet and a random source with a fixed seed.
type actor struct {
	ctx    context.Context
	fleet  *fleet.Fleet
	random *rand.Rand
}

func (a actor) withSeed(index int) actor {
	a.random = rand.New(rand.NewPCG(historySeed, uint64(index)+1))
	return a
}

// randomNode returns a random running process.
func (a *actor) randomNode() *node.Node {
	names := a.fleet.Names()
	return a.fleet.Node(names[a.random.IntN(len(names))])
}

// pause waits for a random time, or until the context ends.
func (a *actor) pause() {
	sleep(a.ctx, time.Duration(a.random.Int64N(int64(maxThinkTime))))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// operator reads and changes one team's configuration in a loop.
type operator struct {
	actor
	team   string
	writes []audit.ConfigWrite
	reads  []audit.ConfigRead
}

func (o *operator) run() {
	for count := 0; o.ctx.Err() == nil; count++ {
		if text, version, ok := o.read(); ok {
			contact := fmt.Sprintf("contact = %s-%d-%d\n", o.team, o.random.Uint64(), count)
			o.write(replaceContact(string(text), contact), version)
		}
		o.pause()
	}
}

// replaceContact replaces the contact line, so that no two texts are equal.
func replaceContact(text, contact string) string {
	before, rest, _ := strings.Cut(text, "contact = ")
	_, after, _ := strings.Cut(rest, "\n")
	return before + contact + after
}

func (o *operator) read() ([]byte, uint64, bool) {
	called := time.Now()
	text, version, err := o.randomNode().Config(o.ctx, o.team)
	if err != nil {
		return nil, 0, false
	}
	o.reads = append(o.reads, audit.ConfigRead{Team: o.team, Called: called, Returned: time.Now(), Version: version})
	return text, version, true
}

func (o *operator) write(text string, ifVersion uint64) {
	// A change in flight is not cancelled at the end of the test, so that its outcome is recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), changeTimeout)
	defer cancel()
	w := audit.ConfigWrite{Team: o.team, Called: time.Now(), IfVersion: ifVersion}
	version, err := o.randomNode().SetConfig(ctx, o.team, []byte(text), ifVersion)
	w.Returned, w.Version, w.Outcome = time.Now(), version, outcome(err)
	o.writes = append(o.writes, w)
}

// outcome maps the error of SetConfig to the outcome that the audit checks.
func outcome(err error) audit.WriteOutcome {
	switch {
	case err == nil:
		return audit.Accepted
	case errorx.IsOfType(err, node.ErrConflict):
		return audit.Conflicted
	case errorx.IsOfType(err, node.ErrStore), errorx.IsOfType(err, node.ErrInvalid):
		return audit.Refused
	}
	return audit.Undecided
}

// initialWrite returns the version that the fleet started with as an accepted write.
func initialWrite(ctx context.Context, f *fleet.Fleet, team string) audit.ConfigWrite {
	now := time.Now()
	_, version, err := f.Node(f.Names()[0]).Config(ctx, team)
	Expect(err).NotTo(HaveOccurred())
	return audit.ConfigWrite{Team: team, Called: now, Returned: now, Outcome: audit.Accepted, Version: version}
}

// reader records the configuration versions in force at the processes that hold a serving lease.
type reader struct {
	actor
	reads []audit.ConfigRead
}

func (r *reader) run() {
	for r.ctx.Err() == nil {
		for _, name := range r.fleet.Names() {
			called := time.Now()
			status := r.fleet.Node(name).Status()
			if !status.Serving {
				continue
			}
			for team, version := range status.Teams {
				r.reads = append(r.reads, audit.ConfigRead{
					Team: team, Process: name, Called: called, Returned: time.Now(), Version: version,
				})
			}
		}
		sleep(r.ctx, readInterval)
	}
}

// stallMeter measures the longest time for which the machine did not schedule the test.
type stallMeter struct {
	ctx     context.Context
	largest time.Duration
}

func (s *stallMeter) run() {
	for s.ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallInterval)
		s.largest = max(s.largest, time.Since(before)-stallInterval)
	}
}

// booker makes bookings and retries each with the same identifier until it ran or the attempts are used up.
type booker struct {
	actor
	name     string
	client   *caller.Client
	attempts []audit.Attempt
}

func newBooker(a actor, index int) *booker {
	return &booker{actor: a, name: fmt.Sprintf("c%d", index), client: caller.New(caller.Options{})}
}

func (b *booker) run() {
	defer b.client.Close()
	for count := 0; b.ctx.Err() == nil; count++ {
		b.book(fmt.Sprintf("%s-b%d", b.name, count))
		b.pause()
	}
}

// book makes one booking, each attempt through a random process.
func (b *booker) book(booking string) {
	teams := b.fleet.Plan().Teams
	service := &teams[b.random.IntN(len(teams))].Services[0]
	operation := bookingOf(service)
	path := caller.Path(service, operation, fmt.Sprintf("key-%d", b.random.IntN(bookingKeys)))
	for try := range maxBookingAttempts {
		answer := b.attempt(booking, fmt.Sprintf("%s-t%d", booking, try), caller.Call{
			Method: operation.Method, Path: path, Timeout: operation.Timeout,
		})
		if answer.Outcome == caller.Ran || b.ctx.Err() != nil {
			return
		}
		sleep(b.ctx, max(answer.RetryAfter, maxThinkTime))
	}
}

// attempt makes one attempt and records the outcome that the caller got.
func (b *booker) attempt(booking, request string, call caller.Call) caller.Answer {
	call.RequestID, call.IdempotencyKey = request, booking
	a := audit.Attempt{Booking: booking, RequestID: request, Called: time.Now()}
	answer, _ := b.client.Do(b.randomNode().CallerAddress(), call)
	a.Returned, a.Outcome, a.Reason = time.Now(), answer.Outcome, answer.Reason
	a.Own = strings.Contains(string(answer.Body), `"`+booking+"-")
	b.attempts = append(b.attempts, a)
	return answer
}

// bookingOf returns the first booking operation of a service.
func bookingOf(service *conf.Service) conf.Operation {
	for _, o := range service.Operations {
		if o.Class == conf.Booking {
			return o
		}
	}
	return conf.Operation{}
}
