package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// run is the decider's state of one run of a process.
type run struct {
	assign.Run
	// lease is the run's serving lease as counted by the decider.
	lease lease.Granted
	// listedVersion is the first table version of this term that lists the run, 0 before.
	listedVersion uint64
	ackedVersion  uint64
	inFlight      map[assign.ServerID]int
	// echo is the process's last timestamp, and echoAt is when it arrived.
	echo       time.Time
	echoAt     time.Time
	answeredAt time.Time
	ended      bool
	endedAt    time.Time
	// idleServers are the servers of kind none that were idle after the run had ended.
	idleServers map[assign.ServerID]bool
}

// drained reports whether no call that the run sent before version can still be at the server.
func (r *run) drained(id assign.ServerID, version uint64) bool {
	if r.neverLeased() {
		return true
	}
	return version > 0 && r.ackedVersion >= version && r.inFlight[id] == 0
}

// neverLeased reports whether the run never had a serving lease, so that it cannot have sent a
// call.
func (r *run) neverLeased() bool {
	return r.lease.Expires().IsZero()
}

func (d *Decider) processAnswered(now time.Time, e ProcessAnswered) {
	key := assign.Run{Process: e.Process, Incarnation: e.Incarnation}
	if e.Term != d.term || d.endedRuns[key] || !d.isListed(e.Process) {
		return
	}
	r := d.currentRun(now, key)
	r.answeredAt = now
	if e.Sent.After(r.echo) {
		r.echo = e.Sent
		r.echoAt = now
	}
	if !d.allAnswered && len(d.currentRuns) == len(d.processes) {
		// The initial buckets list no incarnations, so their recorders refuse identifiers until
		// every run is known.
		d.allAnswered = true
		d.checkBuckets = true
	}
	wasHeld := d.table != nil && d.Committed(d.table.Version)
	r.acknowledge(e)
	if d.table != nil && !wasHeld && d.Committed(d.table.Version) {
		d.sendFirstLeases()
		d.sendNewRevokes()
	}
}

// acknowledge takes over the version and the number of calls in flight. Answers may arrive out of
// order: a lower version is ignored, and for the same version a count only decreases.
func (r *run) acknowledge(e ProcessAnswered) {
	if e.Version < r.ackedVersion {
		return
	}
	if e.Version > r.ackedVersion {
		r.ackedVersion = e.Version
		r.inFlight = maps.Clone(e.InFlight)
		return
	}
	for id, n := range r.inFlight {
		r.inFlight[id] = min(n, e.InFlight[id])
	}
}

func (d *Decider) isListed(id assign.ProcessID) bool {
	return slices.ContainsFunc(d.processes, func(p Process) bool { return p.ID == id })
}

// currentRun returns the run that answered. A new incarnation proves that the earlier runs of the
// process have ended.
func (d *Decider) currentRun(now time.Time, key assign.Run) *run {
	if r := d.currentRuns[key.Process]; r != nil && r.Run == key {
		return r
	}
	var found *run
	for _, r := range d.runs {
		if r.Run == key {
			found = r
		} else if r.Process == key.Process {
			d.endRun(now, r)
		}
	}
	if found == nil {
		found = &run{Run: key}
		d.runs = append(d.runs, found)
		d.tableDirty = true
	}
	d.currentRuns[key.Process] = found
	return found
}

func (d *Decider) processEnded(now time.Time, e ProcessEnded) {
	for _, r := range d.runs {
		unanswered := e.Incarnation == "" && r.echo.IsZero()
		if r.Process == e.Process && (unanswered || r.Incarnation == e.Incarnation) {
			d.endRun(now, r)
		}
	}
}

func (d *Decider) endRun(now time.Time, r *run) {
	if r.ended {
		return
	}
	r.ended = true
	r.endedAt = now
	r.idleServers = make(map[assign.ServerID]bool)
	d.endedRuns[r.Run] = true
	d.markRecorderLost(r.Process)
	d.tableDirty = true
	d.emit(Note{Kind: NoteProcessLost, Process: r.Process})
}

// dropRuns removes the runs that can neither forward calls nor have any at a server.
func (d *Decider) dropRuns(now time.Time) {
	kept := d.runs[:0:0]
	for _, r := range d.runs {
		if !d.finished(now, r) {
			kept = append(kept, r)
			continue
		}
		if d.currentRuns[r.Process] == r {
			delete(d.currentRuns, r.Process)
			d.markRecorderLost(r.Process)
		}
		d.tableDirty = true
	}
	d.runs = kept
}

// finished reports whether every call of the run has ended. A run without a lease may still have
// calls at a server of kind none if the run is not known to have ended.
func (d *Decider) finished(now time.Time, r *run) bool {
	if !r.lease.Lapsed(now) {
		return false
	}
	if !r.ended && now.Sub(r.answeredAt) < d.config.ServingLease {
		return false
	}
	if r.neverLeased() {
		return true
	}
	for id, s := range d.servers {
		stopped := s.gone || r.ended && r.idleServers[id]
		if s.Fencing == assign.None && !stopped {
			return false
		}
	}
	return true
}

func (d *Decider) sendHeartbeats() {
	d.heartbeatDue = false
	for _, p := range d.processes {
		d.sendHeartbeat(p.ID)
	}
}

// sendHeartbeat sends a heartbeat. The lease starts at the echoed timestamp for the process, so
// here it starts when that timestamp arrived, however late the heartbeat is sent. If it started
// when the heartbeat is sent, the lease of a silent process would never lapse.
func (d *Decider) sendHeartbeat(id assign.ProcessID) {
	heartbeat := SendHeartbeat{Process: id, Term: d.term}
	r := d.latestRun(id)
	if r != nil {
		heartbeat.Incarnation = r.Incarnation
		heartbeat.Echo = r.echo
		if d.mayLease(r) {
			heartbeat.Lease = d.config.ServingLease
			r.lease.Extend(r.echoAt, heartbeat.Lease, d.config.Margin)
		}
	}
	if d.table != nil && r != nil && r.ackedVersion < d.table.Version {
		heartbeat.Table = d.table
	}
	d.emit(heartbeat)
}

// latestRun returns the run that answered in this term, or else the last one that an earlier table
// lists.
func (d *Decider) latestRun(id assign.ProcessID) *run {
	if r := d.currentRuns[id]; r != nil {
		return r
	}
	for i := len(d.runs) - 1; i >= 0; i-- {
		if d.runs[i].Process == id && !d.runs[i].ended {
			return d.runs[i]
		}
	}
	return nil
}

// mayLease reports whether the run may get a serving lease. A majority must hold a table that lists
// the run, so that the next decider knows of it.
func (d *Decider) mayLease(r *run) bool {
	return !r.ended && !r.echo.IsZero() && d.Committed(r.listedVersion)
}

// sendFirstLeases sends a heartbeat at once to the runs that wait for their first lease.
func (d *Decider) sendFirstLeases() {
	for _, p := range d.processes {
		if r := d.currentRuns[p.ID]; r != nil && d.mayLease(r) && r.neverLeased() {
			d.sendHeartbeat(p.ID)
		}
	}
}
