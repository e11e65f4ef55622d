// Package soak contains the randomized fault-injection test of the entry program. All of its code is in
// test files.
//
// The test builds the program, runs several entry processes with a fake store and fake servers, and sends
// requests to them while it injects faults. The faults are chosen at random from a seed:
//
//   - Loopback proxies delay, reset or silently drop connections, or drop only the answers.
//   - Entry processes are killed, paused, stopped and reloaded by signals, and restarted when they end.
//   - The store is down, slow, or loses the answers to writes. In some runs it comes back from an older copy.
//   - Servers crash, leave, restart under the same name, at the same address or another, reject requests and lose
//     answers. Their entries are late too. Every second server has a slow clock. Some requests take long.
//   - Servers and the store spoil the bytes of their answers, as package mangle describes.
//   - The configuration changes.
//   - Servers that start while faults are injected are cold for a time and tolerate few requests.
//   - The operator evacuates failure domains for a time. A last evacuation follows when all other faults have ended.
//
// Some callers send several idempotent requests at once on a connection.
// The test compares what callers received with what servers ran, and fails if a guarantee was violated or a process used
// more than its memory.
// Connections between entry processes do not pass through proxies, so no network faults are injected there.
//
// # Usage
//
//	go test ./internal/soak                                  # the CI seeds
//	go test ./internal/soak -timeout 30m -args -seeds 50     # seeds 1 to 50
//	go test ./internal/soak -args -first 1234 -seeds 1       # only seed 1234
//	go test ./internal/soak -args -fresh -seeds 10           # 10 seeds, the first from the clock
//	go test ./internal/soak -args -restore -seeds 10         # with restored stores
//	go test ./internal/soak -args -entries 100 -servers 120  # many processes
package soak
