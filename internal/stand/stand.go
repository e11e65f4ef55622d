// Package stand provides a stand-in platform and a stand-in backend server for tests, experiments
// and local trials.
//
// Both implement the protocols that the clients in packages store and back use (section 4.2 of
// docs/design.md), over HTTP on a loopback address, and inject faults that can be changed while they run.
// They share no protocol code with these clients, so that a mistake in a client is not repeated in its
// stand-in. They are small fakes: they keep all data in memory and model only what the router can observe.
//
// Platform stores versioned objects and the list of VMs. Backend runs calls in a few slots with a
// bounded queue, checks grants or deadlines according to its fencing kind, and records every run.
// The records of all servers together show whether a key ever had two owners at the same time.
//
// # Usage
//
//	platform := stand.NewPlatform(stand.PlatformOptions{})
//	if err := platform.Start(); err != nil {
//		return err
//	}
//	defer platform.Stop()
//	server := stand.NewBackend(stand.BackendOptions{Name: "ledger-1", Service: "depot/ledger"})
//	if err := server.Start(); err != nil {
//		return err
//	}
//	defer server.Stop()
//	client := store.NewClient(platform.Address(), store.Options{})
//	platform.SetFault(stand.PlatformFault{LoseAnswers: true})
//	server.SetFault(stand.BackendFault{FreezeMs: 3000})
//
// The program cmd/standin runs either of them as a process.
package stand

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	maxRequestBytes = 4 << 20
	stopTimeout     = 2 * time.Second
)

// loopback is the default listen address: a free port of 127.0.0.1.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// endpoint is one HTTP server on one address.
type endpoint struct {
	listener net.Listener
	server   *fasthttp.Server
	group    conc.WaitGroup
}

type discardLogger struct{}

// Printf discards the messages of fasthttp about broken connections, because injected faults break many.
func (discardLogger) Printf(string, ...any) {}

func listen(address netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	if !address.IsValid() {
		address = loopback
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	bound, err := netip.ParseAddrPort(l.Addr().String())
	return l, bound, err
}

func newEndpoint(l net.Listener, handler fasthttp.RequestHandler) *endpoint {
	return &endpoint{
		listener: l,
		server: &fasthttp.Server{
			Handler:               handler,
			Logger:                discardLogger{},
			MaxRequestBodySize:    maxRequestBytes,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
		},
	}
}

func (e *endpoint) start() {
	e.group.Go(e.run)
}

func (e *endpoint) run() {
	// Serve returns an error only because stop closes the listener.
	_ = e.server.Serve(e.listener)
}

// stop closes the listener and waits up to stopTimeout for calls in flight.
func (e *endpoint) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Shutdown has no effect if run has not called Serve yet. The listener is closed first, so that such a
	// Serve returns at once. Close fails only if the listener is already closed.
	_ = e.listener.Close()
	// An error means that calls were still in flight after stopTimeout.
	_ = e.server.ShutdownWithContext(ctx)
	e.group.Wait()
}

func sleepMs(ms int64) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
}
