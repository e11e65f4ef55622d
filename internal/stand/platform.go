package stand

import (
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/store"
)

const (
	defaultWrites      = 500
	defaultReads       = 2000
	defaultKeepChanges = 1024
)

// PlatformOptions are the settings of a Platform. Zero values take the defaults.
type PlatformOptions struct {
	// Address is the address to listen on, a free port of 127.0.0.1 by default.
	Address netip.AddrPort
	// WritesPerSecond is the rate of puts and deletes above which they are answered with 429, 500 by default.
	WritesPerSecond int
	// ReadsPerSecond is the rate of all other calls above which they are answered with 429, 2000 by default.
	ReadsPerSecond int
	// KeepChanges is the number of latest changes that are kept for watches, 1024 by default.
	KeepChanges int
	// VMLag is the delay after which the list of VMs reflects a call of SetVMs, 0 by default.
	VMLag time.Duration
	// Log receives one line for each event. The zero value discards them.
	Log zerolog.Logger
}

// PlatformFault is the set of faults of a Platform. The zero value is a platform without faults.
type PlatformFault struct {
	// Down makes every call fail with 503.
	Down bool `json:"down"`
	// SlowMs delays every call, by one half before it is handled and by the other half before its answer is sent.
	SlowMs int64 `json:"slow-ms"`
	// LoseAnswers applies writes but closes their connections without an answer.
	LoseAnswers bool `json:"lose-answers"`
	// LateWriteMs delays the effect of writes. A client that times out before sees an error, and
	// the write still takes effect afterwards.
	LateWriteMs int64 `json:"late-write-ms"`
	// StallWatches holds back the answers of watches, even beyond their wait time, until the fault is cleared.
	StallWatches bool `json:"stall-watches"`
	// VMLagMs is the delay after which the list of VMs reflects a call of SetVMs, in milliseconds.
	VMLagMs int64 `json:"vm-lag-ms"`
}

// Platform is a stand-in for the platform's object API and list of VMs. It is safe for concurrent use.
type Platform struct {
	options      PlatformOptions
	objects      *objects
	writeLimiter *rateLimiter
	readLimiter  *rateLimiter
	endpoint     *endpoint
	address      netip.AddrPort
	stopped      chan struct{}

	mu      sync.Mutex
	fault   PlatformFault
	calls   map[string]uint64
	vmLists []vmList
}

type vmList struct {
	setAt time.Time
	vms   []store.VM
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
		o.KeepChanges = defaultKeepChanges
	}
	return &Platform{
		options:      o,
		objects:      newObjects(o.KeepChanges),
		writeLimiter: newRateLimiter(o.WritesPerSecond),
		readLimiter:  newRateLimiter(o.ReadsPerSecond),
		stopped:      make(chan struct{}),
		fault:        PlatformFault{VMLagMs: o.VMLag.Milliseconds()},
		calls:        map[string]uint64{},
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

// Address returns the address that the platform listens on. It is valid after Start.
func (p *Platform) Address() netip.AddrPort {
	return p.address
}

// Stop ends waiting watches, closes the listener and waits up to 2 s for calls in flight.
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

// Fault returns the current faults.
func (p *Platform) Fault() PlatformFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// SetVMs replaces the list of VMs. VMs returns the new list after the lag of the platform.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{setAt: time.Now(), vms: append([]store.VM(nil), vms...)})
}

// VMs returns the list of VMs that the platform currently reports to clients.
func (p *Platform) VMs() []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := time.Now().Add(-time.Duration(p.fault.VMLagMs) * time.Millisecond)
	var vms []store.VM
	for _, l := range p.vmLists {
		if !l.setAt.After(shown) {
			vms = l.vms
		}
	}
	return vms
}

// Calls returns the number of calls by kind: get, put, delete, list, watch and vms. The kind limited counts the
// calls of all kinds that were answered with 429.
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

// rateLimiter allows a fixed number of calls in each second.
type rateLimiter struct {
	mu     sync.Mutex
	limit  int
	second int64
	used   int
}

func newRateLimiter(limit int) *rateLimiter {
	return &rateLimiter{limit: limit}
}

func (l *rateLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.used = 0
	}
	l.used++
	return l.used <= l.limit
}
