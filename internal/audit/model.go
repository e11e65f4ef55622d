package audit

import (
	"math"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// noEnd is the return time of an operation that may take effect at any time after its call.
const noEnd = math.MaxInt64

// point returns an operation that takes effect at a known time, in Unix microseconds.
func point(at int64, input any) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: at, Return: at}
}

// interval returns an operation that takes effect at some time from call to end, in Unix microseconds.
func interval(call, end int64, input any) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: call, Return: end}
}

// set is a set of names without spaces. It is a string so that model states are comparable with ==.
type set string

// with returns the set with the name added. The names are sorted so that equal sets are equal strings.
func (s set) with(name string) set {
	if s.has(name) {
		return s
	}
	names := append(strings.Fields(string(s)), name)
	slices.Sort(names)
	return set(strings.Join(names, " "))
}

// has reports whether the name is in the set.
func (s set) has(name string) bool {
	return slices.Contains(strings.Fields(string(s)), name)
}
