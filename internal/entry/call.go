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
	// OutcomeNotRun means that the call has not run and will not run. It is safe to repeat.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the call may have run or may still run.
	OutcomeUnknown
	// OutcomeRan means that the call ran. The result holds the server's answer.
	OutcomeRan
)

// Reason says why a call has no answer.
type Reason int

const (
	// ReasonNone means that the call ran.
	ReasonNone Reason = iota
	// ReasonMalformed means that the request is not valid HTTP or has a header value that is not allowed.
	ReasonMalformed
	// ReasonNoService means that the settings contain no such team, service or operation.
	ReasonNoService
	// ReasonNoKey means that the service is exclusive and the request has no usable key.
	ReasonNoKey
	// ReasonTooLarge means that the request exceeds a size limit.
	ReasonTooLarge
	// ReasonNotServing means that this process holds no serving lease.
	ReasonNotServing
	// ReasonStopping means that this process is draining.
	ReasonStopping
	// ReasonNoOwner means that the key got no owner that takes calls before the deadline.
	ReasonNoOwner
	// ReasonNoServer means that the service has no usable server.
	ReasonNoServer
	// ReasonOverload means that the call was shed, because a queue, the slots for long work or the
	// memory for bookings is full, or because the call could not run before its deadline.
	ReasonOverload
	// ReasonDeadline means that the deadline passed before the call was sent.
	ReasonDeadline
	// ReasonRefused means that the server refused to run the call.
	ReasonRefused
	// ReasonMoved means that the key's owner changed before the attempt was sent. The call is routed
	// again.
	ReasonMoved
	// ReasonRecorder means that the identifier of the booking could not be recorded.
	ReasonRecorder
	// ReasonRepeated means that an earlier attempt with the same booking identifier has not finished.
	ReasonRepeated
	// ReasonForgotten means that the recorders no longer know whether the booking identifier was used.
	ReasonForgotten
	// ReasonLostAnswer means that the call was sent and no complete answer arrived.
	ReasonLostAnswer
)

// Call is one call in the pipeline. It is used by one goroutine at a time.
type Call struct {
	// ID identifies the call. Each attempt is sent to its server under ID and the attempt's number.
	ID string
	// Attempt is the number of attempts to send the call to a server.
	Attempt int

	Method  string
	Path    string
	Query   string
	Headers []back.Header
	Body    []byte

	Service   *conf.Service
	Operation conf.Operation
	// Hash is the hash of the key. It is set if the service is exclusive.
	Hash uint64
	// IdempotencyKey is the identifier of a booking from the caller, or "".
	IdempotencyKey string
	// Deadline is the end of the call's timeout in terms of clock.Clock.Now.
	Deadline time.Time
	// LatestDeadline is the same deadline in terms of clock.Clock.Latest.
	LatestDeadline time.Time

	// target is the server of the present attempt. The route filter sets it.
	target target
	// moves counts the attempts that were refused because the key was moving.
	moves int
	// lastServer is the server of the previous attempt.
	lastServer assign.ServerID
}

// Result is the outcome of a call with the answer for its caller.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Remedy tells the caller what to do about the reason.
	Remedy string
	// RetryAfter is the time after which the caller may try again, or 0 for no hint.
	RetryAfter time.Duration

	Status  int
	Headers []back.Header
	Body    []byte

	// shed reports whether the server refused the call because of its load.
	shed bool
	// moving reports whether the server refused the call because it no longer owns the key or does
	// not own it yet.
	moving bool
}

// Next runs the filters after the current one.
type Next func(ctx context.Context, c *Call) Result

// Filter is one stage of the pipeline. It may refuse the call, call next once or several times, or
// change the result.
type Filter interface {
	Filter(ctx context.Context, c *Call, next Next) Result
}

// statuses maps reasons to HTTP statuses. Reasons that it does not contain have status 503.
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

// refuse returns the result of a call that did not run.
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
