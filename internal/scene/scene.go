// Package scene runs failure scenarios against real processes: the program samphiredrum for each entry
// process, and the program standin for the platform and for each backend server.
//
// A scenario is a text file with one statement on each line: it starts a deployment, sends calls,
// makes parts of the deployment fail, and states what must hold. Parse parses it. Run starts the programs
// that Build has built, runs the statements in order, stops every process, and passes the recorded calls
// and runs to package audit.
// docs/scenarios.md describes the statements.
//
// Callers run as goroutines in the process that calls Run. They repeat bookings through other entry
// processes after any outcome, and every attempt is recorded. Servers append their runs to history
// files, which remain after a server is killed.
//
// # Usage
//
//	programs, err := scene.Build(ctx, folder)
//	if err != nil {
//		return err
//	}
//	s, err := scene.Load("testdata/01-decider-killed.scene")
//	if err != nil {
//		return err
//	}
//	result, err := scene.Run(ctx, s, scene.Options{Programs: programs, Folder: logs, Out: os.Stdout})
//	if err != nil || len(result.Failures) > 0 {
//		os.Exit(1)
//	}
package scene

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("scene")
	// ErrSyntax is the type of errors in a scenario file. The message names the file, the line and
	// the remedy.
	ErrSyntax = namespace.NewType("syntax")
	// ErrBuild is the type of errors when a program can't be built.
	ErrBuild = namespace.NewType("build")
	// ErrRun is the type of errors of a scenario that can't be run, for example because a process does not
	// start or a statement names a process that does not exist. It does not mean that a promise was broken.
	ErrRun = namespace.NewType("run")
)

const (
	// waitTimeout bounds the wait for a state that the deployment must reach. It is not a target: it only ends
	// a scenario that would wait forever, and is long enough for a slow machine.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two queries of the deployment's state.
	pollInterval = 20 * time.Millisecond
	// queryTimeout bounds one query to a process. A paused process does not answer.
	queryTimeout = 300 * time.Millisecond
)
