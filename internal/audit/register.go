package audit

import (
	"math"
	"strconv"

	"github.com/anishathalye/porcupine"
)

// unreadVersion stands for the version that an undecided change created and no operation read.
const unreadVersion = math.MaxUint64

// Operations on the stored configuration of one team.
type (
	registerWrite struct {
		outcome  WriteOutcome
		replaces uint64
		// versions are the versions that the change may have created.
		versions []uint64
	}
	registerRead struct{ version uint64 }
)

// registerModel is the sequential model of the stored configuration. Its state is the stored version.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(uint64), input) },
}).ToModel()

// stepRegister returns the versions that may be stored after the operation, none if the operation is
// not possible.
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
			return in.apply(version)
		case Refused:
			return same
		case Undecided:
			if version == in.replaces {
				same = append(same, uint64(unreadVersion))
			}
			return append(same, in.apply(version)...)
		case Conflicted:
			if version != in.replaces {
				return same
			}
		}
	}
	return nil
}

// apply returns the versions that may be stored after the change took effect, none if it can't take
// effect.
func (w registerWrite) apply(version uint64) []any {
	var after []any
	for _, v := range w.versions {
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
	versionRead    struct{ version uint64 }
)

// inForceState is the configuration in force at one process.
type inForceState struct {
	// written are the versions that may be in force. 0 means that the team has no configuration.
	written set
	// lowest is the lowest version that may still be in force.
	lowest uint64
}

// inForceModel is the sequential model of the configuration in force at one process.
var inForceModel = porcupine.Model{
	Init: func() any { return inForceState{written: "0"} },
	Step: func(state, input, _ any) (bool, any) { return state.(inForceState).step(input) },
}

// step reports whether the operation is possible in the state, and returns the state after it.
func (s inForceState) step(input any) (bool, any) {
	switch in := input.(type) {
	case versionWritten:
		s.written = s.written.with(strconv.FormatUint(in.version, 10))
		return true, s
	case versionRead:
		possible := in.version >= s.lowest && s.written.has(strconv.FormatUint(in.version, 10))
		s.lowest = in.version
		return possible, s
	}
	return false, s
}

// dueModel is the sequential model of the lowest version that must be in force at one process. Its
// state is that version.
var dueModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		due := state.(uint64)
		switch in := input.(type) {
		case versionDue:
			return true, max(due, in.version)
		case versionRead:
			return in.version >= due, due
		}
		return false, due
	},
}
