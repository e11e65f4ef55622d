package owner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

const (
	// buckets is the number of parts of the booking identifiers.
	buckets = 64
	// recorders is the number of processes that remember one bucket.
	recorders = 2
)

// firstBuckets spreads the buckets over the listed processes.
func (d *Decider) firstBuckets() []assign.Bucket {
	bs := make([]assign.Bucket, buckets)
	load := make(map[assign.ProcessID]int)
	for i := range bs {
		bs[i].Generation = 1
		bs[i].Recorders = d.extendRecorders(nil, d.processes, load)
	}
	return bs
}

// extendRecorders appends processes until there are enough: of another failure domain where
// possible, then those with the fewest buckets.
func (d *Decider) extendRecorders(kept []assign.ProcessID, from []Process, load map[assign.ProcessID]int) []assign.ProcessID {
	kept = slices.Clone(kept)
	for len(kept) < recorders {
		var best *Process
		for i := range from {
			p := &from[i]
			if slices.Contains(kept, p.ID) {
				continue
			}
			if best == nil || d.compareRecorders(kept, load, *p, *best) < 0 {
				best = p
			}
		}
		if best == nil {
			return kept
		}
		load[best.ID]++
		kept = append(kept, best.ID)
	}
	return kept
}

func (d *Decider) compareRecorders(kept []assign.ProcessID, load map[assign.ProcessID]int, a, b Process) int {
	return cmp.Or(
		cmp.Compare(d.sameDomain(kept, a), d.sameDomain(kept, b)),
		cmp.Compare(load[a.ID], load[b.ID]),
		cmp.Compare(a.ID, b.ID),
	)
}

// sameDomain counts the kept processes in the failure domain of p.
func (d *Decider) sameDomain(kept []assign.ProcessID, p Process) int {
	n := 0
	for _, o := range d.processes {
		if slices.Contains(kept, o.ID) && o.FailureDomain == p.FailureDomain {
			n++
		}
	}
	return n
}

// loseRecorder notes that the process has lost what it remembered.
func (d *Decider) loseRecorder(id assign.ProcessID) {
	if d.lostRecorders == nil {
		d.lostRecorders = make(map[assign.ProcessID]bool)
	}
	d.lostRecorders[id] = true
	d.checkBuckets = true
}

// checkRecorders treats a recorder whose process is silent as lost.
func (d *Decider) checkRecorders(now time.Time) {
	if now.Sub(d.wonAt) < d.config.Silence {
		return
	}
	for _, b := range d.buckets {
		for _, id := range b.Recorders {
			if !d.answers(now, id) {
				d.loseRecorder(id)
			}
		}
	}
	d.checkBuckets = true
}

// answers reports whether the process can be a recorder.
func (d *Decider) answers(now time.Time, id assign.ProcessID) bool {
	r := d.current[id]
	return r != nil && !r.ended && now.Sub(r.heard) < d.config.Silence
}

// repairBuckets replaces the recorders that were lost since the last call, and those of processes
// that drain. It does nothing before processes have answered.
func (d *Decider) repairBuckets(now time.Time) {
	if !d.checkBuckets || len(d.buckets) == 0 {
		return
	}
	from := d.recorderCandidates(now)
	if len(from) == 0 {
		return
	}
	load := make(map[assign.ProcessID]int)
	for _, b := range d.buckets {
		for _, id := range b.Recorders {
			load[id]++
		}
	}
	for i := range d.buckets {
		d.repairBucket(i, from, load)
	}
	d.checkBuckets = false
	d.lostRecorders = nil
}

func (d *Decider) recorderCandidates(now time.Time) []Process {
	var from []Process
	for _, p := range d.processes {
		if d.answers(now, p.ID) && !d.drainingProcesses[p.ID] {
			from = append(from, p)
		}
	}
	return from
}

