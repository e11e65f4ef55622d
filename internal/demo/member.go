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
	// keys is the number of keys that the members use.
	keys = 400
	// bookingTries is how often a member repeats a booking.
	bookingTries = 6
	// thinkTime is the pause between two calls of a member.
	thinkTime = 4 * time.Millisecond
	// longestLatency is the largest latency that the histograms hold.
	longestLatency = time.Minute
)

// member is one caller with its own random choices.
type member struct {
	// ctx ends the member's calls.
	ctx      context.Context
	name     string
	fleet    *fleet.Fleet
	client   *caller.Client
	random   *rand.Rand
	attempts []audit.Attempt
	latency  *hdrhistogram.Histogram
	count    int
}

func newMember(ctx context.Context, f *fleet.Fleet, seed uint64, index int) *member {
	return &member{
		ctx:     ctx,
		name:    fmt.Sprintf("m%d", index),
		fleet:   f,
		client:  caller.New(caller.Options{}),
		random:  rand.New(rand.NewPCG(seed, uint64(index))),
		latency: hdrhistogram.New(1, longestLatency.Microseconds(), 3),
	}
}

// run makes calls until the context ends.
func (m *member) run() {
	ctx := m.ctx
	for ctx.Err() == nil {
		service := m.service()
		operation := service.Operations[m.random.IntN(len(service.Operations))]
		switch operation.Class {
		case conf.Booking:
			m.book(ctx, service, operation)
		case conf.Short, conf.Long:
			m.look(service, operation)
		}
		pause(ctx, thinkTime)
	}
}

func (m *member) service() *conf.Service {
	teams := m.fleet.Plan().Teams
	team := &teams[m.random.IntN(len(teams))]
	return &team.Services[m.random.IntN(len(team.Services))]
}

// look makes one lookup.
func (m *member) look(service *conf.Service, operation conf.Operation) {
	m.count++
	id := fmt.Sprintf("%s-l%d", m.name, m.count)
	m.call(service, operation, id, id, "")
}

// book makes one booking, and repeats it with its identifier until it ran.
func (m *member) book(ctx context.Context, service *conf.Service, operation conf.Operation) {
	m.count++
	booking := fmt.Sprintf("%s-b%d", m.name, m.count)
	for try := range bookingTries {
		answer := m.call(service, operation, fmt.Sprintf("%s-t%d", booking, try), booking, booking)
		if answer.Outcome == caller.Ran || ctx.Err() != nil {
			return
		}
		pause(ctx, max(answer.RetryAfter, thinkTime))
	}
}

// call makes one call through a random entry process and records what the caller was told.
func (m *member) call(service *conf.Service, operation conf.Operation, id, prefix, booking string) caller.Answer {
	// The platform's balancer leaves out processes that are gone.
	names := m.fleet.Names()
	entry := m.fleet.Node(names[m.random.IntN(len(names))])
	key := fmt.Sprintf("key-%d", m.random.IntN(keys))
	started := time.Now()
	answer, err := m.client.Do(entry.CallerAddress(), caller.Call{
		Method:         operation.Method,
		Path:           caller.Path(service, operation, key),
		Body:           body(operation),
		RequestID:      id,
		IdempotencyKey: booking,
		Timeout:        operation.Timeout,
	})
	if err == nil && answer.Outcome == caller.Ran && operation.Class != conf.Long {
		// A value over the largest one is not counted; the call's timeout is far below it.
		_ = m.latency.RecordValue(time.Since(started).Microseconds())
	}
	attempt := audit.Attempt{RequestID: id, Outcome: answer.Outcome, Reason: answer.Reason, Own: strings.Contains(string(answer.Body), `"`+prefix)}
	if operation.Class == conf.Booking {
		attempt.Booking = booking
	}
	m.attempts = append(m.attempts, attempt)
	return answer
}

func body(operation conf.Operation) []byte {
	if operation.Method == http.MethodPost {
		return []byte(`{"clips":12}`)
	}
	return nil
}
