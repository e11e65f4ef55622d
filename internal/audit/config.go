package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=WriteOutcome -transform=kebab -output=writeoutcome_enumer.go

// WriteOutcome is the outcome of a configuration change, as reported to the operator.
type WriteOutcome int

const (
	// Accepted means that the change took effect.
	Accepted WriteOutcome = iota
	// Conflicted means that the change was refused because another version was stored.
	Conflicted
	// Refused means that the change was refused for another reason and has no effect.
	Refused
	// Undecided means that the change may take effect at any time after its call, or never.
	Undecided
)

// ConfigWrite is a change of a team's configuration, as its operator recorded it.
type ConfigWrite struct {
	Team string
	// Called is a time before the change was sent, Returned a time after its answer arrived.
	Called   time.Time
	Returned time.Time
	Outcome  WriteOutcome
	// IfVersion is the version that the change replaces, 0 if the team has no configuration yet.
	IfVersion uint64
	// Version is the version that the change created, 0 if the answer did not include it.
	Version uint64
}

// ConfigRead is a read of the version of a team's configuration, from the store or from one process.
type ConfigRead struct {
	Team string
	// Process is the entry process that had the version in force, or "" if the store was read.
	Process assign.ProcessID
	// Called and Returned are the times before and after the read.
	Called   time.Time
	Returned time.Time
	Version  uint64
}

// CheckConfigs checks each team's configuration against two sequential models.
//
// The stored configuration is a register with versions: an accepted change replaces exactly the
// version in its IfVersion, a refused one changes nothing, and an undecided one may take effect at
// any time after its call or never. Reads without a process return the stored version.
//
// The version in force at one process never decreases and was written before it is in force. Once
// bound has passed since the answer of an accepted change, it is at least the version of that change.
// A process without a serving lease may have a stale version, so reads must only come from processes
// that hold one.
//
// The writes must include the first version of each team, as an accepted change of version 0.
func CheckConfigs(writes []ConfigWrite, reads []ConfigRead, bound time.Duration) []Fault {
	histories := make(map[string]*configHistory)
	historyOf := func(team string) *configHistory {
		if histories[team] == nil {
			histories[team] = &configHistory{team: team, reads: make(map[assign.ProcessID][]ConfigRead)}
		}
		return histories[team]
	}
	for _, w := range writes {
		h := historyOf(w.Team)
		h.writes = append(h.writes, w)
	}
	for _, r := range reads {
		h := historyOf(r.Team)
		h.reads[r.Process] = append(h.reads[r.Process], r)
	}
	var faults []Fault
	for _, team := range slices.Sorted(maps.Keys(histories)) {
		faults = append(faults, histories[team].check(bound)...)
	}
	return faults
}

// configHistory is the history of one team's configuration.
type configHistory struct {
	team   string
	writes []ConfigWrite
	reads  map[assign.ProcessID][]ConfigRead
}

// check returns the faults of the stored configuration, then the faults of each process.
func (h *configHistory) check(bound time.Duration) []Fault {
	var faults []Fault
	undecided := h.undecidedVersions()
	if !porcupine.CheckOperations(registerModel, h.storeOperations(undecided)) {
		faults = append(faults, Fault{KeptConfig, fmt.Sprintf("team=%s place=store writes=%d order=none", h.team, len(h.writes))})
	}
	for _, process := range slices.Sorted(maps.Keys(h.reads)) {
		if process == "" {
			continue
		}
		if !porcupine.CheckOperations(inForceModel, h.inForceOperations(process, undecided)) {
			faults = append(faults, Fault{KeptConfig, fmt.Sprintf("team=%s place=%s order=none", h.team, process)})
		}
		if !porcupine.CheckOperations(dueModel, h.dueOperations(process, bound)) {
			faults = append(faults, Fault{ConfigInForce, fmt.Sprintf("team=%s place=%s bound=%s order=none", h.team, process, bound)})
		}
	}
	return faults
}

// undecidedVersions returns the versions that occur in the history although no change is known to have
// created them. Only an undecided change can have created such a version.
func (h *configHistory) undecidedVersions() []uint64 {
	known := map[uint64]bool{0: true}
	for _, w := range h.writes {
		known[w.Version] = true
	}
	seen := make(map[uint64]bool)
	for _, w := range h.writes {
		seen[w.IfVersion] = !known[w.IfVersion]
	}
	for _, list := range h.reads {
		for _, r := range list {
			seen[r.Version] = !known[r.Version]
		}
	}
	maps.DeleteFunc(seen, func(_ uint64, unknown bool) bool { return !unknown })
	return slices.Sorted(maps.Keys(seen))
}

// possibleVersions returns the versions that the change may have created.
func (w ConfigWrite) possibleVersions(undecided []uint64) []uint64 {
	switch {
	case w.Outcome == Conflicted || w.Outcome == Refused:
		return nil
	case w.Outcome == Accepted || w.Version != 0:
		return []uint64{w.Version}
	}
	return slices.DeleteFunc(slices.Clone(undecided), func(v uint64) bool { return v <= w.IfVersion })
}

// storeOperations returns the writes and reads of the stored configuration.
func (h *configHistory) storeOperations(undecided []uint64) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, w := range h.writes {
		returned := w.Returned.UnixMicro()
		if w.Outcome == Undecided {
			returned = noEnd
		}
		input := registerWrite{outcome: w.Outcome, replaces: w.IfVersion, versions: w.possibleVersions(undecided)}
		operations = append(operations, interval(w.Called.UnixMicro(), returned, input))
	}
	for _, r := range h.reads[""] {
		operations = append(operations, interval(r.Called.UnixMicro(), r.Returned.UnixMicro(), registerRead{r.Version}))
	}
	return operations
}

// inForceOperations returns the operations that inForceModel checks at one process.
func (h *configHistory) inForceOperations(process assign.ProcessID, undecided []uint64) []porcupine.Operation {
	operations := h.readOperations(process)
	for _, w := range h.writes {
		for _, v := range w.possibleVersions(undecided) {
			operations = append(operations, point(w.Called.UnixMicro(), versionWritten{v}))
		}
	}
	return operations
}

// dueOperations returns the operations that dueModel checks at one process.
func (h *configHistory) dueOperations(process assign.ProcessID, bound time.Duration) []porcupine.Operation {
	operations := h.readOperations(process)
	for _, w := range h.writes {
		if w.Outcome == Accepted {
			operations = append(operations, point(w.Returned.Add(bound).UnixMicro(), versionDue{w.Version}))
		}
	}
	return operations
}

// readOperations returns the reads of the version in force at one process.
func (h *configHistory) readOperations(process assign.ProcessID) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, r := range h.reads[process] {
		operations = append(operations, interval(r.Called.UnixMicro(), r.Returned.UnixMicro(), versionRead{r.Version}))
	}
	return operations
}
