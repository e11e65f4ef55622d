package leader

// Event is an input of Candidate.Step.
type Event interface{ event() }

// Found reports the record that a Read returned. The record must come from the store, not from a cache,
// and the time passed to Step must be that at which the answer arrived.
type Found struct {
	Record  Record
	Version uint64
}

// Missing reports that a Read found no record.
type Missing struct{}

// Era reports the era of the store, before the first other event and whenever it changes. In a new era the store has come
// back from an older copy: writes that it had confirmed are gone, and leases with them.
type Era struct{ Number uint64 }

// Heartbeat reports that the leader has confirmed that it leads, how many candidates there are, and the Version of
// the record that the leader last wrote, 0 if it is not known.
type Heartbeat struct {
	Candidates int
	Version    uint64
}

// Refresh requests a read of the record even while heartbeats of the leader arrive.
type Refresh struct{}

// Ceded reports that the leader has stopped leading in favour of this candidate, which may replace the
// record at once if the record still has Version.
type Ceded struct{ Version uint64 }

// Cede makes the leader stop leading without a write, so that another candidate may write at once.
type Cede struct{}

// Written reports that the Write with this Sequence succeeded, and the new Version of the record.
type Written struct{ Sequence, Version uint64 }

// Conflict reports that a Write was rejected because the record had another version.
type Conflict struct{}

// Failed reports that a Read failed or, if Write is set, that it is unknown whether a Write took effect.
type Failed struct{ Write bool }

// Resign makes the candidate give up leadership for good. A leader stops leading at once and writes a record without
// a holder.
type Resign struct{}

// Tick carries only the time, for the actions that are due at regular intervals.
type Tick struct{}

func (Found) event()     {}
func (Missing) event()   {}
func (Era) event()       {}
func (Heartbeat) event() {}
func (Refresh) event()   {}
func (Ceded) event()     {}
func (Cede) event()      {}
func (Written) event()   {}
func (Conflict) event()  {}
func (Failed) event()    {}
func (Resign) event()    {}
func (Tick) event()      {}

// Action is an output of Candidate.Step, which the caller carries out.
type Action interface{ action() }

// Read requests a read of the record.
type Read struct{}

// Write requests a write of Record on the condition that the stored record has the version IfVersion, or
// that there is none if IfVersion is 0.
type Write struct {
	Record    Record
	IfVersion uint64
}

func (Read) action()  {}
func (Write) action() {}
