// Package samphiredrum runs an entry process of the router inside another program.
//
// Samphiredrum routes calls to backend servers that own keys exclusively; docs/design.md explains
// how. The packages under pkg/ are its coordination parts, which can be used without a process.
//
// # Usage
//
//	process, err := samphiredrum.New(
//		samphiredrum.WithSettings("entry-1.ini", text),
//		samphiredrum.WithLog(log),
//	)
//	if err != nil {
//		return err // contains the line and the remedy
//	}
//	return process.Run(ctx) // runs until ctx is done, then stops gracefully
package samphiredrum

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// stopTimeout limits a graceful stop. It exceeds the 10 minutes that the longest operation may take.
const stopTimeout = 11 * time.Minute

// Errors of this package.
var (
	namespace = errorx.NewNamespace("samphiredrum")
	// ErrSettings is the type of errors for invalid or missing settings.
	ErrSettings = namespace.NewType("settings")
)

// Process is one entry process.
type Process struct {
	settings conf.Process
	faults   []conf.Fault
	options  []node.Option
}

// Option configures a Process.
type Option func(*Process)

// WithSettings sets the text of a process file. Error messages use name as the file name.
func WithSettings(name, text string) Option {
	return func(p *Process) { p.settings, p.faults = conf.ParseProcess(name, text) }
}

// WithLog sets the logger. By default, nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(p *Process) { p.options = append(p.options, node.WithLog(log)) }
}

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option {
	return func(p *Process) { p.options = append(p.options, node.WithClock(c)) }
}

// New returns a Process that is not running yet. It returns ErrSettings if the settings are missing or
// invalid.
func New(options ...Option) (*Process, error) {
	p := &Process{}
	for _, o := range options {
		o(p)
	}
	if len(p.faults) > 0 {
		return nil, ErrSettings.New("%s", p.faults[0])
	}
	if p.settings.Name == "" {
		return nil, ErrSettings.New("no settings: add WithSettings with the text of a process file")
	}
	return p, nil
}

// Run runs the process until ctx is done or an operator drains it, and then stops it gracefully: calls
// in flight complete. Its errors contain the address that can't be used.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := node.New(p.settings, p.options...)
	if err := n.Start(); err != nil {
		return err
	}
	adminServer, err := admin.Listen(p.settings.AdminAddress, n, cancel)
	if err != nil {
		n.Kill()
		return err
	}
	defer adminServer.Stop()
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	n.Stop(stopCtx)
	return nil
}
