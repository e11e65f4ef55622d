// Package scene runs failure scenarios over real processes: the program samphiredrum for each entry
// process, and the program standin for the platform and for each backend server.
//
// A scenario is a text file with one statement on each line: it starts a deployment, sends calls,
// makes parts of the deployment fail, and names what has to hold. Parse reads it; Run builds nothing
// by itself but starts the programs that Build has made, plays the statements one after the other,
// stops every process, and hands the record of callers and servers to package audit.
// docs/scenarios.md describes the statements.
//
// Callers run as goroutines of the calling process. They repeat bookings through other entry
// processes after any outcome, and every attempt is recorded. Servers append their runs to history
// files, which outlive a killed process.
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
	// ErrSyntax is the type of errors of a scenario file. The message names the file, the line and
	// the remedy.
	ErrSyntax = namespace.NewType("syntax")
	// ErrBuild is the type of errors of programs that can't be built.
	ErrBuild = namespace.NewType("build")
	// ErrRun is the type of errors of a scenario that can't be played: a process does not start, or
	// a statement names what does not exist. It says nothing about the promises.
	ErrRun = namespace.NewType("run")
)

const (
	// patience bounds the wait for a state that the deployment has to reach. It is no target: it
	// only ends a scenario that would wait forever, also on a machine that is slow.
	patience = 30 * time.Second
	// lookInterval is the time between two looks at the state of the deployment.
	lookInterval = 20 * time.Millisecond
	// lookTime bounds one question to a process. A paused one does not answer.
	lookTime = 300 * time.Millisecond
)
