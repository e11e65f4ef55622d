// Package samphiredrum runs an entry process of the router inside another program.
//
// Samphiredrum routes calls to backend servers that own keys exclusively; docs/design.md explains
// how. The coordination parts on their own, without a process around them, are the packages under
// pkg/.
//
// # Usage
//
//	process, err := samphiredrum.New(
//		samphiredrum.WithSettings("entry-1.ini", text),
//		samphiredrum.WithLog(log),
//	)
//	if err != nil {
//		return err // names the line and the remedy
//	}
//	return process.Run(ctx) // until ctx ends, then a graceful stop
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

// stopTime bounds a planned stop. The longest operation may take 10 minutes.
const stopTime = 11 * time.Minute

// Errors of this package.
var (
	namespace = errorx.NewNamespace("samphiredrum")
	// ErrSettings is the type of errors of settings with faults or without a process.
	ErrSettings = namespace.NewType("settings")
)

// Process is one entry process.
type Process struct {
	settings conf.Process
	faults   []conf.Fault
	options  []node.Option
}

// Option changes a Process.
type Option func(*Process)

// WithSettings sets the text of a process file. The name is used in errors.
func WithSettings(name, text string) Option {
	return func(p *Process) { p.settings, p.faults = conf.ParseProcess(name, text) }
}

// WithLog sets the logger. Without it nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(p *Process) { p.options = append(p.options, node.WithLog(log)) }
}

// WithClock sets the clock, that of the machine by default.
func WithClock(c clock.Clock) Option {
	return func(p *Process) { p.options = append(p.options, node.WithClock(c)) }
}

// New returns a Process that does not run yet. It returns ErrSettings where settings are missing or
// have faults.
func New(options ...Option) (*Process, error) {
	p := &Process{}
	for _, o := range options {
		o(p)
	}
	if len(p.faults) > 0 {
		return nil, ErrSettings.New("%s", p.faults[0])
	}
	if p.settings.Name == "" {
		return nil, ErrSettings.New("add WithSettings with the text of a process file")
	}
	return p, nil
}

// Run runs the process until the context ends or an operator drains it, and then stops it
// gracefully: calls in flight complete. Its errors name the address that can't be used.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := node.New(p.settings, p.options...)
	if err := n.Start(); err != nil {
		return err
	}
	operators, err := admin.Listen(p.settings.AdminAddress, n, cancel)
	if err != nil {
		n.Kill()
		return err
	}
	defer operators.Stop()
	<-ctx.Done()
	stopping, end := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer end()
	n.Stop(stopping)
	return nil
}
