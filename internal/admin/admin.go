// Package admin implements the admin API of an entry process, for operators and metrics collectors, and its client.
//
//	GET  /status                      the control state of the process as JSON
//	GET  /metrics                     metrics in the Prometheus text format
//	GET  /timeline                    the control events of all processes as JSON
//	GET  /config/TEAM                 the configuration of a team, with its version in the header Version
//	PUT  /config/TEAM                 replaces the configuration if the header If-Version matches its version
//	POST /drain                       begins the planned stop of the process
//	POST /drain/SERVER                drains a backend server; ?cancel=true cancels the drain
//
// Errors are JSON objects with the fields kind and remedy. A GET request never changes any state.
//
// # Usage
//
//	server, err := admin.Listen(settings.AdminAddress, n, stop)
//	defer server.Stop()
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// Names of the HTTP headers that hold the version of a configuration.
const (
	HeaderVersion   = "Version"
	HeaderIfVersion = "If-Version"
)

const (
	// changeTimeout bounds a change of the configuration. A process that does not confirm the change within the
	// serving lease has stopped serving, so a longer wait means that a majority of the processes is unavailable.
	changeTimeout = 5 * time.Second
	// readTimeout bounds a read from the platform's store and the request to drain a server.
	readTimeout = time.Second
	// stopTimeout bounds the wait for open connections when the server stops.
	stopTimeout = 100 * time.Millisecond
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("admin")
	// ErrListen is the error type for an admin address that the server cannot listen on.
	ErrListen = namespace.NewType("listen")
)

// Server serves the admin API of one process.
type Server struct {
	node     *node.Node
	stop     context.CancelFunc
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup
}

// Listen starts a Server on address. The server calls stop to begin the planned stop of the process. Listen returns
// ErrListen if the address cannot be used.
func Listen(address netip.AddrPort, n *node.Node, stop context.CancelFunc) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "set admin-address to a free address of this VM, not %s", address)
	}
	s := &Server{node: n, stop: stop, listener: listener}
	s.app = fiber.New(fiber.Config{BodyLimit: conf.MaxBytes, ErrorHandler: handleError, ReadTimeout: 5 * time.Second})
	s.app.Get("/status", s.status)
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(n.Meter().Registry(), promhttp.HandlerOpts{})))
	s.app.Get("/timeline", s.timeline)
	s.app.Get("/config/:team", s.config)
	s.app.Put("/config/:team", s.setConfig)
	s.app.Post("/drain", s.drainProcess)
	s.app.Post("/drain/:server", s.drainServer)
	s.group.Go(s.run)
	return s, nil
}

func (s *Server) run() {
	// The error only reports that the listener was closed.
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop closes the listener and waits for the goroutine of the server.
func (s *Server) Stop() {
	_ = s.app.ShutdownWithTimeout(stopTimeout)
	s.group.Wait()
}

func (s *Server) status(c fiber.Ctx) error {
	return c.JSON(s.node.Status())
}

// Timeline is the response to GET /timeline.
type Timeline struct {
	Events []event.Event `json:"events"`
	// Silent lists the processes that did not answer; their events are missing.
	Silent []assign.ProcessID `json:"silent"`
}

func (s *Server) timeline(c fiber.Ctx) error {
	events, silent := s.node.Timeline(c.Context())
	return c.JSON(Timeline{Events: events, Silent: silent})
}

func (s *Server) config(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	text, version, err := s.node.Config(ctx, c.Params("team"))
	if err != nil {
		return err
	}
	c.Set(HeaderVersion, strconv.FormatUint(version, 10))
	return c.Send(text)
}

func (s *Server) setConfig(c fiber.Ctx) error {
	ifVersion, err := strconv.ParseUint(c.Get(HeaderIfVersion), 10, 64)
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "the header If-Version must be the version that was read, 0 for a new team")
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	text := append([]byte(nil), c.Body()...)
	version, err := s.node.SetConfig(ctx, c.Params("team"), text, ifVersion)
	if err != nil {
		return err
	}
	c.Set(HeaderVersion, strconv.FormatUint(version, 10))
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) drainProcess(c fiber.Ctx) error {
	s.stop()
	return c.SendStatus(http.StatusAccepted)
}

func (s *Server) drainServer(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	cancelDrain := c.Query("cancel") == "true"
	if err := s.node.DrainServer(ctx, assign.ServerID(c.Params("server")), cancelDrain); err != nil {
		return err
	}
	return c.SendStatus(http.StatusAccepted)
}

// Problem is the body of an error response.
type Problem struct {
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

// problemKinds maps error types to the kind in the response and to the HTTP status.
var problemKinds = []struct {
	errType *errorx.Type
	kind    string
	status  int
}{
	{node.ErrInvalid, "invalid", http.StatusUnprocessableEntity},
	{node.ErrConflict, "conflict", http.StatusConflict},
	{node.ErrUndecided, "undecided", http.StatusGatewayTimeout},
	{node.ErrStore, "store", http.StatusServiceUnavailable},
	{node.ErrNoDecider, "no-decider", http.StatusServiceUnavailable},
	{node.ErrNoServer, "no-server", http.StatusNotFound},
}

// handleError sends a response with the kind of an error and its remedy.
func handleError(c fiber.Ctx, err error) error {
	for _, p := range problemKinds {
		if errorx.IsOfType(err, p.errType) {
			return c.Status(p.status).JSON(Problem{Kind: p.kind, Remedy: errorx.Cast(err).Message()})
		}
	}
	status := http.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return c.Status(status).JSON(Problem{Kind: "request", Remedy: err.Error()})
}
