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
	// bucketCount is the number of buckets that the booking identifiers are divided into.
	bucketCount = 64
	// recordersPerBucket is the number of processes that keep a copy of each bucket.
	recordersPerBucket = 2
)

// initialBuckets distributes the buckets over the listed processes.
func (d *Decider) initialBuckets() []assign.Bucket {
	bs := make([]assign.Bucket, bucketCount)
	load := make(map[assign.ProcessID]int)
	for i := range bs {
		bs[i].Generation = 1
		bs[i].Recorders = d.addRecorders(nil, d.processes, load)
	}
	return bs
}

// addRecorders appends candidates until there are recordersPerBucket. It prefers processes of other
// failure domains, then those with the fewest buckets.
func (d *Decider) addRecorders(kept []assign.ProcessID, candidates []Process, load map[assign.ProcessID]int) []assign.ProcessID {
	kept = slices.Clone(kept)
	for len(kept) < recordersPerBucket {
		var best *Process
		for i := range candidates {
			p := &candidates[i]
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
		cmp.Compare(d.countSameDomain(kept, a), d.countSameDomain(kept, b)),
		cmp.Compare(load[a.ID], load[b.ID]),
		cmp.Compare(a.ID, b.ID),
	)
}

// countSameDomain counts the kept processes in the failure domain of p.
func (d *Decider) countSameDomain(kept []assign.ProcessID, p Process) int {
	n := 0
	for _, o := range d.processes {
		if slices.Contains(kept, o.ID) && o.FailureDomain == p.FailureDomain {
			n++
		}
	}
	return n
}

// markRecorderLost records that the process has lost the identifiers that it kept.
func (d *Decider) markRecorderLost(id assign.ProcessID) {
	if d.lostRecorders == nil {
		d.lostRecorders = make(map[assign.ProcessID]bool)
	}
	d.lostRecorders[id] = true
	d.checkBuckets = true
}

// checkRecorders marks recorders as lost whose process does not answer.
func (d *Decider) checkRecorders(now time.Time) {
	if now.Sub(d.wonAt) < d.config.Silence {
		return
	}
	for _, b := range d.buckets {
		for _, id := range b.Recorders {
			if !d.isResponsive(now, id) {
				d.markRecorderLost(id)
			}
		}
	}
	d.checkBuckets = true
}

// isResponsive reports whether the process has answered recently enough to be a recorder.
func (d *Decider) isResponsive(now time.Time, id assign.ProcessID) bool {
	r := d.currentRuns[id]
	return r != nil && !r.ended && now.Sub(r.answeredAt) < d.config.Silence
}

// repairBuckets replaces the recorders that were lost since the last call and those on draining
// processes. It waits until processes have answered.
func (d *Decider) repairBuckets(now time.Time) {
	if !d.checkBuckets || len(d.buckets) == 0 {
		return
	}
	candidates := d.recorderCandidates(now)
	if len(candidates) == 0 {
		return
	}
	load := make(map[assign.ProcessID]int)
	for _, b := range d.buckets {
		for _, id := range b.Recorders {
			load[id]++
		}
	}
	for i := range d.buckets {
		d.repairBucket(i, candidates, load)
	}
	d.checkBuckets = false
	d.lostRecorders = nil
}

func (d *Decider) recorderCandidates(now time.Time) []Process {
	var candidates []Process
	for _, p := range d.processes {
		if d.isResponsive(now, p.ID) && !d.drainingProcesses[p.ID] {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

func (d *Decider) repairBucket(i int, candidates []Process, load map[assign.ProcessID]int) {
	b := &d.buckets[i]
	alive := slices.DeleteFunc(slices.Clone(b.Recorders), func(id assign.ProcessID) bool {
		return d.lostRecorders[id]
	})
	// While the second recorder is still copying, only the first one has the bucket.
	lost := len(alive) == 0 || b.Copying && d.lostRecorders[b.Recorders[0]]
	if lost {
		alive = nil
	}
	kept := d.dropDraining(alive, b.Copying, candidates)
	next := d.addRecorders(kept, candidates, load)
	members := d.members(*b, kept, next)
	if !lost && sameRecorders(*b, members) {
		return
	}
	d.emit(Note{Kind: NoteRecorders, Version: b.Generation + 1})
	// A new horizon is the version of the next table, which is known when that table is built.
	*b = dedup.Reassign(*b, 0, members)
	b.Copying = !lost && len(next) > len(kept)
	if lost {
		d.pendingHorizons = append(d.pendingHorizons, i)
	}
	d.tableDirty = true
	d.record.dirty = true
}

// members returns the recorders with their current runs. Only a recorder that stays and has the
// whole bucket is ready; the others copy it.
func (d *Decider) members(b assign.Bucket, kept, next []assign.ProcessID) []dedup.Member {
	members := make([]dedup.Member, len(next))
	for i, id := range next {
		members[i] = dedup.Member{
			Process:     id,
			Incarnation: d.incarnationOf(b, id),
			Ready:       slices.Contains(kept, id) && (!b.Copying || id == b.Recorders[0]),
		}
	}
	return members
}

// incarnationOf returns the number of the process's current run. If the process has not answered in
// this term, it is the run that the bucket lists.
func (d *Decider) incarnationOf(b assign.Bucket, id assign.ProcessID) uint64 {
	if r := d.currentRuns[id]; r != nil {
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
		// Programs that embed this package may use incarnations that are not numbers. Their hashes
		// distinguish the runs as well.
		return assign.Hash(incarnation)
	}
	return n
}

// sameRecorders reports whether the bucket already has these recorders with their current runs.
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

// dropDraining removes one draining recorder if the other one has the whole bucket and another
// process can replace it.
func (d *Decider) dropDraining(alive []assign.ProcessID, copying bool, candidates []Process) []assign.ProcessID {
	if copying || len(alive) < recordersPerBucket || len(candidates) < recordersPerBucket {
		return alive
	}
	for i, id := range alive {
		if d.drainingProcesses[id] {
			return slices.Delete(slices.Clone(alive), i, i+1)
		}
	}
	return alive
}

// setHorizons sets the horizon of the buckets that lost their identifiers to the version of the
// table that announces the loss.
func (d *Decider) setHorizons(version uint64) {
	for _, i := range d.pendingHorizons {
		d.buckets[i].Horizon = version
		d.emit(Note{Kind: NoteHorizon, Version: version})
	}
	d.pendingHorizons = nil
}

func (d *Decider) bucketCopied(e BucketCopied) {
	if e.Bucket < 0 || e.Bucket >= len(d.buckets) {
		return
	}
	b := &d.buckets[e.Bucket]
	if b.Copying && b.Generation == e.Generation && slices.Contains(b.Recorders[1:], e.Process) {
		b.Copying = false
		d.checkBuckets = true
		d.tableDirty = true
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
