package stand

import (
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/store"
)

const (
	defaultWrites = 500
	defaultReads  = 2000
	defaultKeep   = 1024
)

// PlatformOptions are the settings of a Platform. Zero values take the defaults.
type PlatformOptions struct {
	// Address is the address to listen on, a free port of 127.0.0.1 by default.
	Address netip.AddrPort
	// WritesPerSecond is the rate of puts and deletes above which calls get 429, 500 by default.
	WritesPerSecond int
	// ReadsPerSecond is the rate of all other calls above which they get 429, 2000 by default.
	ReadsPerSecond int
	// KeepChanges is the number of changes that a watch can go back, 1024 by default.
	KeepChanges int
	// VMLag is how long the list of VMs lags behind SetVMs, 0 by default.
	VMLag time.Duration
	// Log receives one line for each event; the zero value drops them.
	Log zerolog.Logger
}

// PlatformFault is the set of faults of a Platform. The zero value is a platform without faults.
type PlatformFault struct {
	// Down makes every call fail with 503.
	Down bool `json:"down"`
	// SlowMs delays the work and the answer of every call, each by half of it.
	SlowMs int64 `json:"slow-ms"`
	// LoseAnswers lets writes take effect and cuts their connection without an answer.
	LoseAnswers bool `json:"lose-answers"`
	// LateWriteMs delays the effect of writes. A client that gives up earlier sees an error, and
	// the write takes effect afterwards.
	LateWriteMs int64 `json:"late-write-ms"`
	// StallWatches keeps watches waiting without an answer, past their wait, until it is cleared.
	StallWatches bool `json:"stall-watches"`
	// VMLagMs is how long the list of VMs lags, in milliseconds.
	VMLagMs int64 `json:"vm-lag-ms"`
}

// Platform is the stand-in for the object API and the list of VMs. It is safe for concurrent use.
type Platform struct {
	options  PlatformOptions
	objects  *objects
	writes   *meter
	reads    *meter
	endpoint *endpoint
	address  netip.AddrPort
	stopped  chan struct{}

	mu    sync.Mutex
	fault PlatformFault
	calls map[string]uint64
	lists []vmList
}

type vmList struct {
	set time.Time
	vms []store.VM
}

// NewPlatform returns a Platform that does not listen yet.
func NewPlatform(o PlatformOptions) *Platform {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWrites
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReads
	}
	if o.KeepChanges <= 0 {
		o.KeepChanges = defaultKeep
	}
	return &Platform{
		options: o,
		objects: newObjects(o.KeepChanges),
		writes:  newMeter(o.WritesPerSecond),
		reads:   newMeter(o.ReadsPerSecond),
		stopped: make(chan struct{}),
		fault:   PlatformFault{VMLagMs: o.VMLag.Milliseconds()},
		calls:   map[string]uint64{},
	}
}

// Start listens and serves until Stop. It is called once.
func (p *Platform) Start() error {
	l, address, err := listen(p.options.Address)
	if err != nil {
		return err
	}
	p.address = address
	p.endpoint = newEndpoint(l, p.serve)
	p.endpoint.start()
	p.options.Log.Info().Stringer("address", address).Msg("platform-started")
	return nil
}

// Address returns the address it listens on, after Start.
func (p *Platform) Address() netip.AddrPort {
	return p.address
}

// Stop ends waiting watches, answers the calls in progress and closes the listener.
func (p *Platform) Stop() {
	close(p.stopped)
	p.endpoint.stop()
	p.options.Log.Info().Msg("platform-stopped")
}

// SetFault replaces all faults.
func (p *Platform) SetFault(f PlatformFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	p.options.Log.Info().Interface("fault", f).Msg("platform-fault")
}

// Fault returns the faults in force.
func (p *Platform) Fault() PlatformFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// SetVMs replaces the list of VMs. The platform shows it after its lag.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmList{set: time.Now(), vms: append([]store.VM(nil), vms...)})
}

// VMs returns the list that the platform shows now.
func (p *Platform) VMs() []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := time.Now().Add(-time.Duration(p.fault.VMLagMs) * time.Millisecond)
	var vms []store.VM
	for _, l := range p.lists {
		if !l.set.After(shown) {
			vms = l.vms
		}
	}
	return vms
}

// Calls returns the number of calls by kind: get, put, delete, list, watch, vms, and limited for
// those that got 429.
func (p *Platform) Calls() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.calls))
	for kind, n := range p.calls {
		counts[kind] = n
	}
	return counts
}

func (p *Platform) count(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[kind]++
}

// meter admits a number of calls in each second.
type meter struct {
	mu     sync.Mutex
	limit  int
	second int64
	used   int
}

func newMeter(limit int) *meter {
	return &meter{limit: limit}
}

func (m *meter) admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := now.Unix(); s != m.second {
		m.second = s
		m.used = 0
	}
	m.used++
	return m.used <= m.limit
}
