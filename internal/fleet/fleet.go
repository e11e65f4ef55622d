// Package fleet runs a whole user in one process on loopback: the stand-in platform, the stand-in
// backend servers and the entry processes. The demo, tests and experiments use it.
//
// A Fleet is described by the files of a deployment, see conf.Deployment. Every loopback address in
// them is replaced by a free one, so that several fleets can run at the same time.
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

// Errors of this package.
var (
	namespace = errorx.NewNamespace("fleet")
	// ErrPlan is the type of errors of deployment files that can't be used.
	ErrPlan = namespace.NewType("plan")
	// ErrStart is the type of errors of a fleet that does not get ready.
	ErrStart = namespace.NewType("start")
)

// pollInterval is the time between two looks at the state of the fleet.
const pollInterval = 10 * time.Millisecond

// Fleet is a whole user in one process.
type Fleet struct {
	plan     Plan
	log      zerolog.Logger
	options  []node.Option
	tls      func(conf.Process) conf.TLS
	platform *stand.Platform
	backends map[assign.ServerID]*stand.Backend
	nodes    map[assign.ProcessID]*node.Node

	mu     sync.Mutex
	killed map[assign.ProcessID]bool
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithLog sets the logger of the entry processes.
func WithLog(log zerolog.Logger) Option {
	return func(f *Fleet) { f.log = log }
}

// WithNode adds options to every entry process.
func WithNode(options ...node.Option) Option {
	return func(f *Fleet) { f.options = append(f.options, options...) }
}

// WithTLS sets the certificate files of each entry process.
func WithTLS(files func(conf.Process) conf.TLS) Option {
	return func(f *Fleet) { f.tls = files }
}

// Without leaves an entry process out, as if its VM were gone.
func Without(name assign.ProcessID) Option {
	return func(f *Fleet) { f.killed[name] = true }
}

// New returns a Fleet that does not run yet.
func New(plan Plan, options ...Option) *Fleet {
	f := &Fleet{
		plan:     plan,
		log:      zerolog.Nop(),
		backends: make(map[assign.ServerID]*stand.Backend),
		nodes:    make(map[assign.ProcessID]*node.Node),
		killed:   make(map[assign.ProcessID]bool),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start starts the stand-ins and the entry processes, and waits until every process serves and
// every key has an owner. It returns ErrStart where the context ends before that.
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
	if err := f.seed(ctx); err != nil {
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
		if f.killed[settings.Name] {
			continue
		}
		if err := f.startNode(settings); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// seed stores the configuration of the teams.
func (f *Fleet) seed(ctx context.Context) error {
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
	if f.tls != nil {
		settings.TLS = f.tls(settings)
	}
	log := node.WithLog(f.log.With().Str("process", string(settings.Name)).Logger())
	n := node.New(settings, append([]node.Option{log}, f.options...)...)
	if err := n.Start(); err != nil {
		return err
	}
	f.nodes[settings.Name] = n
	return nil
}

// awaitReady waits until every process serves and agrees that every span is open.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return ErrStart.New("the fleet did not get ready in time; look at the log of its processes")
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

// Stop ends the entry processes, then the stand-ins.
func (f *Fleet) Stop() {
	var group conc.WaitGroup
	for _, name := range f.Names() {
		// A start that failed half-way leaves out the later processes.
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

// Backend returns a stand-in backend server, nil where there is none of that name.
func (f *Fleet) Backend(id assign.ServerID) *stand.Backend {
	return f.backends[id]
}

// Node returns an entry process, nil where there is none of that name.
func (f *Fleet) Node(name assign.ProcessID) *node.Node {
	return f.nodes[name]
}

// Names returns the entry processes that were not killed, in order.
func (f *Fleet) Names() []assign.ProcessID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []assign.ProcessID
	for _, p := range f.plan.Processes {
		if !f.killed[p.Name] {
			names = append(names, p.Name)
		}
	}
	return names
}

// Plan returns the plan that the fleet runs.
func (f *Fleet) Plan() Plan {
	return f.plan
}

// Kill ends an entry process at once.
func (f *Fleet) Kill(name assign.ProcessID) {
	f.mu.Lock()
	f.killed[name] = true
	f.mu.Unlock()
	f.nodes[name].Kill()
}

// Retire stops an entry process gracefully.
func (f *Fleet) Retire(ctx context.Context, name assign.ProcessID) {
	n := f.nodes[name]
	n.Stop(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed[name] = true
}

// Restart starts an entry process again that was killed or retired. No other call may use the fleet
// meanwhile.
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
	delete(f.killed, name)
	return nil
}

// Decider returns the process that is the decider, or "".
func (f *Fleet) Decider() assign.ProcessID {
	for _, name := range f.Names() {
		if f.nodes[name].Status().Leading {
			return name
		}
	}
	return ""
}

// History returns the runs of every backend server.
func (f *Fleet) History() []stand.Run {
	var runs []stand.Run
	for _, id := range slices.Sorted(maps.Keys(f.backends)) {
		runs = append(runs, f.backends[id].History()...)
	}
	return runs
}

// Servers returns every stand-in backend server, in order.
func (f *Fleet) Servers() []assign.ServerID {
	return slices.Sorted(maps.Keys(f.backends))
}

// Owners returns the servers that own keys, in order, as one of the processes sees it.
func (f *Fleet) Owners() []assign.ServerID {
	seen := make(map[assign.ServerID]bool)
	for _, o := range f.nodes[f.Names()[0]].Status().Owners {
		seen[o.Server] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Spans returns the first hashes of the spans of a server by service, as one of the processes sees
// them.
func (f *Fleet) Spans(id assign.ServerID) map[SpanName]bool {
	spans := make(map[SpanName]bool)
	for _, o := range f.nodes[f.Names()[0]].Status().Owners {
		if o.Server == id {
			spans[SpanName{o.Service, o.From}] = true
		}
	}
	return spans
}

// SpanName names a span by its service and first hash.
type SpanName struct {
	Service assign.ServiceID
	From    uint64
}

// DropServed removes the spans that every process sees open at a server other than id.
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

// Moved reports whether no process sends keys to the server any more and every key is open.
func (f *Fleet) Moved(id assign.ServerID) bool {
	for _, name := range f.Names() {
		for _, o := range f.nodes[name].Status().Owners {
			if o.Server == id || !o.Open {
				return false
			}
		}
	}
	return true
}
