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
	// keys is the number of keys that callers use, few enough that each is used all the time.
	keys = 16
	// bookingTries is how often a caller sends a booking at most.
	bookingTries = 6
	// repeatShare is one of how many bookings are repeated after they ran.
	repeatShare = 3
	// thinkTime is the pause between two calls of a caller.
	thinkTime = 10 * time.Millisecond
	// longRun is the longest work of a long call. It is longer than the notice and the handover of a
	// planned stop, so that a stop which does not wait for its calls cuts some.
	longRun = 3 * time.Second
	// shortRun is the longest work of other calls. Some work is in flight whenever a part fails.
	shortRun = 40 * time.Millisecond
)

// member is one caller with its own random choices.
type member struct {
	crew   *crew
	name   string
	random *rand.Rand
	calls  []offered
	count  int
}

// run makes calls until the scenario ends.
func (m *member) run() {
	for m.crew.ctx.Err() == nil {
		m.count++
		o := m.calls[m.random.IntN(len(m.calls))]
		key := fmt.Sprintf("yard-%d", m.random.IntN(keys))
		if o.operation.Class == conf.Booking {
			m.book(o, key)
		} else {
			m.look(o, key)
		}
		// The error says that the scenario ends, which the loop sees.
		_ = sleep(m.crew.ctx, thinkTime)
	}
}

func (m *member) look(o offered, key string) {
	id := fmt.Sprintf("%s-l%d", m.name, m.count)
	run := m.work(shortRun)
	if o.operation.Class == conf.Long {
		run = m.work(longRun)
	}
	m.call(m.crew.balancer.pick(m.random, ""), request{offered: o, key: key, id: id, own: id + "~", run: run})
}

// work returns a random time for a server to work, at least 1 ms.
func (m *member) work(longest time.Duration) time.Duration {
	return time.Duration(1+m.random.IntN(int(longest.Milliseconds()))) * time.Millisecond
}

// book sends a booking until it ran, and often once more, each time through another process.
func (m *member) book(o offered, key string) {
	booking := fmt.Sprintf("%s-b%d", m.name, m.count)
	run := m.work(shortRun)
	again := m.random.IntN(repeatShare) == 0
	last := assign.ProcessID("")
	for try := range bookingTries {
		entry := m.crew.balancer.pick(m.random, last)
		last = entry.name
		answer := m.call(entry, request{
			offered: o, key: key, id: fmt.Sprintf("%s-t%d", booking, try), own: booking + "-t",
			booking: booking, run: run,
		})
		if answer.Outcome == caller.Ran && !again || sleep(m.crew.ctx, max(answer.RetryAfter, thinkTime)) != nil {
			return
		}
		again = again && answer.Outcome != caller.Ran
	}
}

// request is one call of a member.
type request struct {
	offered
	key, id string
	// own is how the request identifiers of the answers begin that belong to this call.
	own     string
	booking string
	run     time.Duration
}

// call makes one call and records what the caller was told.
func (m *member) call(entry balanced, r request) caller.Answer {
	started := time.Now()
	answer, err := m.crew.client.Do(entry.address, caller.Call{
		Method:         r.operation.Method,
		Path:           caller.Path(r.service, r.operation, r.key),
		Body:           body(r.operation),
		RequestID:      r.id,
		IdempotencyKey: r.booking,
		Timeout:        r.operation.Timeout,
		Run:            r.run,
	})
	m.crew.record.add(attempt{
		Attempt: audit.Attempt{
			RequestID: r.id,
			Booking:   r.booking,
			Outcome:   answer.Outcome,
			Reason:    answer.Reason,
			Own:       strings.Contains(string(answer.Body), `"request-id":"`+r.own),
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

// wasCut reports whether the connection ended without an answer. A caller that gave up waiting, or
// whose connection was refused, has no cut call.
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
