package scene

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// step runs one statement. An error ends the scenario.
func (r *runner) step(ctx context.Context, s Statement) error {
	switch s := s.(type) {
	case Start:
		return r.start(ctx, s)
	case Callers:
		return r.callers.start(s, r.deployment.settings.services())
	case Kill:
		return r.kill(ctx, s)
	case Restart:
		return r.restart(ctx, s)
	case Freeze:
		return r.freeze(ctx, s)
	case Fault:
		return r.fault(ctx, s)
	case Pause:
		return r.pause(ctx, s)
	case Cut:
		return r.cut(ctx, s)
	case StoreDown:
		return r.storeDown(ctx, s)
	case StoreSlow:
		return r.store(s, fmt.Sprintf(`{"slow-ms":%d}`, s.Delay.Milliseconds()))
	case StoreLoseAnswers:
		return r.store(s, fmt.Sprintf(`{"lose-answers":%t}`, s.On))
	case StoreStallWatches:
		return r.store(s, fmt.Sprintf(`{"stall-watches":%t}`, s.On))
	case Drain:
		return r.drain(ctx, s)
	case Stop:
		return r.stopEntry(ctx, s)
	case ConfigSet:
		return r.configure(s, s.Team, s.Key, s.Value)
	case ConfigRace:
		return r.configure(s, s.Team, s.Key, s.Values[0], s.Values[1])
	case WaitServed:
		return r.waitServed(ctx, s)
	case Settle:
		return sleep(ctx, s.Length)
	case ExpectInForce:
		return r.expectInForce(ctx, s)
	case ExpectConfig:
		r.expectConfig(s)
	case ExpectRunning:
		return r.expectRunning(ctx, s)
	case ExpectPromise:
		r.addCheck(s, func(a auditRecord) []audit.Fault { return faultsOf(a.faults, s.Name) })
	case ExpectNoCut:
		r.addCheck(s, func(a auditRecord) []audit.Fault { return audit.Cuts(a.attempts, r.killed) })
	case ExpectNoRun:
		return r.expectNoRun(ctx, s)
	}
	return nil
}

func (r *runner) start(ctx context.Context, s Start) error {
	cuts := false
	for _, other := range r.scenario.Statements {
		if _, ok := other.(Cut); ok {
			cuts = true
		}
	}
	var err error
	if r.deployment, err = newDeployment(ctx, s, cuts, r.options); err != nil {
		return err
	}
	err = await(ctx, func() (bool, error) { return r.deployment.allReady(ctx), nil })
	if err != nil {
		return ErrRun.New("the deployment did not become ready; look at the logs in %s", r.options.Folder)
	}
	for _, e := range r.deployment.running() {
		r.balancer.add(e.settings.Name, e.settings.CallerAddress)
	}
	r.lastFault = time.Now()
	r.print(s.at(), "event=started user=%s entry-processes=%d servers=%d seed=%d",
		s.User, s.Entries, len(r.deployment.servers), r.options.Seed)
	return nil
}

// entry returns the entry process that a target selects.
func (r *runner) entry(ctx context.Context, t Target) (*entryProcess, error) {
	if t.Name != "" {
		e := r.deployment.entries[assign.ProcessID(t.Name)]
		if e == nil {
			return nil, ErrRun.New("there is no entry process %q; their names are entry-1, entry-2 and so on", t.Name)
		}
		return e, nil
	}
	decider, err := r.deployment.awaitDecider(ctx)
	if err != nil || t.Decider {
		return decider, err
	}
	for _, e := range r.deployment.reachable() {
		if e != decider {
			return e, nil
		}
	}
	return nil, ErrRun.New("only the decider is reachable; start more entry processes")
}

// server returns the backend server that a target selects.
func (r *runner) server(ctx context.Context, t Target) (assign.ServerID, error) {
	if t.OwnerOf != "" {
		return r.deployment.ownerOf(ctx, t.OwnerOf)
	}
	id := assign.ServerID(t.Name)
	if r.deployment.servers[id] == nil {
		return "", ErrRun.New("there is no server %q; their names are like ledger-1", t.Name)
	}
	return id, nil
}

func (r *runner) kill(ctx context.Context, s Kill) error {
	if s.Target.Kind == EntryProcess {
		e, err := r.entry(ctx, s.Target)
		if err != nil {
			return err
		}
		r.killed[e.settings.Name] = true
		r.balancer.remove(e.settings.Name)
		r.lastFault = time.Now()
		r.deployment.killEntry(e.settings.Name)
		r.print(s.at(), "event=killed entry-process=%s pid=%d", e.settings.Name, e.cmd.Process.Pid)
		return nil
	}
	id, err := r.server(ctx, s.Target)
	if err != nil {
		return err
	}
	r.lastFault = time.Now()
	r.deployment.killServer(id)
	r.print(s.at(), "event=killed server=%s pid=%d", id, r.deployment.servers[id].cmd.Process.Pid)
	return nil
}

