package audit

import (
	"math"
	"strconv"

	"github.com/anishathalye/porcupine"
)

// unseen stands for the version that an undecided change made and nobody read.
const unseen = math.MaxUint64

// Operations on the stored configuration of one team.
type (
	registerWrite struct {
		outcome  WriteOutcome
		replaces uint64
		// results are the versions that the change can have made.
		results []uint64
	}
	registerRead struct{ version uint64 }
)

// registerModel is the sequential model of the stored configuration. Its state is the version.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(uint64), input) },
}).ToModel()

// stepRegister returns the versions that may be stored after the operation, none where the
// operation is not possible.
func stepRegister(version uint64, input any) []any {
	same := []any{version}
	switch in := input.(type) {
	case registerRead:
		if in.version == version {
			return same
		}
	case registerWrite:
		switch in.outcome {
		case Accepted:
			return in.replace(version)
		case Refused:
			return same
		case Undecided:
			if version == in.replaces {
				same = append(same, uint64(unseen))
			}
			return append(same, in.replace(version)...)
		case Conflicted:
			if version != in.replaces {
				return same
			}
		}
	}
	return nil
}

// replace returns the versions after the change takes effect, none where it can't.
func (w registerWrite) replace(version uint64) []any {
	var after []any
	for _, v := range w.results {
		if version == w.replaces && v > version {
			after = append(after, v)
		}
	}
	return after
}

// Operations on the configuration in force at one process.
type (
	versionWritten struct{ version uint64 }
	versionDue     struct{ version uint64 }
	versionSeen    struct{ version uint64 }
)

// forceState is the configuration in force at one process.
type forceState struct {
	// written are the versions that may be in force; 0 is a team without configuration.
	written set
	// lowest is the lowest version that may still be in force.
	lowest uint64
}

// forceModel is the sequential model of the configuration in force at one process.
var forceModel = porcupine.Model{
	Init: func() any { return forceState{written: "0"} },
	Step: func(state, input, _ any) (bool, any) { return state.(forceState).step(input) },
}

// step returns whether the operation is possible in the state, and the state after it.
func (s forceState) step(input any) (bool, any) {
	switch in := input.(type) {
	case versionWritten:
		s.written = s.written.with(strconv.FormatUint(in.version, 10))
		return true, s
	case versionSeen:
		possible := in.version >= s.lowest && s.written.has(strconv.FormatUint(in.version, 10))
		s.lowest = in.version
		return possible, s
	}
	return false, s
}

// dueModel is the sequential model of the version that has to be in force at one process. Its state
// is that version.
var dueModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		due := state.(uint64)
		switch in := input.(type) {
		case versionDue:
			return true, max(due, in.version)
		case versionSeen:
			return in.version >= due, due
		}
		return false, due
	},
}
