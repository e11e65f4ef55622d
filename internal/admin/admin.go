// Package admin answers operators and metrics collectors on the admin address of a process.
//
//	GET  /status                      the control state of the process as JSON
//	GET  /metrics                     metrics in the Prometheus text format
//	GET  /timeline                    the control events of all processes as JSON
//	GET  /config/TEAM                 a team's configuration; header Version
//	PUT  /config/TEAM                 replaces it where header If-Version matches
//	POST /drain                       begins the planned stop of the process
//	POST /drain/SERVER                drains a backend server; ?cancel=true uses it again
//
// Errors are JSON with the fields kind and remedy. No call changes anything unless it says so.
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

// Header names.
const (
	HeaderVersion   = "Version"
	HeaderIfVersion = "If-Version"
)

const (
	// changeTime bounds a change of the configuration. A process that does not confirm it within
	// the serving lease has stopped serving, so a longer wait shows a lost majority.
	changeTime = 5 * time.Second
	// readTime bounds a read from the platform.
	readTime = time.Second
	// stopWait bounds the wait for connections at the end.
	stopWait = 100 * time.Millisecond
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("admin")
	// ErrListen is the type of errors of an admin address that can't be used.
	ErrListen = namespace.NewType("listen")
)

// Server answers on one address.
type Server struct {
	node     *node.Node
	stop     context.CancelFunc
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup
}

// Listen starts a Server. The function stop begins the planned stop of the process. It returns
// ErrListen where the address can't be used.
func Listen(address netip.AddrPort, n *node.Node, stop context.CancelFunc) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "set admin-address to a free address of this VM, not %s", address)
	}
	s := &Server{node: n, stop: stop, listener: listener}
	s.app = fiber.New(fiber.Config{BodyLimit: conf.MaxBytes, ErrorHandler: fail, ReadTimeout: 5 * time.Second})
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
	// The error tells only that the listener was closed.
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop closes the listener and waits for the server's goroutine.
func (s *Server) Stop() {
	_ = s.app.ShutdownWithTimeout(stopWait)
	s.group.Wait()
}

func (s *Server) status(c fiber.Ctx) error {
	return c.JSON(s.node.Status())
}

// Timeline is the answer to GET /timeline.
type Timeline struct {
	Events []event.Event `json:"events"`
	// Silent are the processes that did not answer.
	Silent []assign.ProcessID `json:"silent"`
}

func (s *Server) timeline(c fiber.Ctx) error {
	events, silent := s.node.Timeline(c.Context())
	return c.JSON(Timeline{Events: events, Silent: silent})
}

func (s *Server) config(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTime)
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
		return fiber.NewError(http.StatusBadRequest, "send the version that was read as If-Version, 0 for a new team")
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTime)
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
	ctx, cancel := context.WithTimeout(context.Background(), readTime)
	defer cancel()
	cancelDrain := c.Query("cancel") == "true"
	if err := s.node.DrainServer(ctx, assign.ServerID(c.Params("server")), cancelDrain); err != nil {
		return err
	}
	return c.SendStatus(http.StatusAccepted)
}

// Problem is the body of errors.
type Problem struct {
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

// problems maps types of errors to HTTP statuses.
var problems = []struct {
	kind   *errorx.Type
	name   string
	status int
}{
	{node.ErrInvalid, "invalid", http.StatusUnprocessableEntity},
	{node.ErrConflict, "conflict", http.StatusConflict},
	{node.ErrUndecided, "undecided", http.StatusGatewayTimeout},
	{node.ErrStore, "store", http.StatusServiceUnavailable},
	{node.ErrNoDecider, "no-decider", http.StatusServiceUnavailable},
	{node.ErrNoServer, "no-server", http.StatusNotFound},
}

// fail answers with the kind of an error and its remedy.
func fail(c fiber.Ctx, err error) error {
	for _, p := range problems {
		if errorx.IsOfType(err, p.kind) {
			return c.Status(p.status).JSON(Problem{Kind: p.name, Remedy: errorx.Cast(err).Message()})
		}
	}
	status := http.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return c.Status(status).JSON(Problem{Kind: "request", Remedy: err.Error()})
}
