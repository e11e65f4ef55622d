// Package limit decides how much work one process sends to one backend server, and in which order.
//
// Five parts are plain data structures that take the time as a parameter, start no goroutine and
// are not safe for concurrent use:
//
//   - Limit learns the number of calls that may be in flight at a server from refusals and latency.
//   - Queue holds the calls that wait for a server, ordered by class and then deadline.
//   - Budget allows retries for a share of the calls.
//   - Runs learns the run time of each operation and corrects its class.
//   - Keeper gives out the tokens for long work at one server, over all processes.
//
// Two thin wrappers are safe for concurrent use: Gate joins a Limit and a Queue for one server, and
// Calls joins a Budget and a Runs for one service.
//
// # Usage
//
// For each service a Calls, for each server of it a Gate:
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
//	case limit.KindDeadline, limit.KindFull:
//		// answer not-run with the remedy in the error's message
//	}
//
// Long work at a server needs a token of its keeper before Acquire. The keeper is the process that
// KeeperOf returns:
//
//	keeper := limit.NewKeeper(now, limit.KeeperConfig{Longest: time.Minute}, processes)
//	actions := keeper.Step(now, limit.TokenAsked{Token: token, Length: timeout})
package limit
