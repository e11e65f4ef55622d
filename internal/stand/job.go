package stand

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// The reasons for which a call is refused, as sent in the Reason header.
const (
	reasonShedding   = "shedding"
	reasonDraining   = "draining"
	reasonStaleFence = "stale-fence"
	reasonNoGrant    = "no-grant"
	reasonDeadline   = "deadline"
)

// workStep is the time that a run works between two checks that it may continue.
const workStep = 5 * time.Millisecond

// job is one call to a Backend. The fields after cancelSignal are guarded by Backend.mu.
type job struct {
	id       string
	service  string
	keyed    bool
	hash     uint64
	hashText string
	fence    uint64
	// notAfter and deadline are times of the server's clock in Unix microseconds. 0 means that there is no limit.
	notAfter int64
	deadline int64
	work     time.Duration
	// slotGranted is closed when the job gets a slot, and cancelSignal when the job is cancelled.
	slotGranted  chan struct{}
	cancelSignal chan struct{}

	running   bool
	cancelled bool
	runIndex  int
	// grantExpiry is the end of the grant under which the run started, or of its latest renewal, by the server's
	// clock.
	grantExpiry int64
	// lastActive is the time of the last check that allowed the run to continue, by the machine's clock.
	lastActive int64
}

// perform waits for a slot and runs the job. It returns the reason if the job is refused, or else the outcome
// of the run.
func (b *Backend) perform(j *job) (reason, outcome string) {
	if reason := b.admitJob(j); reason != "" {
		return reason, ""
	}
	<-j.slotGranted
	if reason := b.begin(j); reason != "" {
		return reason, ""
	}
	outcome = RunRunning
	for left := j.work; outcome == RunRunning; {
		// sleep does not measure the time that step waits in a freeze, so frozen time does not count as work,
		// except within the one work step in which the freeze begins.
		left -= j.sleep(min(left, workStep))
		outcome = b.step(j, left <= 0)
	}
	return "", outcome
}

// admitJob gives the job a slot or queues it. It returns the reason if the job is refused, or else "".
func (b *Backend) admitJob(j *job) string {
	b.lock()
	defer b.mu.Unlock()
	if b.draining {
		return reasonDraining
	}
	if _, ok := b.cancelledEarly[j.id]; ok {
		return reasonDeadline
	}
	if reason := b.refusal(j); reason != "" {
		return reason
	}
	switch {
	case b.busy < b.options.Slots:
		b.busy++
		close(j.slotGranted)
	case len(b.queue) < b.options.Queue:
		b.queue = append(b.queue, j)
	default:
		return reasonShedding
	}
	b.jobs[j] = struct{}{}
	return ""
}

// begin starts the run. It returns the reason if the job may no longer run after its wait in the queue, or else "".
func (b *Backend) begin(j *job) string {
	b.lock()
	defer b.mu.Unlock()
	if j.cancelled || b.killed {
		b.releaseSlot(j)
		return reasonDeadline
	}
	if reason := b.refusal(j); reason != "" {
		b.releaseSlot(j)
		return reason
	}
	j.running = true
	j.grantExpiry = b.grants.notAfter
	j.lastActive = time.Now().UnixMicro()
	if b.cold() {
		j.work *= time.Duration(b.options.ColdFactor)
	}
	j.runIndex = b.history.begin(Run{
		RequestID:   j.id,
		Service:     j.service,
		KeyHash:     j.hashText,
		Fence:       j.fence,
		Start:       j.lastActive,
		Server:      b.options.Name,
		Incarnation: b.incarnation,
	})
	return ""
}

// step checks whether the run may continue, and ends it if it may not or if its work is done. It returns the
// outcome, RunRunning if the run continues.
func (b *Backend) step(j *job, done bool) string {
	b.lock()
	defer b.mu.Unlock()
	outcome := b.stopOutcome(j)
	if outcome == "" {
		j.lastActive = time.Now().UnixMicro()
		if !done {
			return RunRunning
		}
		outcome = RunFinished
	}
	b.history.finish(j.runIndex, j.lastActive, outcome)
	if outcome == RunFinished || outcome == RunCancelled {
		b.finished[j.id] = outcome
	}
	b.releaseSlot(j)
	return outcome
}

// stopOutcome returns the outcome of a run that must stop, or "" if it may continue.
func (b *Backend) stopOutcome(j *job) string {
	now := b.clock()
	switch {
	case b.killed:
		return RunKilled
	case j.cancelled:
		return RunCancelled
	case b.options.Fencing == assign.Grants && now > j.grantExpiry:
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

// releaseSlot frees the slot of the job and gives it to the next job in the queue. The caller holds
// the lock.
func (b *Backend) releaseSlot(j *job) {
	delete(b.jobs, j)
	b.busy--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.busy++
		close(next.slotGranted)
	}
	b.jobEnded.Broadcast()
}

// cancel cancels the job with the identifier and returns the outcome of the cancellation. A job that has not
// arrived yet is refused when it arrives.
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
	b.cancelledEarly[id] = struct{}{}
	return "unknown"
}

func (b *Backend) cancelJob(j *job) string {
	if b.options.IgnoreCancel {
		return "running"
	}
	if !j.cancelled {
		j.cancelled = true
		close(j.cancelSignal)
	}
	if j.running {
		return "cancelled"
	}
	if i := slices.Index(b.queue, j); i >= 0 {
		// The job takes a slot, possibly above the limit, until begin sees that it was cancelled.
		b.queue = slices.Delete(b.queue, i, i+1)
		b.busy++
		close(j.slotGranted)
	}
	return "not-run"
}

// sleep simulates work for d or until the job is cancelled, and returns the elapsed time. It measures the time
// because on a busy machine each sleep takes longer than d, and these delays would add up over the steps.
func (j *job) sleep(d time.Duration) time.Duration {
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.cancelSignal:
	}
	return time.Since(began)
}
