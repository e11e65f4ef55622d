// Package soak has the randomized fault soak of the entry program. All of it is in its tests.
//
// The soak builds the program, runs entry processes of it with a stand-in store and stand-in servers, lets
// callers send requests, and injects faults from outside by a seeded plan: loopback proxies that delay,
// reset, silence or cut connections one way; processes that are killed, paused, stopped and started again by
// signals; a store that is down, slow or loses answers; servers that crash, leave, start anew under their
// name, lose answers and have slow clocks; changes of the configuration. It compares what callers saw with
// what servers ran, and fails where a promise is broken. The connections between entry processes are not
// proxied.
//
// # Usage
//
//	go test ./internal/soak                                  # the seeds of CI
//	go test ./internal/soak -timeout 30m -args -seeds 50     # fifty seeds from 1 on
//	go test ./internal/soak -args -first 1234 -seeds 1       # one seed again
//	go test ./internal/soak -args -fresh -seeds 10           # seeds from the clock
//	go test ./internal/soak -args -entries 100 -servers 120  # many processes
package soak
