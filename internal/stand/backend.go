package stand

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	defaultSlots       = 6
	defaultQueue       = 64
	defaultConnections = 130
	defaultConnect     = time.Millisecond
	defaultRun         = 2 * time.Millisecond
	defaultColdFactor  = 3
	drainTimeout       = 30 * time.Second
	// pollInterval is the interval at which frozen goroutines check whether the freeze has ended, and at which Stop
	// checks whether work is still in flight.
	pollInterval = 5 * time.Millisecond
)

// BackendOptions are the settings of a Backend. Zero values take the defaults.
type BackendOptions struct {
	// Name is the name of the server.
	Name string
	// Service is the service that the server runs, as "team/service".
	Service assign.ServiceID
	// Address is the address to listen on, a free port of 127.0.0.1 by default.
	Address netip.AddrPort
	// Fencing is the kind of fencing that the server checks, assign.Grants by default.
	Fencing assign.Fencing
	// Slots is the number of calls that run at the same time, 6 by default.
	Slots int
	// Queue is the number of calls that may wait, 64 by default.
	Queue int
	// Connections is the number of connections that may be open, 130 by default. Connections above it
	// are reset as soon as the kernel has accepted them.
	Connections int
	// Connect is the delay before the first read from a new connection, 1 ms by default.
	Connect time.Duration
	// Run is the run time of a call without a Run-Ms header, 2 ms by default.
	Run time.Duration
	// Cold is how long the server is cold after its start, 0 by default.
	Cold time.Duration
	// ColdFactor multiplies the run time of calls that start while the server is cold, 3 by default.
	ColdFactor int
	// IgnoreCancel makes cancelled calls continue.
	IgnoreCancel bool
	// ClockOffset is added to the time of the machine's clock to get the time of the server's clock.
	ClockOffset time.Duration
	// History is the path of a file to which each run is appended as one JSON line at its start and one at its
	// end. If it is empty, no file is written.
	History string
	// Log receives one line for each event. The zero value discards them.
	Log zerolog.Logger
}

// BackendFault is the set of faults of a Backend. The zero value is a server without faults.
type BackendFault struct {
	// FreezeMs suspends reading, running and answering for this time. Afterwards the server continues
	// where it stopped. 0 ends a freeze.
	FreezeMs int64 `json:"freeze-ms"`
	// AnswerLateMs delays each answer after its run has ended.
	AnswerLateMs int64 `json:"answer-late-ms"`
	// CrossAnswers swaps the answers of two calls that end within 100 ms of each other.
	CrossAnswers bool `json:"cross-answers"`
	// Truncate closes the connection in the middle of each answer.
	Truncate bool `json:"truncate"`
	// IgnoreDeadline runs calls whose deadline or Not-After has passed.
	IgnoreDeadline bool `json:"ignore-deadline"`
	// LieLoad makes health reports show a healthy server without load, whatever its state and load are.
	LieLoad bool `json:"lie-load"`
}

// Backend is a stand-in for one backend server. It is safe for concurrent use.
type Backend struct {
	options     BackendOptions
	incarnation string
	address     netip.AddrPort
	endpoint    *endpoint
	history     *history
	swapper     answerSwapper

	mu          sync.Mutex
	jobEnded    *sync.Cond // signalled when a job ends
	started     time.Time
	fault       BackendFault
	frozenUntil time.Time
	killed      bool

	draining bool
	grants   grants
	jobs     map[*job]struct{}
	finished map[string]string
	// cancelledEarly holds the request identifiers of calls that were cancelled before they arrived.
	cancelledEarly map[string]struct{}
	queue          []*job
	busy           int
	conns          map[net.Conn]struct{}
}

// NewBackend returns a Backend that does not listen yet.
func NewBackend(o BackendOptions) *Backend {
	o = o.withDefaults()
	b := &Backend{
		options:        o,
		history:        &history{},
		jobs:           map[*job]struct{}{},
		finished:       map[string]string{},
		cancelledEarly: map[string]struct{}{},
		conns:          map[net.Conn]struct{}{},
	}
	b.jobEnded = sync.NewCond(&b.mu)
	return b
}

