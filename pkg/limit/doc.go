// Package limit decides how much work one process sends to one backend server, and in which order.
//
// Six types are plain data structures. They take the time as a parameter, start no goroutine and
// are not safe for concurrent use:
//
//   - Limit adapts the number of calls that may be in flight at a server to refusals and latency.
//   - Queue holds the calls that wait for a server, ordered by class and then deadline.
//   - Admission combines a Limit and a Queue: it decides which calls are sent or refused, and when.
//   - Budget allows retries for a share of the calls.
//   - RunTimes learns the run time of each operation and corrects its class.
//   - Issuer grants the tokens for long work at one server to all processes.
//
// Two thin wrappers are safe for concurrent use: Gate is an Admission for one server, and Calls
// combines a Budget and a RunTimes for one service. A Quota, a limit on repeats in a sliding window,
// is independent of the other types.
//
// Long operations should be declared as such. A long operation that is declared short is detected
// after some calls, but until then its calls fill the slots: in the simulation of the tests, with 10%
// of calls that run 100 times longer, detection took up to 5 s after a cold start, and about half of
// the short calls were refused meanwhile.
//
// # Usage
//
// Create one Calls for each service and one Gate for each of its servers:
//
//	calls := limit.NewCalls(limit.CallsConfig{})
//	gate := limit.NewGate(limit.GateConfig{Server: "ledger-3", Ceiling: 11}, calls, clock.System())
//
//	calls.Started()
//	class := calls.Class("history", limit.Short)
//	ticket, err := gate.Acquire(ctx, limit.Request{Operation: "history", Class: class, Deadline: deadline})
//	switch limit.KindOf(err) {
//	case limit.KindNone:
//		// send the call
//		ticket.Done(limit.Ran, latency)
//	default:
//		// answer not-run with the remedy in the error's message
//	}
//
// Call Class once for each call, because it counts the calls that arrive. Ticket.Done records the run
// time.
//
// Long work at a server needs a token before Acquire. The process that IssuerOf returns for the server
// grants it:
//
//	issuer := limit.NewIssuer(now, limit.IssuerConfig{MaxTimeout: time.Minute}, processes)
//	actions := issuer.Step(now, limit.TokenAsked{Token: token, Length: timeout})
package limit
