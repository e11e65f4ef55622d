package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Outcome -transform=kebab -trimprefix=Outcome -text -output=outcome_enumer.go
//go:generate enumer -type=Reason -transform=kebab -trimprefix=Reason -text -output=reason_enumer.go

// Outcome says whether a call was run.
type Outcome int

const (
	// OutcomeNotRun is a call that was not run and will not run. It is safe to repeat.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown is a call that may have run or may still run.
	OutcomeUnknown
	// OutcomeRan is a call that ran; the result holds its answer.
	OutcomeRan
)

// Reason says why a call has no answer.
type Reason int

const (
	// ReasonNone is the reason of calls that ran.
	ReasonNone Reason = iota
	// ReasonMalformed is a call that the settings or HTTP do not allow.
	ReasonMalformed
	// ReasonNoService is a call to a team, service or operation that no settings name.
	ReasonNoService
	// ReasonNoKey is a call to a service with owners that names no key.
	ReasonNoKey
	// ReasonTooLarge is a call over the size limit.
	ReasonTooLarge
	// ReasonNotServing is a call to a process without a serving lease.
	ReasonNotServing
	// ReasonStopping is a call to a process that is draining.
	ReasonStopping
	// ReasonNoOwner is a call whose key has no owner for now.
	ReasonNoOwner
	// ReasonNoServer is a call to a service without a usable server.
	ReasonNoServer
	// ReasonOverload is a call that cannot be run before its deadline.
	ReasonOverload
	// ReasonDeadline is a call whose deadline passed before it was sent.
	ReasonDeadline
	// ReasonRefused is a call that the server refused to run.
	ReasonRefused
	// ReasonMoved is an attempt that was not sent because the key's owner changed. The call is
	// routed again.
	ReasonMoved
	// ReasonRecorder is a booking whose identifier could not be recorded.
	ReasonRecorder
	// ReasonRepeated is a booking whose identifier is in use by an attempt that has not finished.
	ReasonRepeated
	// ReasonForgotten is a booking whose identifier may have been used before what is remembered.
	ReasonForgotten
	// ReasonLostAnswer is a call that was sent and whose answer did not arrive whole.
	ReasonLostAnswer
)

// Call is one call of a caller on its way through the pipeline. It belongs to one goroutine.
type Call struct {
	// ID identifies this call towards servers. It is unique for each attempt, see Attempt.
	ID string
	// Attempt counts the times the call was sent to a server.
	Attempt int

	Method  string
	Path    string
	Query   string
	Headers []back.Header
	Body    []byte

	Service   *conf.Service
	Operation conf.Operation
	// Hash is the position of the key. It is set where the service is exclusive.
	Hash uint64
	// IdempotencyKey is the caller's identifier of a booking, or "".
	IdempotencyKey string
	// Deadline is a reading of clock.Clock.Now.
	Deadline time.Time
	// LatestDeadline is the same moment as a reading of clock.Clock.Latest.
	LatestDeadline time.Time

	// target is set by the route filter.
	target target
	// moved counts the attempts that were refused because the key was moving.
	moved int
	// last is the server of the previous attempt.
	last assign.ServerID
}

// Result is what a caller is told.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Remedy tells the caller what to do about the reason.
	Remedy string
	// RetryAfter is the time after which a repeat may succeed. Zero gives no hint.
	RetryAfter time.Duration

	Status  int
	Headers []back.Header
	Body    []byte

	// shed is set where the server refused the call because of its load.
	shed bool
	// moving is set where the server refused the call because it does not own the key any more, or
	// not yet.
	moving bool
}

// Next is the rest of the pipeline.
type Next func(ctx context.Context, c *Call) Result

// Filter is one stage of the pipeline. It may refuse the call, pass it on, pass it on again, or
// change the result.
type Filter interface {
	Filter(ctx context.Context, c *Call, next Next) Result
}

// statuses are the HTTP statuses of calls without an answer.
var statuses = map[Reason]int{
	ReasonMalformed:  http.StatusBadRequest,
	ReasonNoService:  http.StatusNotFound,
	ReasonNoKey:      http.StatusBadRequest,
	ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	ReasonOverload:   http.StatusTooManyRequests,
	ReasonLostAnswer: http.StatusGatewayTimeout,
	ReasonRepeated:   http.StatusConflict,
	ReasonForgotten:  http.StatusGatewayTimeout,
}

// refuse returns the result of a call that was not run.
func refuse(reason Reason, remedy string) Result {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return Result{Outcome: OutcomeNotRun, Reason: reason, Remedy: remedy, Status: status}
}

// unknown returns the result of a call that may have run.
func unknown(reason Reason, remedy string) Result {
	return Result{Outcome: OutcomeUnknown, Reason: reason, Remedy: remedy, Status: http.StatusGatewayTimeout}
}