func (r *runner) restart(ctx context.Context, s Restart) error {
	if s.Target.Kind == BackendServer {
		id, err := r.server(ctx, s.Target)
		if err != nil {
			return err
		}
		if r.deployment.servers[id].alive() {
			return ErrRun.New("%s is running; kill it before a restart", id)
		}
		r.print(s.at(), "event=restarted server=%s", id)
		if err := r.deployment.startServer(id); err != nil {
			return err
		}
		restarted := r.deployment.servers[id]
		return r.deployment.awaitListening(ctx, restarted.process, restarted.server.Address)
	}
	e, err := r.entry(ctx, s.Target)
	if err != nil {
		return err
	}
	if e.alive() {
		return ErrRun.New("%s is running; kill it before a restart", e.settings.Name)
	}
	if err := r.deployment.startEntry(e.settings.Name); err != nil {
		return err
	}
	if err := await(ctx, func() (bool, error) { return e.ready(), nil }); err != nil {
		return ErrRun.New("%s did not become ready again; look at its log in %s", e.settings.Name, r.options.Folder)
	}
	r.print(s.at(), "event=restarted entry-process=%s", e.settings.Name)
	r.balancer.add(e.settings.Name, e.settings.CallerAddress)
	return nil
}

// timedFault undoes a fault after its time, or when the context ends.
type timedFault struct {
	ctx    context.Context
	length time.Duration
	undo   func()
}

func (t *timedFault) run() {
	// The error is ignored: the fault is undone even if the scenario ends first.
	_ = sleep(t.ctx, t.length)
	t.undo()
}

func (r *runner) undoAfter(ctx context.Context, length time.Duration, undo func()) {
	r.lastFault = time.Now()
	r.timedFaults.Go((&timedFault{ctx: ctx, length: length, undo: undo}).run)
}

func (r *runner) freeze(ctx context.Context, s Freeze) error {
	id, err := r.server(ctx, s.Target)
	if err != nil {
		return err
	}
	r.print(s.at(), "event=frozen server=%s for=%s", id, s.Length)
	r.undoAfter(ctx, s.Length, func() {})
	address := r.deployment.servers[id].server.Address
	body := fmt.Sprintf(`{"freeze-ms":%d}`, s.Length.Milliseconds())
	if err := r.deployment.postFault(address, "/stand/fault", body); err != nil {
		return err
	}
	if answers(address) {
		return ErrRun.New("%s still answers although it was frozen; look at its log in %s", id, r.options.Folder)
	}
	return nil
}

func (r *runner) fault(ctx context.Context, s Fault) error {
	id, err := r.server(ctx, s.Target)
	if err != nil {
		return err
	}
	r.print(s.at(), "event=fault server=%s fault=%s on=%t", id, s.Name, s.On)
	body := fmt.Sprintf(`{%q:%t}`, s.Name, s.On)
	return r.deployment.postFault(r.deployment.servers[id].server.Address, "/stand/fault", body)
}

func (r *runner) pause(ctx context.Context, s Pause) error {
	e, err := r.entry(ctx, s.Target)
	if err != nil {
		return err
	}
	r.print(s.at(), "event=paused entry-process=%s for=%s", e.settings.Name, s.Length)
	e.stalled.Add(1)
	p := e.process
	p.signal(syscall.SIGSTOP)
	r.undoAfter(ctx, s.Length, func() {
		p.signal(syscall.SIGCONT)
		e.stalled.Add(-1)
	})
	return nil
}

func (r *runner) cut(ctx context.Context, s Cut) error {
	e, err := r.entry(ctx, s.Target)
	if err != nil {
		return err
	}
	name := e.settings.Name
	r.print(s.at(), "event=cut entry-process=%s in=%t out=%t for=%s", name, s.In, s.Out, s.Length)
	e.stalled.Add(1)
	r.deployment.relays.block(name, s.In, s.Out)
	r.undoAfter(ctx, s.Length, func() {
		r.deployment.relays.block(name, false, false)
		e.stalled.Add(-1)
	})
	return nil
}

func (r *runner) store(s Statement, body string) error {
	r.print(s.at(), "event=store-fault fault=%s", body)
	return r.deployment.postFault(r.deployment.settings.platform, "/stand/fault", body)
}

