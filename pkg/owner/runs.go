package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// run is what the decider knows of one run of a process.
type run struct {
	assign.Run
	// given counts the run's serving lease.
	given lease.Granted
	// listed is the first version of this term whose table lists the run, 0 before.
	listed   uint64
	acked    uint64
	inFlight map[assign.ServerID]int
	// echo is the process's last timestamp, which arrived at echoAt.
	echo    time.Time
	echoAt  time.Time
	heard   time.Time
	ended   bool
	endedAt time.Time
	// clear holds servers of kind none that were idle after the run had ended.
	clear map[assign.ServerID]bool
}

// quiet reports whether no call that the run sent before version can still be at the server.
func (r *run) quiet(id assign.ServerID, version uint64) bool {
	if r.neverLent() {
		return true
	}
	return version > 0 && r.acked >= version && r.inFlight[id] == 0
}

// neverLent reports whether the run never had a serving lease, and so sent no call.
func (r *run) neverLent() bool {
	return r.given.Expires().IsZero()
}

func (d *Decider) processAnswered(now time.Time, e ProcessAnswered) {
	key := assign.Run{Process: e.Process, Incarnation: e.Incarnation}
	if e.Term != d.term || d.dead[key] || !d.isListed(e.Process) {
		return
	}
	r := d.currentRun(now, key)
	r.heard = now
	if e.Sent.After(r.echo) {
		r.echo = e.Sent
		r.echoAt = now
	}
	if !d.gathered && len(d.current) == len(d.processes) {
		// The first buckets name no runs, so their recorders refuse until all of them are known.
		d.gathered = true
		d.checkBuckets = true
	}
	wasHeld := d.table != nil && d.Committed(d.table.Version)
	r.acknowledge(e)
	if d.table != nil && !wasHeld && d.Committed(d.table.Version) {
		d.lendAll()
		d.firstRevokes()
	}
}

// acknowledge takes over the version and the calls in flight. Answers may arrive out of order: a
// lower version is ignored, and for one version a count only falls.
func (r *run) acknowledge(e ProcessAnswered) {
	if e.Version < r.acked {
		return
	}
	if e.Version > r.acked {
		r.acked = e.Version
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
	if r := d.current[key.Process]; r != nil && r.Run == key {
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
		d.dirty = true
	}
	d.current[key.Process] = found
	return found
}

func (d *Decider) processEnded(now time.Time, e ProcessEnded) {
	for _, r := range d.runs {
		unheard := e.Incarnation == "" && r.echo.IsZero()
		if r.Process == e.Process && (unheard || r.Incarnation == e.Incarnation) {
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
	r.clear = make(map[assign.ServerID]bool)
	d.dead[r.Run] = true
	d.loseRecorder(r.Process)
	d.dirty = true
	d.act(Note{Kind: NoteProcessLost, Process: r.Process})
}

// dropRuns forgets runs that can neither forward nor have calls at a server.
func (d *Decider) dropRuns(now time.Time) {
	kept := d.runs[:0:0]
	for _, r := range d.runs {
		if !d.finished(now, r) {
			kept = append(kept, r)
			continue
		}
		if d.current[r.Process] == r {
			delete(d.current, r.Process)
			d.loseRecorder(r.Process)
		}
		d.dirty = true
	}
	d.runs = kept
}

// finished reports whether every call of the run has ended. A run without lease whose end is not
// proven may still have calls at a server of kind none.
func (d *Decider) finished(now time.Time, r *run) bool {
	if !r.given.Lapsed(now) {
		return false
	}
	if !r.ended && now.Sub(r.heard) < d.config.ServingLease {
		return false
	}
	if r.neverLent() {
		return true
	}
	for id, s := range d.servers {
		cleared := s.gone || r.ended && r.clear[id]
		if s.Fencing == assign.None && !cleared {
			return false
		}
	}
	return true
}

func (d *Decider) sendBeats() {
	d.beatDue = false
	for _, p := range d.processes {
		d.sendBeat(p.ID)
	}
}

// sendBeat sends a heartbeat. The holder counts the lease from the echoed timestamp, so it is counted
// here from the time that timestamp arrived, however late the heartbeat is sent. Counted from the
// heartbeat, the lease of a silent process would never lapse.
func (d *Decider) sendBeat(id assign.ProcessID) {
	beat := SendHeartbeat{Process: id, Term: d.term}
	r := d.latest(id)
	if r != nil {
		beat.Incarnation = r.Incarnation
		beat.Echo = r.echo
		if d.mayLend(r) {
			beat.Lease = d.config.ServingLease
			r.given.Extend(r.echoAt, beat.Lease, d.config.Margin)
		}
	}
	if d.table != nil && r != nil && r.acked < d.table.Version {
		beat.Table = d.table
	}
	d.act(beat)
}

// latest returns the run that answered in this term, or the one that was listed last before.
func (d *Decider) latest(id assign.ProcessID) *run {
	if r := d.current[id]; r != nil {
		return r
	}
	for i := len(d.runs) - 1; i >= 0; i-- {
		if d.runs[i].Process == id && !d.runs[i].ended {
			return d.runs[i]
		}
	}
	return nil
}

// mayLend reports whether the run may get a serving lease: the next decider must know it.
func (d *Decider) mayLend(r *run) bool {
	return !r.ended && !r.echo.IsZero() && d.Committed(r.listed)
}

// lendAll sends the heartbeat early to the runs that wait for their first lease.
func (d *Decider) lendAll() {
	for _, p := range d.processes {
		if r := d.current[p.ID]; r != nil && d.mayLend(r) && r.neverLent() {
			d.sendBeat(p.ID)
		}
	}
}
