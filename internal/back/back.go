// Package back is the client of a backend server.
//
// Server is the interface that the rest of the program uses, and Client implements it over HTTP.
// The kind of an error tells whether the server may have run the call. It is NotRun if no byte of
// the call was written to a connection, or if the server's refusal says that it did not run the
// call. Every other error after the first byte is Unknown. The client never retries a call.
//
// The client returns an answer only if it is complete, is within the size limit and carries the
// identifier of its request. Otherwise it closes the connection, because later answers on it could
// belong to other requests, and the kind of the error is Unknown.
//
// # Usage
//
//	client := back.NewClient("ledger-1", address, back.Options{Connections: 11})
//	defer client.Close()
//	answer, err := client.Send(ctx, back.Call{RequestID: id, Method: "GET", Path: "/balance"})
//	switch back.KindOf(err) {
//	case back.NoError:
//		// deliver answer
//	case back.NotRun:
//		// safe to send again; back.ReasonOf(err) says why it was refused
//	case back.Unknown:
//		// the call may have run
//	}
package back

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

//go:generate enumer -type=CancelOutcome -trimprefix=Cancel -transform=kebab -text -output=canceloutcome_enumer.go
//go:generate enumer -type=Status -trimprefix=Status -transform=kebab -text -output=status_enumer.go
//go:generate enumer -type=Liveness -transform=kebab -output=liveness_enumer.go

// Header is one HTTP header field of a call or an answer.
type Header struct {
	Name  string
	Value string
}

// Call is one request to a backend server.
type Call struct {
	// RequestID identifies the call. The answer must carry the same identifier.
	RequestID string
	Method    string
	// Path is the escaped path, without the query.
	Path string
	// Query is the escaped query without "?", or "".
	Query string
	// Headers are the caller's header fields. Hop-by-hop fields and the fields that this package
	// sets itself are not sent.
	Headers []Header
	Body    []byte
	Service assign.ServiceID
	// Keyed reports whether the call has a key. KeyHash and Fence are sent only if it does.
	Keyed   bool
	KeyHash uint64
	Fence   lease.Fence
	// Deadline is the time until which the caller waits, on the scale of clock.Clock.Latest. The zero
	// time means no deadline. The context's deadline bounds the exchange with the server.
	Deadline time.Time
	// NotAfter is the time on the server's clock after which it must not run the call. The zero time
	// means no limit. See lease.ServerClock.
	NotAfter time.Time
	// Check, if not nil, is called once a connection is free, just before the first byte is written.
	// If it returns an error, the call ends as NotRun. Callers use it to check a lease again after
	// the wait for a connection.
	Check func() error
}

// Receipt holds the data that every answer of a server carries.
type Receipt struct {
	// ServerClock is the server's clock when it answered, or the zero time if the answer has none.
	ServerClock time.Time
	// Incarnation changes with each start of the server's process. It is "" if the answer has none.
	Incarnation string
	// Trip holds the times at which the request was sent and answered, on this process's clock.
	Trip wire.RoundTrip
}

// Answer is a complete answer that carries the identifier of its call.
type Answer struct {
	Receipt
	Status  int
	Headers []Header
	Body    []byte
}

// Granted is a span with the fencing number of its owner.
type Granted struct {
	Service assign.ServiceID
	Span    assign.Span
	Fence   lease.Fence
}

// CancelOutcome is the state of a call after a request to cancel it.
type CancelOutcome int

const (
	// CancelUnknown means that the server does not know the call, and will refuse it if it arrives.
	CancelUnknown CancelOutcome = iota
	// CancelNotRun means that the call was waiting and will not run.
	CancelNotRun
	// CancelCancelled means that the call was running and was stopped.
	CancelCancelled
	// CancelRunning means that the call is still running.
	CancelRunning
	// CancelFinished means that the call had already ended.
	CancelFinished
)

// Status is the state that a server reports about itself.
type Status int

const (
	// StatusOK is a server in service.
	StatusOK Status = iota
	// StatusDraining is a server that accepts no new work.
	StatusDraining
	// StatusCold is a server that started recently and is still slow.
	StatusCold
)

// Health is a server's report about itself. It may be stale or wrong.
type Health struct {
	Receipt
	Status Status
	// Busy is the number of running calls.
	Busy int
	// Queued is the number of waiting calls.
	Queued int
	// Load is the share of the slots in use, from 0 to 1. It is above 1 if calls are queued.
	Load float64
}

// Liveness is the result of a probe.
type Liveness int

const (
	// Silent is a server whose state is not known: it may be running, frozen or unreachable.
	Silent Liveness = iota
	// Alive is a server that answered. Its incarnation tells whether its process was restarted.
	Alive
	// Ended is a server whose process is proved to have ended: its address refuses connections and
	// no earlier connection to it is open.
	Ended
)

// Probe is the result of Server.Probe.
type Probe struct {
	Liveness Liveness
	// Health is set for Alive.
	Health Health
	// Cause is the error behind Silent and Ended.
	Cause error
}

// Server is one backend server. Its methods return errors of type *Error, and return no later than
// their context ends.
type Server interface {
	// Send sends a call and returns its answer, whatever its status. Errors: NotRun, Unknown.
	Send(ctx context.Context, c Call) (Answer, error)
	// Grant replaces the spans that the server holds, until notAfter on the server's clock. Errors:
	// Stale with the highest fencing number that the server has seen, NotRun, Unknown.
	Grant(ctx context.Context, notAfter time.Time, spans []Granted) (Receipt, error)
	// Revoke withdraws spans from the server. If it succeeds, no work for them is running or will
	// start. It waits for running work, so the context must leave time for that. Errors: NotRun,
	// Unknown.
	Revoke(ctx context.Context, spans []Granted) (Receipt, error)
	// Cancel asks the server to cancel a call. Errors: NotRun, Unknown.
	Cancel(ctx context.Context, requestID string) (CancelOutcome, error)
	// Drain asks the server to accept no new work. Errors: NotRun, Unknown.
	Drain(ctx context.Context) error
	// Health asks the server for its report about itself. Errors: NotRun, Unknown.
	Health(ctx context.Context) (Health, error)
	// Probe checks whether the server answers or its process is proved to have ended.
	Probe(ctx context.Context) Probe
}
