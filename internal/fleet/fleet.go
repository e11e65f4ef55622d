// Package fleet runs the complete deployment of a user in one process on the loopback address: the
// stand-in platform, the stand-in backend servers and the entry processes. The demo, tests and
// experiments use it.
//
// The files of a deployment describe a Fleet, see conf.Deployment. Load replaces every loopback address
// in them with a free one, so that several fleets can run at the same time.
//
// # Usage
//
//	plan, err := fleet.Load(examples.Files, "khangai")
//	f := fleet.New(plan, fleet.WithLog(log))
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	defer f.Stop()
//	f.Kill("entry-3")
package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Error types of this package.
var (
	namespace = errorx.NewNamespace("fleet")
	// ErrPlan is the type of errors for deployment files that are missing or invalid.
	ErrPlan = namespace.NewType("plan")
	// ErrStart is the type of errors for a fleet that does not become ready in time.
	ErrStart = namespace.NewType("start")
)

// pollInterval is the time between two checks whether the fleet is ready.
const pollInterval = 10 * time.Millisecond

// Fleet runs the platform, backend servers and entry processes of one deployment in one process.
type Fleet struct {
	plan        Plan
	log         zerolog.Logger
	nodeOptions []node.Option
	tlsFiles    func(conf.Process) conf.TLS
	platform    *stand.Platform
	backends    map[assign.ServerID]*stand.Backend
	nodes       map[assign.ProcessID]*node.Node

	mu      sync.Mutex
	stopped map[assign.ProcessID]bool
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLog sets the logger of the entry processes.
func WithLog(log zerolog.Logger) Option {
	return func(f *Fleet) { f.log = log }
}

// WithNode passes options to every entry process.
func WithNode(options ...node.Option) Option {
	return func(f *Fleet) { f.nodeOptions = append(f.nodeOptions, options...) }
}

// WithTLS sets the function that returns the certificate files of an entry process.
func WithTLS(files func(conf.Process) conf.TLS) Option {
	return func(f *Fleet) { f.tlsFiles = files }
}

// WithoutProcess starts the fleet without an entry process, as if its VM had been lost.
func WithoutProcess(name assign.ProcessID) Option {
	return func(f *Fleet) { f.stopped[name] = true }
}

// New returns a Fleet that has not been started.
func New(plan Plan, options ...Option) *Fleet {
	f := &Fleet{
		plan:     plan,
		log:      zerolog.Nop(),
		backends: make(map[assign.ServerID]*stand.Backend),
		nodes:    make(map[assign.ProcessID]*node.Node),
		stopped:  make(map[assign.ProcessID]bool),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start starts the stand-ins and the entry processes, and waits until every process serves requests
// and every key has an owner. It returns ErrStart if the context ends before that.
func (f *Fleet) Start(ctx context.Context) error {
	f.platform = stand.NewPlatform(stand.PlatformOptions{
		Address:         f.plan.Platform,
		WritesPerSecond: f.plan.Deployment.StandIn.StoreWrites,
		ReadsPerSecond:  f.plan.Deployment.StandIn.StoreReads,
		VMLag:           f.plan.Deployment.StandIn.VMLag,
	})
	if err := f.platform.Start(); err != nil {
		return err
	}
	if err := f.storeConfigs(ctx); err != nil {
		return err
	}
	for _, team := range f.plan.Teams {
		for _, service := range team.Services {
			if err := f.startBackends(service); err != nil {
				return err
			}
		}
	}
	for _, settings := range f.plan.Processes {
		if f.stopped[settings.Name] {
			continue
		}
		if err := f.startNode(settings); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// storeConfigs writes the configuration of each team to the store.
func (f *Fleet) storeConfigs(ctx context.Context) error {
	client := store.NewClient(f.platform.Address(), store.Options{})
	defer client.Close()
	for _, name := range slices.Sorted(maps.Keys(f.plan.Texts)) {
		if _, err := client.Put(ctx, "config/"+name, []byte(f.plan.Texts[name]), 0); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startBackends(service conf.Service) error {
	for _, server := range service.Servers {
		b := stand.NewBackend(stand.BackendOptions{
			Name:        string(server.ID),
			Service:     service.ID,
			Address:     server.Address,
			Fencing:     service.Fencing,
			Slots:       service.Slots,
			Connections: service.Connections,
			Connect:     f.plan.Deployment.StandIn.Connect,
			Run:         f.plan.Deployment.StandIn.Run,
		})
		if err := b.Start(); err != nil {
			return err
		}
		f.backends[server.ID] = b
	}
	return nil
}

func (f *Fleet) startNode(settings conf.Process) error {
	if f.tlsFiles != nil {
		settings.TLS = f.tlsFiles(settings)
	}
	log := node.WithLog(f.log.With().Str("process", string(settings.Name)).Logger())
	n := node.New(settings, append([]node.Option{log}, f.nodeOptions...)...)
	if err := n.Start(); err != nil {
		return err
	}
	f.nodes[settings.Name] = n
	return nil
}

// awaitReady waits until every process serves requests and sees every span as open.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return ErrStart.New("the fleet did not become ready in time; see the log of its processes")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, n := range f.nodes {
		s := n.Status()
		if !s.Serving || !s.Recording || len(s.Owners) == 0 {
			return false
		}
		for _, o := range s.Owners {
			if !o.Open {
				return false
			}
		}
	}
	return true
}

// Stop kills the entry processes, then the backend servers, and stops the platform.
func (f *Fleet) Stop() {
	var group conc.WaitGroup
	for _, name := range f.Names() {
		// If Start failed part-way, the later processes were never started.
		if n := f.nodes[name]; n != nil {
			group.Go(n.Kill)
		}
	}
	group.Wait()
	for _, b := range f.backends {
		group.Go(b.Kill)
	}
	group.Wait()
	f.platform.Stop()
}

// Platform returns the stand-in platform.
func (f *Fleet) Platform() *stand.Platform {
	return f.platform
}

// Backend returns the stand-in backend server with this ID, or nil if there is none.
func (f *Fleet) Backend(id assign.ServerID) *stand.Backend {
	return f.backends[id]
}

// Node returns the entry process with this name, or nil if there is none.
func (f *Fleet) Node(name assign.ProcessID) *node.Node {
	return f.nodes[name]
}

// Names returns the names of the running entry processes, in the order of the deployment file.
func (f *Fleet) Names() []assign.ProcessID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []assign.ProcessID
	for _, p := range f.plan.Processes {
		if !f.stopped[p.Name] {
			names = append(names, p.Name)
		}
	}
	return names
}

// Plan returns the plan that the fleet runs.
func (f *Fleet) Plan() Plan {
	return f.plan
}

// Kill ends an entry process immediately, without a graceful stop.
func (f *Fleet) Kill(name assign.ProcessID) {
	f.mu.Lock()
	f.stopped[name] = true
	f.mu.Unlock()
	f.nodes[name].Kill()
}

// Shutdown stops an entry process gracefully.
func (f *Fleet) Shutdown(ctx context.Context, name assign.ProcessID) {
	n := f.nodes[name]
	n.Stop(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped[name] = true
}

// Restart starts an entry process again after Kill or Shutdown. It must not run concurrently with any
// other method of the fleet.
func (f *Fleet) Restart(name assign.ProcessID) error {
	for _, settings := range f.plan.Processes {
		if settings.Name != name {
			continue
		}
		if err := f.startNode(settings); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.stopped, name)
	return nil
}

// Decider returns the name of the process that is currently the decider, or "" if there is none.
func (f *Fleet) Decider() assign.ProcessID {
	for _, name := range f.Names() {
		if f.nodes[name].Status().Leading {
			return name
		}
	}
	return ""
}

// History returns the recorded runs of all backend servers, ordered by server.
func (f *Fleet) History() []stand.Run {
	var runs []stand.Run
	for _, id := range slices.Sorted(maps.Keys(f.backends)) {
		runs = append(runs, f.backends[id].History()...)
	}
	return runs
}

// Servers returns the IDs of all stand-in backend servers, sorted.
func (f *Fleet) Servers() []assign.ServerID {
	return slices.Sorted(maps.Keys(f.backends))
}

// Owners returns the IDs of the servers that own keys, sorted, from the status of the first running process.
func (f *Fleet) Owners() []assign.ServerID {
	seen := make(map[assign.ServerID]bool)
	for _, o := range f.nodes[f.Names()[0]].Status().Owners {
		seen[o.Server] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Spans returns the set of spans that a server owns, from the status of the first running process.
func (f *Fleet) Spans(id assign.ServerID) map[SpanName]bool {
	spans := make(map[SpanName]bool)
	for _, o := range f.nodes[f.Names()[0]].Status().Owners {
		if o.Server == id {
			spans[SpanName{o.Service, o.From}] = true
		}
	}
	return spans
}

// SpanName identifies a span by its service and its first hash.
type SpanName struct {
	Service assign.ServiceID
	From    uint64
}

// DropServed removes from spans those that every process sees as open at a server other than id.
func (f *Fleet) DropServed(spans map[SpanName]bool, id assign.ServerID) {
	names := f.Names()
	seen := make(map[SpanName]int)
	for _, name := range names {
		for _, o := range f.nodes[name].Status().Owners {
			if o.Server != id && o.Open {
				seen[SpanName{o.Service, o.From}]++
			}
		}
	}
	for span := range spans {
		if seen[span] == len(names) {
			delete(spans, span)
		}
	}
}

// Drained reports whether no process routes keys to the server any more and every span is open.
func (f *Fleet) Drained(id assign.ServerID) bool {
	for _, name := range f.Names() {
		for _, o := range f.nodes[name].Status().Owners {
			if o.Server == id || !o.Open {
				return false
			}
		}
	}
	return true
}
