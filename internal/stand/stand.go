// Package stand holds a stand-in platform and a stand-in backend server for tests, experiments
// and local trials.
//
// Both speak the protocols of section 4.2 of docs/design.md over HTTP on a loopback address, and
// both have faults that can be switched while they run. They are written apart from the clients
// in packages store and back, so that a mistake in a client is not repeated in its counterpart.
// They are small fakes: they keep everything in memory and model only what the router can see.
//
// Platform keeps versioned objects and the list of VMs. Backend runs calls in a few slots with a
// bounded queue, checks grants or deadlines according to its fencing kind, and records every run,
// so that the record of all servers shows whether a key ever had two owners.
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
// The program cmd/standin runs either as a process.
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

// loopback is the address used where none is given: any free port.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// endpoint is one HTTP server on one address.
type endpoint struct {
	listener net.Listener
	server   *fasthttp.Server
	group    conc.WaitGroup
}

type discard struct{}

// Printf drops the messages of fasthttp about connections that broke: faults break many.
func (discard) Printf(string, ...any) {}

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
			Logger:                discard{},
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
	// The error only says that the listener was closed.
	_ = e.server.Serve(e.listener)
}

// stop waits for calls in progress, but no longer than stopTimeout.
func (e *endpoint) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Shutdown does nothing where run has not reached Serve yet, so the listener is closed first:
	// Serve then returns at once. An error would only say that it is closed already.
	_ = e.listener.Close()
	// An error says that calls were still in progress after stopTimeout.
	_ = e.server.ShutdownWithContext(ctx)
	e.group.Wait()
}

func sleepMs(ms int64) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
}
