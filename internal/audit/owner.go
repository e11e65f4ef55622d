package audit

import (
	"fmt"
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// CheckOwners checks the runs of each key against a sequential model of the key's owner. It returns
// one fault for each key whose starts and ends of runs have no order that meets these rules:
//
//   - a run under a higher fence at another server starts after all earlier runs have ended;
//   - a run under a lower fence does not start at a server other than the current owner;
//   - one fence belongs to one server.
//
// While a run has not ended, its server remains the owner. Runs without a key are ignored.
func CheckOwners(runs []stand.Run) []Fault {
	operations := make(map[string][]porcupine.Operation)
	for _, r := range runs {
		if r.KeyHash == "" {
			continue
		}
		key := r.Service + " " + r.KeyHash
		operations[key] = append(operations[key], point(r.Start, ownerStarted{r.Server, r.Fence}))
		if e := endTime(r); e != noEnd {
			operations[key] = append(operations[key], point(e, ownerEnded{r.Server}))
		}
	}
	var faults []Fault
	for _, key := range slices.Sorted(maps.Keys(operations)) {
		if !porcupine.CheckOperations(ownerModel, operations[key]) {
			faults = append(faults, Fault{SoleOwner, fmt.Sprintf("key=%q operations=%d order=none", key, len(operations[key]))})
		}
	}
	return faults
}

// Operations on the owner of one key.
type (
	ownerStarted struct {
		server string
		fence  uint64
	}
	ownerEnded struct{ server string }
)

// ownerState is the owner of one key, which is the server with the highest fence, and the number of
// its active runs.
type ownerState struct {
	server string
	fence  uint64
	active int
}

// ownerModel is the sequential model of the owner of one key.
var ownerModel = porcupine.Model{
	Init: func() any { return ownerState{} },
	Step: func(state, input, _ any) (bool, any) { return state.(ownerState).step(input) },
}

// step reports whether the operation is possible in the state, and returns the state after it.
func (s ownerState) step(input any) (bool, any) {
	switch in := input.(type) {
	case ownerStarted:
		return s.start(in)
	case ownerEnded:
		possible := s.server == in.server && s.active > 0
		s.active--
		return possible, s
	}
	return false, s
}

// start reports whether a run can start in the state, and returns the state after it. The owner may
// start a run under a lower fence of its own, because that does not create a second owner.
func (s ownerState) start(in ownerStarted) (bool, any) {
	if in.server == s.server {
		s.fence = max(s.fence, in.fence)
		s.active++
		return true, s
	}
	possible := s.server == "" || (in.fence > s.fence && s.active == 0)
	return possible, ownerState{server: in.server, fence: in.fence, active: 1}
}
