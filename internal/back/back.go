// Package back talks to one backend server.
//
// Server is the narrow interface that the rest of the program uses; Client is its HTTP adapter.
// The important question after a failed call is whether the server may have run it. A call is
// NotRun while no byte of it was written to a connection, and when the server itself says in its
// refusal that it did not run the call. After the first byte every other error is Unknown. The
// client never repeats a call by itself.
//
// An answer is delivered only when it is complete, within the size limit, and carries the
// identifier of its request. Otherwise the connection is closed, because later answers on it
// would belong to other requests, and the outcome is Unknown.
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
//		// it may have run
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

// Header is one header field of a call or an answer.
type Header struct {
	Name  string
	Value string
}

// Call is one request for a backend server.
type Call struct {
	// RequestID identifies the call. The answer has to carry it.
	RequestID string
	Method    string
	// Path is the escaped path, without the query.
	Path string
	// Query is the escaped query without "?", or "".
	Query string
	// Headers are the caller's header fields. Fields that belong to one connection, and those that
	// this package sets itself, are left out when the call is sent.
	Headers []Header
	Body    []byte
	Service assign.ServiceID
	// Keyed reports whether the call has a key. KeyHash and Fence are sent only for such calls.
	Keyed   bool
	KeyHash uint64
	Fence   lease.Fence
	// Deadline is the end of the caller's wait as a reading of clock.Clock.Latest, or the zero
	// time. The context's deadline bounds the exchange itself.
	Deadline time.Time
	// NotAfter is the time in the server's own clock after which it must not run the call, or the
	// zero time. See lease.ServerClock.
	NotAfter time.Time
	// Check is called when a connection is free, just before the first byte is written, unless it
	// is nil. Its error ends the call as NotRun. It serves to check a lease after the wait for a
	// connection.
	Check func() error
}

// Receipt is what every answer of a server carries.
type Receipt struct {
	// ServerClock is the server's clock when it answered, the zero time where it did not say.
	ServerClock time.Time
	// Incarnation changes with each start of the server's process; "" where it did not say.
	Incarnation string
	// Trip holds the times of sending and of the answer in this process's clock.
	Trip wire.RoundTrip
}

// Answer is a complete answer to the call with the same identifier.
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

// CancelOutcome says what became of a call that was cancelled.
type CancelOutcome int

const (
	// CancelUnknown means that the server does not know the call, and refuses it from now on.
	CancelUnknown CancelOutcome = iota
	// CancelNotRun means that the call was waiting and will not run.
	CancelNotRun
	// CancelCancelled means that the call was running and was stopped.
	CancelCancelled
	// CancelRunning means that the call runs on.
	CancelRunning
	// CancelFinished means that the call had ended.
	CancelFinished
)

// Status is the state that a server reports about itself.
type Status int

const (
	// StatusOK is a server in service.
	StatusOK Status = iota
	// StatusDraining is a server that takes no new work.
	StatusDraining
	// StatusCold is a server that has started a short while ago and is slow.
	StatusCold
)

// Health is a server's own report, which may lag or be wrong.
type Health struct {
	Receipt
	Status Status
	// Busy is the number of calls running.
	Busy int
	// Queued is the number of calls waiting.
	Queued int
	// Load is the share of its slots in use, from 0 to 1 and above 1 with a queue.
	Load float64
}

// Liveness is the result of a probe.
type Liveness int

const (
	// Silent is a server that gave no proof of anything: it may run, be frozen or be cut off.
	Silent Liveness = iota
	// Alive is a server that answered. Its incarnation tells whether its process is still the
	// same.
	Alive
	// Ended is a server whose process has provably ended: its address refuses connections and no
	// earlier connection to it is open.
	Ended
)

// Probe is what a probe found.
type Probe struct {
	Liveness Liveness
	// Health is set for Alive.
	Health Health
	// Cause is the error behind Silent and Ended.
	Cause error
}

// Server is what the program needs from one backend server. Errors are of type *Error. A call
// ends with its context at the latest.
type Server interface {
	// Send sends a call and returns its answer, whatever its status. Errors: NotRun, Unknown.
	Send(ctx context.Context, c Call) (Answer, error)
	// Grant replaces all spans of the server, until notAfter in the server's clock. Errors: Stale
	// with the highest fencing number the server has seen, NotRun, Unknown.
	Grant(ctx context.Context, notAfter time.Time, spans []Granted) (Receipt, error)
	// Revoke takes spans from the server. Success means that no work for them runs or will start.
	// It waits for work that runs, so its context needs time for that. Errors: NotRun, Unknown.
	Revoke(ctx context.Context, spans []Granted) (Receipt, error)
	// Cancel asks the server to give up a call. Errors: NotRun, Unknown.
	Cancel(ctx context.Context, requestID string) (CancelOutcome, error)
	// Drain asks the server to take no new work. Errors: NotRun, Unknown.
	Drain(ctx context.Context) error
	// Health asks the server about itself. Errors: NotRun, Unknown.
	Health(ctx context.Context) (Health, error)
	// Probe finds out whether the server's process has provably ended.
	Probe(ctx context.Context) Probe
}
