package scene

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// keyCount is the number of keys that callers use. It is small, so that every key is in constant use.
	keyCount = 16
	// maxBookingAttempts is the maximum number of times that a caller sends a booking.
	maxBookingAttempts = 6
	// repeatOneIn is n if one of n bookings is sent again after it ran.
	repeatOneIn = 3
	// thinkTime is the pause between two calls of a caller.
	thinkTime = 10 * time.Millisecond
	// maxLongRun is the longest run time of a long call. It is longer than the notice and the handover of a planned
	// stop, so that a stop that does not wait for its calls cuts some of them.
	maxLongRun = 3 * time.Second
	// maxShortRun is the longest run time of other calls, long enough that some calls are in flight at any failure.
	maxShortRun = 40 * time.Millisecond
)

// simCaller is one simulated caller with its own random source.
type simCaller struct {
	pool   *callerPool
	name   string
	random *rand.Rand
	calls  []callType
	count  int
}

// run makes calls until the pool is stopped.
func (c *simCaller) run() {
	for c.pool.ctx.Err() == nil {
		c.count++
		o := c.calls[c.random.IntN(len(c.calls))]
		key := fmt.Sprintf("yard-%d", c.random.IntN(keyCount))
		if o.operation.Class == conf.Booking {
			c.book(o, key)
		} else {
			c.lookup(o, key)
		}
		// The error means that the scenario ends, which the loop condition checks.
		_ = sleep(c.pool.ctx, thinkTime)
	}
}

func (c *simCaller) lookup(o callType, key string) {
	id := fmt.Sprintf("%s-l%d", c.name, c.count)
	run := c.runTime(maxShortRun)
	if o.operation.Class == conf.Long {
		run = c.runTime(maxLongRun)
	}
	c.call(c.pool.balancer.pick(c.random, ""), request{callType: o, key: key, id: id, idPrefix: id + "~", run: run})
}

// runTime returns a random run time for a call, at least 1 ms.
func (c *simCaller) runTime(longest time.Duration) time.Duration {
	return time.Duration(1+c.random.IntN(int(longest.Milliseconds()))) * time.Millisecond
}

// book sends a booking until it has run, and for some bookings once more, each time through another process.
func (c *simCaller) book(o callType, key string) {
	booking := fmt.Sprintf("%s-b%d", c.name, c.count)
	run := c.runTime(maxShortRun)
	repeat := c.random.IntN(repeatOneIn) == 0
	lastEntry := assign.ProcessID("")
	for try := range maxBookingAttempts {
		entry := c.pool.balancer.pick(c.random, lastEntry)
		lastEntry = entry.name
		answer := c.call(entry, request{
			callType: o, key: key, id: fmt.Sprintf("%s-t%d", booking, try), idPrefix: booking + "-t",
			booking: booking, run: run,
		})
		if answer.Outcome == caller.Ran && !repeat || sleep(c.pool.ctx, max(answer.RetryAfter, thinkTime)) != nil {
			return
		}
		repeat = repeat && answer.Outcome != caller.Ran
	}
}

// request holds the parameters of one call.
type request struct {
	callType
	key, id string
	// idPrefix is the prefix of the request identifiers in answers that belong to this call.
	idPrefix string
	booking  string
	run      time.Duration
}

// call makes one call and records the outcome that the caller received.
func (c *simCaller) call(entry endpoint, r request) caller.Answer {
	started := time.Now()
	answer, err := c.pool.client.Do(entry.address, caller.Call{
		Method:         r.operation.Method,
		Path:           caller.Path(r.service, r.operation, r.key),
		Body:           body(r.operation),
		RequestID:      r.id,
		IdempotencyKey: r.booking,
		Timeout:        r.operation.Timeout,
		Run:            r.run,
	})
	c.pool.attempts.add(attempt{
		Attempt: audit.Attempt{
			RequestID: r.id,
			Booking:   r.booking,
			Outcome:   answer.Outcome,
			Reason:    answer.Reason,
			Own:       strings.Contains(string(answer.Body), `"request-id":"`+r.idPrefix),
			Answer:    string(answer.Body),
			Entry:     entry.name,
			Cut:       wasCut(err),
		},
		service: r.service.ID,
		class:   r.operation.Class,
		started: started,
	})
	return answer
}

// wasCut reports whether the connection ended without an answer. A timeout at the caller or a refused connection
// does not count as a cut call.
func wasCut(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		return false
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return false
	}
	return true
}

func body(operation conf.Operation) []byte {
	if operation.Method == http.MethodPost {
		return []byte(`{"clips":12}`)
	}
	return nil
}
