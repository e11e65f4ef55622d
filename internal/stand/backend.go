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
	// thawCheck is how often frozen goroutines look whether the freeze is over.
	thawCheck = 5 * time.Millisecond
)

// BackendOptions are the settings of a Backend. Zero values take the defaults.
type BackendOptions struct {
	// Name is the name of the server.
	Name string
	// Service is the service it runs, as "team/service".
	Service assign.ServiceID
	// Address is the address to listen on, a free port of 127.0.0.1 by default.
	Address netip.AddrPort
	// Fencing is what the server checks, assign.Grants by default.
	Fencing assign.Fencing
	// Slots is the number of calls that run at the same time, 6 by default.
	Slots int
	// Queue is the number of calls that may wait, 64 by default.
	Queue int
	// Connections is the number of connections that are accepted, 130 by default. Further ones
	// are accepted by the kernel and closed at once.
	Connections int
	// Connect is the time that a new connection costs, 1 ms by default.
	Connect time.Duration
	// Run is how long a call works that has no Run-Ms header, 2 ms by default.
	Run time.Duration
	// Cold is how long the server is cold after its start, 0 by default.
	Cold time.Duration
	// ColdFactor is how many times longer calls work while the server is cold, 3 by default.
	ColdFactor int
	// IgnoreCancel makes calls go on that were cancelled.
	IgnoreCancel bool
	// ClockOffset is added to the machine's clock to give the server's own clock.
	ClockOffset time.Duration
	// History is a file to which runs are appended, one JSON line at the start and one at the end
	// of each, or "".
	History string
	// Log receives one line for each event; the zero value drops them.
	Log zerolog.Logger
}

// BackendFault is the set of faults of a Backend. The zero value is a server without faults.
type BackendFault struct {
	// FreezeMs stops reading, running and answering for this time. Afterwards the server goes on
	// as if nothing had happened. 0 ends a freeze.
	FreezeMs int64 `json:"freeze-ms"`
	// AnswerLateMs delays each answer after its run has ended.
	AnswerLateMs int64 `json:"answer-late-ms"`
	// CrossAnswers swaps the answers of two calls that end at about the same time.
	CrossAnswers bool `json:"cross-answers"`
	// Truncate closes the connection in the middle of each answer.
	Truncate bool `json:"truncate"`
	// IgnoreDeadline runs calls whose deadline or Not-After is over.
	IgnoreDeadline bool `json:"ignore-deadline"`
	// LieLoad reports a healthy server without load.
	LieLoad bool `json:"lie-load"`
}

// Backend is the stand-in for one backend server. It is safe for concurrent use.
type Backend struct {
	options     BackendOptions
	incarnation string
	address     netip.AddrPort
	endpoint    *endpoint
	history     *history
	crossing    crossing

	mu      sync.Mutex
	ended   *sync.Cond // signalled when a job ends
	started time.Time
	fault   BackendFault
	thaws   time.Time
	killed  bool

	draining bool
	grants   grants
	jobs     map[*job]struct{}
	finished map[string]string
	// recalled are the calls that were cancelled before they arrived.
	recalled map[string]struct{}
	queue    []*job
	busy     int
	conns    map[net.Conn]struct{}
}

// NewBackend returns a Backend that does not listen yet.
func NewBackend(o BackendOptions) *Backend {
	o = o.withDefaults()
	b := &Backend{
		options:  o,
		history:  &history{},
		jobs:     map[*job]struct{}{},
		finished: map[string]string{},
		recalled: map[string]struct{}{},
		conns:    map[net.Conn]struct{}{},
	}
	b.ended = sync.NewCond(&b.mu)
	return b
}

func (o BackendOptions) withDefaults() BackendOptions {
	setInt(&o.Slots, defaultSlots)
	setInt(&o.Queue, defaultQueue)
	setInt(&o.Connections, defaultConnections)
	setInt(&o.ColdFactor, defaultColdFactor)
	setTime(&o.Connect, defaultConnect)
	setTime(&o.Run, defaultRun)
	return o
}

func setInt(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

func setTime(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
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

// Address returns the address it listens on, after Start.
func (b *Backend) Address() netip.AddrPort {
	return b.address
}

// Incarnation returns the identifier of this start of the server.
func (b *Backend) Incarnation() string {
	return b.incarnation
}

// Stop drains the server, waits for its work, at most 30 s, and then closes its listener. The
// listener stays open during the work, because a refused connection counts as proof that the
// process has ended.
func (b *Backend) Stop() {
	b.Drain()
	deadline := time.Now().Add(drainTimeout)
	for b.working() && time.Now().Before(deadline) {
		time.Sleep(thawCheck)
	}
	b.close("backend-stopped")
}

// Kill ends the server as the loss of its process does: work stops, connections are cut and new
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
	b.thaws = time.Time{}
	b.mu.Unlock()
	b.endpoint.stop()
	b.history.close()
	b.options.Log.Info().Str("server", b.options.Name).Msg(event)
}

// Drain makes the server refuse new work. Work that waits or runs goes on.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// SetFault replaces all faults. A FreezeMs above 0 starts a freeze now; 0 ends one.
func (b *Backend) SetFault(f BackendFault) {
	b.mu.Lock()
	b.fault = f
	b.thaws = time.Now().Add(time.Duration(f.FreezeMs) * time.Millisecond)
	b.mu.Unlock()
	b.options.Log.Info().Str("server", b.options.Name).Interface("fault", f).Msg("backend-fault")
}

// Fault returns the faults in force.
func (b *Backend) Fault() BackendFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// History returns every run so far, in the order of their starts.
func (b *Backend) History() []Run {
	return b.history.read()
}

func (b *Backend) working() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs) > 0
}

// lock takes the lock once the server is not frozen, so that whatever the caller checks and does
// under the lock is not interrupted by a freeze.
func (b *Backend) lock() {
	b.mu.Lock()
	for !b.killed && time.Now().Before(b.thaws) {
		b.mu.Unlock()
		time.Sleep(thawCheck)
		b.mu.Lock()
	}
}

// thawed waits until the server is not frozen.
func (b *Backend) thawed() {
	b.lock()
	defer b.mu.Unlock()
}

// clock returns the server's own clock in unix microseconds.
func (b *Backend) clock() int64 {
	return time.Now().Add(b.options.ClockOffset).UnixMicro()
}

func (b *Backend) cold() bool {
	return time.Since(b.started) < b.options.Cold
}
