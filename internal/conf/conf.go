// Package conf reads and checks settings files: the process file of an entry process, the team files
// that describe services, and the deployment file that describes the processes, teams and network of a
// user to load tools.
//
// Files are INI text with kebab-case names. One table of keys (see Reference) defines parsing,
// defaults, bounds and the reference page docs/settings.md. `samphiredrum check`, the start of a
// process and the acceptance of a new configuration all use the same parsers, so a file that passes
// one of them passes all.
//
// A parser does not stop at the first fault. It returns all faults that it finds, up to MaxFaults,
// each with its file, line, problem and remedy. If there is any fault, the returned value is the zero
// value, so that a partly read file cannot be used by mistake.
//
// # Usage
//
//	process, faults := conf.ParseProcess("entry-1.ini", text)
//	for _, f := range faults {
//		fmt.Fprintln(os.Stderr, f) // entry-1.ini:7: ...; remedy: ...
//	}
//
//	team, faults := conf.ParseTeam("yards", "config/yards", text)
//	service, ok := team.Service("yards/ledger")
//	operation, ok := service.Match("GET", "/balances/yard-17")
//	key, err := service.Key.Extract(header, query, "/balances/yard-17")
//
// All parsers are pure functions and safe for concurrent use. They do not panic on any input.
package conf

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxBytes is the size limit of one settings text in bytes. The object API stores values of up
	// to 1 MB; 256 bytes are reserved for data that an adapter may store with the text.
	MaxBytes = 1_000_000 - 256
	// MaxFaults is the number of faults that one parser reports. It bounds the size of the response
	// if an operator submits a text of another format.
	MaxFaults = 100
)

// Fault is one error in a settings text.
type Fault struct {
	// File is the file name that was passed to the parser.
	File string
	// Line counts from 1. It is 0 if the fault concerns the text as a whole.
	Line int
	// Problem says what is wrong.
	Problem string
	// Remedy says what to change.
	Remedy string
}

// String returns the fault as one line: "file:line: problem; remedy: what to change".
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s; remedy: %s", f.File, f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s; remedy: %s", f.File, f.Line, f.Problem, f.Remedy)
}

// report collects the faults of one text.
type report struct {
	file    string
	faults  []Fault
	omitted int
}

// atLimit reports whether further faults are only counted. A caller can then skip the search for a
// remedy.
func (r *report) atLimit() bool {
	return len(r.faults) >= MaxFaults
}

func (r *report) add(line int, problem, remedy string) {
	if r.atLimit() {
		r.omitted++
		return
	}
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Problem: problem, Remedy: remedy})
}

func (r *report) empty() bool {
	return len(r.faults) == 0
}

// sorted returns the faults in order of their lines. If there were more than MaxFaults, a last fault
// states how many were omitted.
func (r *report) sorted() []Fault {
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	if r.omitted == 0 {
		return r.faults
	}
	return append(r.faults, Fault{
		File:    r.file,
		Problem: fmt.Sprintf("%d more faults are not listed", r.omitted),
		Remedy:  "correct the faults above and check again",
	})
}
