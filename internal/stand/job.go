package stand

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// The reasons of a refusal.
const (
	reasonShedding   = "shedding"
	reasonDraining   = "draining"
	reasonStaleFence = "stale-fence"
	reasonNoGrant    = "no-grant"
	reasonDeadline   = "deadline"
)

// workStep is how long a run works between two checks of its right to go on.
const workStep = 5 * time.Millisecond

// job is one call at a Backend. Its fields below wake are guarded by the server's lock.
type job struct {
	id       string
	service  string
	keyed    bool
	hash     uint64
	hashText string
	fence    uint64
	// notAfter and deadline are in the server's clock, 0 for none.
	notAfter int64
	deadline int64
	work     time.Duration
	// turn is closed when the job leaves the queue, wake when it is cancelled.
	turn chan struct{}
	wake chan struct{}

	running   bool
	cancelled bool
	run       int
	// until is the end of the grant that the run started with or that was renewed for it.
	until int64
	// lastWork is the machine's time of the last check that let the run go on.
	lastWork int64
}

// perform waits for a slot and runs the job. It returns the reason of a refusal, or the outcome
// of the run.
func (b *Backend) perform(j *job) (reason, outcome string) {
	if reason := b.enter(j); reason != "" {
		return reason, ""
	}
	<-j.turn
	if reason := b.begin(j); reason != "" {
		return reason, ""
	}
	outcome = RunRunning
	for left := j.work; outcome == RunRunning; {
		// Time in which the server is frozen is not in what pause returns, except for one step.
		left -= j.pause(min(left, workStep))
		outcome = b.step(j, left <= 0)
	}
	return "", outcome
}

// enter gives the job a slot or a place in the queue.
func (b *Backend) enter(j *job) string {
	b.lock()
	defer b.mu.Unlock()
	if b.draining {
		return reasonDraining
	}
	if _, ok := b.recalled[j.id]; ok {
		return reasonDeadline
	}
	if reason := b.refusal(j); reason != "" {
		return reason
	}
	switch {
	case b.busy < b.options.Slots:
		b.busy++
		close(j.turn)
	case len(b.queue) < b.options.Queue:
		b.queue = append(b.queue, j)
	default:
		return reasonShedding
	}
	b.jobs[j] = struct{}{}
	return ""
}

// begin starts the run, unless the job lost its right to run while it waited.
func (b *Backend) begin(j *job) string {
	b.lock()
	defer b.mu.Unlock()
	if j.cancelled || b.killed {
		b.leave(j)
		return reasonDeadline
	}
	if reason := b.refusal(j); reason != "" {
		b.leave(j)
		return reason
	}
	j.running = true
	j.until = b.grants.notAfter
	j.lastWork = time.Now().UnixMicro()
	if b.cold() {
		j.work *= time.Duration(b.options.ColdFactor)
	}
	j.run = b.history.begin(Run{
		RequestID:   j.id,
		Service:     j.service,
		KeyHash:     j.hashText,
		Fence:       j.fence,
		Start:       j.lastWork,
		Server:      b.options.Name,
		Incarnation: b.incarnation,
	})
	return ""
}

// step checks whether the run may go on, and ends it where it may not or where its work is done.
func (b *Backend) step(j *job, done bool) string {
	b.lock()
	defer b.mu.Unlock()
	outcome := b.stopped(j)
	if outcome == "" {
		j.lastWork = time.Now().UnixMicro()
		if !done {
			return RunRunning
		}
		outcome = RunFinished
	}
	b.history.finish(j.run, j.lastWork, outcome)
	if outcome == RunFinished || outcome == RunCancelled {
		b.finished[j.id] = outcome
	}
	b.leave(j)
	return outcome
}

// stopped returns the outcome of a run that may not go on, or "".
func (b *Backend) stopped(j *job) string {
	now := b.clock()
	switch {
	case b.killed:
		return RunKilled
	case j.cancelled:
		return RunCancelled
	case b.options.Fencing == assign.Grants && now > j.until:
		return RunLapsed
	case b.expired(j, now):
		return RunExpired
	}
	return ""
}

func (b *Backend) refusal(j *job) string {
	now := b.clock()
	if b.options.Fencing == assign.Grants {
		if reason := b.grants.refusal(j, now); reason != "" {
			return reason
		}
	}
	if b.expired(j, now) {
		return reasonDeadline
	}
	return ""
}

func (b *Backend) expired(j *job, now int64) bool {
	if b.options.Fencing == assign.None || b.fault.IgnoreDeadline {
		return false
	}
	return j.notAfter > 0 && now > j.notAfter || j.deadline > 0 && now > j.deadline
}

// leave frees the slot of a job that had its turn, and gives it to the next one. The caller holds
// the lock.
func (b *Backend) leave(j *job) {
	delete(b.jobs, j)
	b.busy--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.busy++
		close(next.turn)
	}
	b.ended.Broadcast()
}

// cancel gives up a job by its identifier and returns what became of it. One that has not arrived
// is refused when it does.
func (b *Backend) cancel(id string) string {
	b.lock()
	defer b.mu.Unlock()
	for j := range b.jobs {
		if j.id == id {
			return b.cancelJob(j)
		}
	}
	if outcome, ok := b.finished[id]; ok {
		return outcome
	}
	b.recalled[id] = struct{}{}
	return "unknown"
}

func (b *Backend) cancelJob(j *job) string {
	if b.options.IgnoreCancel {
		return "running"
	}
	if !j.cancelled {
		j.cancelled = true
		close(j.wake)
	}
	if j.running {
		return "cancelled"
	}
	if i := slices.Index(b.queue, j); i >= 0 {
		// It takes a slot for the moment it needs to see that it was cancelled.
		b.queue = slices.Delete(b.queue, i, i+1)
		b.busy++
		close(j.turn)
	}
	return "not-run"
}

// pause works for d or until the job is cancelled, and returns the time that it took. A busy
// machine would otherwise add its delays to each step.
func (j *job) pause(d time.Duration) time.Duration {
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.wake:
	}
	return time.Since(began)
}