func (d *Decider) repairBucket(i int, from []Process, load map[assign.ProcessID]int) {
	b := &d.buckets[i]
	alive := slices.DeleteFunc(slices.Clone(b.Recorders), func(id assign.ProcessID) bool {
		return d.lostRecorders[id]
	})
	// The only copy is at the first recorder while the other one still copies.
	forgotten := len(alive) == 0 || b.Copying && d.lostRecorders[b.Recorders[0]]
	if forgotten {
		alive = nil
	}
	kept := d.withoutDraining(alive, b.Copying, from)
	next := d.extendRecorders(kept, from, load)
	members := d.members(*b, kept, next)
	if !forgotten && sameRecorders(*b, members) {
		return
	}
	d.act(Note{Kind: NoteRecorders, Version: b.Generation + 1})
	// The version of a horizon that rises is known when the table is made.
	*b = dedup.Reassign(*b, 0, members)
	b.Copying = !forgotten && len(next) > len(kept)
	if forgotten {
		d.raised = append(d.raised, i)
	}
	d.dirty = true
	d.record.dirty = true
}

// members returns the recorders with their present runs. Only a survivor that holds the bucket is
// ready; the others copy it.
func (d *Decider) members(b assign.Bucket, kept, next []assign.ProcessID) []dedup.Member {
	members := make([]dedup.Member, len(next))
	for i, id := range next {
		members[i] = dedup.Member{
			Process:     id,
			Incarnation: d.incarnation(b, id),
			Ready:       slices.Contains(kept, id) && (!b.Copying || id == b.Recorders[0]),
		}
	}
	return members
}

// incarnation returns the number of the process's present run. A process that has not answered in
// this term counts as the run that the bucket lists.
func (d *Decider) incarnation(b assign.Bucket, id assign.ProcessID) uint64 {
	if r := d.current[id]; r != nil {
		return runNumber(r.Incarnation)
	}
	if i := slices.Index(b.Recorders, id); i >= 0 && i < len(b.Incarnations) {
		return b.Incarnations[i]
	}
	return 0
}

func runNumber(incarnation string) uint64 {
	n, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		// An embedder may name runs by other texts; a hash tells them apart as well.
		return assign.Hash(incarnation)
	}
	return n
}

// sameRecorders reports whether the bucket already has these recorders in their present runs.
func sameRecorders(b assign.Bucket, members []dedup.Member) bool {
	if len(b.Recorders) != len(members) || len(b.Incarnations) != len(members) {
		return false
	}
	for i, m := range members {
		if b.Recorders[i] != m.Process || b.Incarnations[i] != m.Incarnation {
			return false
		}
	}
	return true
}

// withoutDraining drops one recorder that drains, where the other one has the bucket and a process
// can take its place.
func (d *Decider) withoutDraining(alive []assign.ProcessID, copying bool, from []Process) []assign.ProcessID {
	if copying || len(alive) < recorders || len(from) < recorders {
		return alive
	}
	for i, id := range alive {
		if d.drainingProcesses[id] {
			return slices.Delete(slices.Clone(alive), i, i+1)
		}
	}
	return alive
}

// raiseHorizons sets the horizon of buckets whose memory was lost to the version that tells it.
func (d *Decider) raiseHorizons(version uint64) {
	for _, i := range d.raised {
		d.buckets[i].Horizon = version
		d.act(Note{Kind: NoteHorizon, Version: version})
	}
	d.raised = nil
}

func (d *Decider) bucketCopied(e BucketCopied) {
	if e.Bucket < 0 || e.Bucket >= len(d.buckets) {
		return
	}
	b := &d.buckets[e.Bucket]
	if b.Copying && b.Generation == e.Generation && slices.Contains(b.Recorders[1:], e.Process) {
		b.Copying = false
		d.checkBuckets = true
		d.dirty = true
		d.record.dirty = true
	}
}

func (d *Decider) drainProcess(e DrainProcess) {
	if d.drainingProcesses == nil {
		d.drainingProcesses = make(map[assign.ProcessID]bool)
	}
	d.drainingProcesses[e.Process] = !e.Cancel
	d.checkBuckets = true
}
