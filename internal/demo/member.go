package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
)

const (
	// keyCount is the number of different keys that the workers use.
	keyCount = 400
	// maxBookingAttempts is how often a worker sends a booking at most.
	maxBookingAttempts = 6
	// thinkTime is the pause between two calls of a worker, and the shortest wait before a booking is retried.
	thinkTime = 4 * time.Millisecond
	// maxLatency is the largest latency that the histograms record.
	maxLatency = time.Minute
)

// worker simulates one caller with its own random source.
type worker struct {
	// ctx ends the loop of calls.
	ctx       context.Context
	name      string
	fleet     *fleet.Fleet
	client    *caller.Client
	random    *rand.Rand
	attempts  []audit.Attempt
	latency   *hdrhistogram.Histogram
	callCount int
}

func newWorker(ctx context.Context, f *fleet.Fleet, seed uint64, index int) *worker {
	return &worker{
		ctx:     ctx,
		name:    fmt.Sprintf("m%d", index),
		fleet:   f,
		client:  caller.New(caller.Options{}),
		random:  rand.New(rand.NewPCG(seed, uint64(index))),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// run makes calls one after another until the context ends.
func (w *worker) run() {
	ctx := w.ctx
	for ctx.Err() == nil {
		service := w.randomService()
		operation := service.Operations[w.random.IntN(len(service.Operations))]
		switch operation.Class {
		case conf.Booking:
			w.book(ctx, service, operation)
		case conf.Short, conf.Long:
			w.lookup(service, operation)
		}
		pause(ctx, thinkTime)
	}
}

func (w *worker) randomService() *conf.Service {
	teams := w.fleet.Plan().Teams
	team := &teams[w.random.IntN(len(teams))]
	return &team.Services[w.random.IntN(len(team.Services))]
}

// lookup makes one lookup.
func (w *worker) lookup(service *conf.Service, operation conf.Operation) {
	w.callCount++
	id := fmt.Sprintf("%s-l%d", w.name, w.callCount)
	w.call(service, operation, id, id, "")
}

// book makes one booking and retries it with the same identifier until it ran or the attempts are used up.
func (w *worker) book(ctx context.Context, service *conf.Service, operation conf.Operation) {
	w.callCount++
	booking := fmt.Sprintf("%s-b%d", w.name, w.callCount)
	for try := range maxBookingAttempts {
		answer := w.call(service, operation, fmt.Sprintf("%s-t%d", booking, try), booking, booking)
		if answer.Outcome == caller.Ran || ctx.Err() != nil {
			return
		}
		pause(ctx, max(answer.RetryAfter, thinkTime))
	}
}

// call makes one call through a random entry process and records the outcome that the caller got.
func (w *worker) call(service *conf.Service, operation conf.Operation, id, prefix, booking string) caller.Answer {
	// Only running processes are chosen, as the platform's load balancer does.
	names := w.fleet.Names()
	entry := w.fleet.Node(names[w.random.IntN(len(names))])
	key := fmt.Sprintf("key-%d", w.random.IntN(keyCount))
	started := time.Now()
	answer, err := w.client.Do(entry.CallerAddress(), caller.Call{
		Method:         operation.Method,
		Path:           caller.Path(service, operation, key),
		Body:           body(operation),
		RequestID:      id,
		IdempotencyKey: booking,
		Timeout:        operation.Timeout,
	})
	if err == nil && answer.Outcome == caller.Ran && operation.Class != conf.Long {
		// RecordValue fails only for values over maxLatency; the timeout of the call is far below it.
		_ = w.latency.RecordValue(time.Since(started).Microseconds())
	}
	attempt := audit.Attempt{RequestID: id, Outcome: answer.Outcome, Reason: answer.Reason, Own: strings.Contains(string(answer.Body), `"`+prefix)}
	if operation.Class == conf.Booking {
		attempt.Booking = booking
	}
	w.attempts = append(w.attempts, attempt)
	return answer
}

func body(operation conf.Operation) []byte {
	if operation.Method == http.MethodPost {
		return []byte(`{"clips":12}`)
	}
	return nil
}