func (r *runner) storeDown(ctx context.Context, s StoreDown) error {
	if err := r.store(s, `{"down":true}`); err != nil {
		return err
	}
	r.timedFaults.Go((&timedFault{ctx: ctx, length: s.Length, undo: func() {
		// An error means that the platform has already ended with the scenario.
		_ = r.deployment.postFault(r.deployment.settings.platform, "/stand/fault", `{"down":false}`)
	}}).run)
	return nil
}

func (r *runner) drain(ctx context.Context, s Drain) error {
	id, err := r.server(ctx, s.Target)
	if err != nil {
		return err
	}
	r.drained[string(id)] = time.Now()
	r.lastFault = time.Now()
	r.print(s.at(), "event=leaving server=%s by-operator=%t", id, s.ByOperator)
	if !s.ByOperator {
		return r.deployment.markLeaving(id)
	}
	e, err := r.entry(ctx, Target{Kind: EntryProcess, Follower: true})
	if err != nil {
		return err
	}
	return admin.NewClient(e.settings.AdminAddress).DrainServer(string(id), false)
}

// stopEntry begins a planned stop and waits until the process has ended. The balancer sends it no new calls, like a
// load balancer that sees it as not ready.
func (r *runner) stopEntry(ctx context.Context, s Stop) error {
	e, err := r.entry(ctx, s.Target)
	if err != nil {
		return err
	}
	r.balancer.remove(e.settings.Name)
	r.lastFault = time.Now()
	e.signal(syscall.SIGTERM)
	if err := await(ctx, func() (bool, error) { return !e.alive(), nil }); err != nil {
		return ErrRun.New("%s did not end after SIGTERM; look at its log in %s", e.settings.Name, r.options.Folder)
	}
	r.print(s.at(), "event=stopped entry-process=%s took=%s", e.settings.Name, since(r.lastFault))
	return nil
}

// configure changes a setting as one operator per value, through different processes if several are reachable. All
// operators read the configuration before any of them writes.
func (r *runner) configure(s Statement, team, key string, values ...string) error {
	through := r.deployment.reachable()
	if len(through) == 0 {
		return ErrRun.New("no entry process can be reached; end pauses and cuts before a change of the configuration")
	}
	var operators []*operator
	var group conc.WaitGroup
	for i, value := range values {
		o := newOperator(through[i%len(through)].settings.AdminAddress, team, key, value)
		o.read()
		operators = append(operators, o)
	}
	for _, o := range operators {
		group.Go(o.run)
	}
	group.Wait()
	last := operators[0]
	for _, o := range operators {
		r.print(s.at(), "event=configuration team=%s key=%s value=%s verdict=%s detail=%q", team, key, o.value, o.verdict, o.detail)
		if o.verdict == accepted {
			last = o
		}
	}
	r.changes[team] = last
	if len(operators) > 1 {
		r.checkRace(s, operators[0], operators[1])
	}
	return nil
}

// checkRace checks that exactly one change was accepted, and that the other operator's error names the accepted
// version.
func (r *runner) checkRace(s Statement, a, b *operator) {
	if a.verdict == lost {
		a, b = b, a
	}
	if a.verdict != accepted || b.verdict != lost || !strings.Contains(b.detail, fmt.Sprintf("version %d", a.version)) {
		r.fail(s, "two operators ended as %s (%s) and %s (%s); want one accepted and one told the version it lost against",
			a.verdict, a.detail, b.verdict, b.detail)
	}
}

// waitServed repeats a lookup of the key through each reachable process until it runs.
func (r *runner) waitServed(ctx context.Context, s WaitServed) error {
	service := r.deployment.settings.exclusive()
	if service == nil {
		return ErrRun.New("no service of the scenario has owners; start ledger or charge-log servers")
	}
	m := &simCaller{pool: r.callers, name: "probe"}
	for _, e := range r.deployment.reachable() {
		err := await(ctx, func() (bool, error) {
			if e.stalled.Load() > 0 || !e.alive() {
				return true, nil
			}
			r.probes++
			id := fmt.Sprintf("probe-l%d", r.probes)
			answer := m.call(endpoint{e.settings.Name, e.settings.CallerAddress}, request{
				callType: callType{service, shortLookup(service)}, key: s.Key, id: id, idPrefix: id + "~",
			})
			return answer.Outcome == caller.Ran, nil
		})
		if err != nil {
			return ErrRun.New("%s is not served through %s %s after the last fault; look at the logs in %s",
				s.Key, e.settings.Name, since(r.lastFault), r.options.Folder)
		}
	}
	measured := since(r.lastFault)
	r.print(s.at(), "event=served key=%s measured=%s target=%s met=%t", s.Key, measured, s.Target, measured <= s.Target)
	return nil
}
