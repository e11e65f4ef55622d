// Package limit decides how much work one process sends to one backend server, and in which order.
//
// Six parts are plain data structures that take the time as a parameter, start no goroutine and
// are not safe for concurrent use:
//
//   - Limit learns the number of calls that may be in flight at a server from refusals and latency.
//   - Queue holds the calls that wait for a server, ordered by class and then deadline.
//   - Admission joins a Limit and a Queue: it decides which calls are sent and refused, and when.
//   - Budget allows retries for a share of the calls.
//   - Runs learns the run time of each operation and corrects its class.
//   - Keeper gives out the tokens for long work at one server, over all processes.
//
// Two thin wrappers are safe for concurrent use: Gate is an Admission for one server, and Calls
// joins a Budget and a Runs for one service.
//
// Classes should be declared. An operation that is declared short and runs for long is found after
// some calls, but until then its calls fill the slots: in the simulation of the tests, 10% of
// calls that run 100 times longer took up to 5 s to be found after a cold start, and about half of
// the short calls were refused meanwhile.
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
//	default:
//		// answer not-run with the remedy in the error's message
//	}
//
// Class is called once for each call, because it counts the calls that arrive. Ticket.Done records
// the run time.
//
// Long work at a server needs a token of its keeper before Acquire. The keeper is the process that
// KeeperOf returns:
//
//	keeper := limit.NewKeeper(now, limit.KeeperConfig{Longest: time.Minute}, processes)
//	actions := keeper.Step(now, limit.TokenAsked{Token: token, Length: timeout})
package limit