func (o BackendOptions) withDefaults() BackendOptions {
	setDefaultInt(&o.Slots, defaultSlots)
	setDefaultInt(&o.Queue, defaultQueue)
	setDefaultInt(&o.Connections, defaultConnections)
	setDefaultInt(&o.ColdFactor, defaultColdFactor)
	setDefaultDuration(&o.Connect, defaultConnect)
	setDefaultDuration(&o.Run, defaultRun)
	return o
}

func setDefaultInt(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

func setDefaultDuration(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Start listens and serves until Stop or Kill. It is called once.
func (b *Backend) Start() error {
	if err := b.history.open(b.options.History); err != nil {
		return err
	}
	l, address, err := listen(b.options.Address)
	if err != nil {
		return err
	}
	b.address = address
	b.started = time.Now()
	b.incarnation = fmt.Sprintf("%s-%d", b.options.Name, b.started.UnixNano())
	b.endpoint = newEndpoint(&gatedListener{Listener: l, backend: b}, b.serve)
	b.endpoint.start()
	b.options.Log.Info().Str("server", b.options.Name).
		Stringer("address", address).Str("incarnation", b.incarnation).Msg("backend-started")
	return nil
}

// Address returns the address that the server listens on. It is valid after Start.
func (b *Backend) Address() netip.AddrPort {
	return b.address
}

// Incarnation returns the identifier of the current run of the server process. It is valid after Start.
func (b *Backend) Incarnation() string {
	return b.incarnation
}

// Stop drains the server, waits up to 30 s for calls in flight and then closes the listener. The
// listener stays open until then, because clients take a refused connection as proof that the
// process has ended.
func (b *Backend) Stop() {
	b.Drain()
	deadline := time.Now().Add(drainTimeout)
	for b.hasJobs() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	b.close("backend-stopped")
}

// Kill simulates the loss of the server process: runs stop, open connections are reset and new
// ones are refused.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.killed = true
	for c := range b.conns {
		reset(c)
	}
	b.mu.Unlock()
	b.close("backend-killed")
}

func (b *Backend) close(event string) {
	b.mu.Lock()
	b.frozenUntil = time.Time{}
	b.mu.Unlock()
	b.endpoint.stop()
	b.history.close()
	b.options.Log.Info().Str("server", b.options.Name).Msg(event)
}

// Drain makes the server refuse new calls. Calls that are queued or running continue.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// SetFault replaces all faults. A FreezeMs above 0 starts a freeze immediately, and 0 ends a freeze.
func (b *Backend) SetFault(f BackendFault) {
	b.mu.Lock()
	b.fault = f
	b.frozenUntil = time.Now().Add(time.Duration(f.FreezeMs) * time.Millisecond)
	b.mu.Unlock()
	b.options.Log.Info().Str("server", b.options.Name).Interface("fault", f).Msg("backend-fault")
}

// Fault returns the current faults.
func (b *Backend) Fault() BackendFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// History returns all runs so far, in the order in which they started.
func (b *Backend) History() []Run {
	return b.history.read()
}

func (b *Backend) hasJobs() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs) > 0
}

// lock waits until the server is not frozen and acquires mu. A freeze cannot begin between a check
// that the caller makes under the lock and the action that depends on it.
func (b *Backend) lock() {
	b.mu.Lock()
	for !b.killed && time.Now().Before(b.frozenUntil) {
		b.mu.Unlock()
		time.Sleep(pollInterval)
		b.mu.Lock()
	}
}

// waitUnfrozen waits until the server is not frozen.
func (b *Backend) waitUnfrozen() {
	b.lock()
	defer b.mu.Unlock()
}

// clock returns the time of the server's clock in Unix microseconds.
func (b *Backend) clock() int64 {
	return time.Now().Add(b.options.ClockOffset).UnixMicro()
}

func (b *Backend) cold() bool {
	return time.Since(b.started) < b.options.Cold
}
