package soak_test

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
)

// versions bounds the changes of the configuration in one run.
const versions = 8

// plan injects faults for a time. Faults overlap.
type plan struct {
	world  *world
	random *rand.Rand
	until  time.Time
	notes  []string
	group  conc.WaitGroup
}

func (p *plan) note(text string) { p.notes = append(p.notes, text) }

func (p *plan) run() {
	for time.Now().Before(p.until) {
		p.inject(p.random.IntN(14))
		time.Sleep(p.between(150, 900))
	}
	p.group.Wait()
}

func (p *plan) between(least, most int) time.Duration {
	return time.Duration(least+p.random.IntN(most-least)) * time.Millisecond
}

func (p *plan) entry() *entry { return p.world.entries[p.random.IntN(len(p.world.entries))] }

// later does something after a time, beside further faults.
func (p *plan) later(d time.Duration, do func()) {
	p.group.Go(task{d, do}.run)
}

// task is something to do after a time.
type task struct {
	after time.Duration
	do    func()
}

func (t task) run() {
	time.Sleep(t.after)
	t.do()
}

// inject injects one fault.
func (p *plan) inject(kind int) {
	switch kind {
	case 0:
		e := p.entry()
		p.note("kill " + e.name)
		e.signal(syscall.SIGKILL)
	case 1:
		e := p.entry()
		p.note("stop " + e.name)
		e.signal(syscall.SIGTERM)
	case 2, 3:
		e := p.entry()
		p.note("pause " + e.name)
		e.signal(syscall.SIGSTOP)
		p.later(p.between(200, 3500), func() { e.signal(syscall.SIGCONT) })
	case 4, 5:
		e, m := p.entry(), []mode{delay, reset, silent, oneWay}[p.random.IntN(4)]
		p.note("store proxy of " + e.name)
		e.store.set(m)
		p.later(p.between(500, 3500), func() { e.store.set(pass) })
	case 6, 7:
		p.store()
	case 8, 9, 10:
		p.server()
	case 11:
		p.configure()
	case 12:
		if p.random.IntN(4) == 0 {
			p.note("kill all")
			for _, e := range p.world.entries {
				e.signal(syscall.SIGKILL)
			}
		}
	case 13:
		e := p.entry()
		p.note("reload " + e.name)
		e.signal(syscall.SIGHUP)
	}
}

// store lets the store misbehave.
func (p *plan) store() {
	faults := []site.StoreFault{{Down: true}, {Slow: 300 * time.Millisecond}, {LoseWrites: true}}
	f := faults[p.random.IntN(len(faults))]
	p.note("store")
	p.world.store.SetFault(f)
	p.later(p.between(500, 4000), func() { p.world.store.SetFault(site.StoreFault{}) })
}

// server harms a server, or lets one of the partitioned service leave.
func (p *plan) server() {
	kind, live, booking := p.random.IntN(5), p.world.live(), p.world.booking()
	m := live[p.random.IntN(len(live))]
	if kind < 2 && p.random.IntN(2) == 0 {
		m = booking[p.random.IntN(len(booking))]
	}
	switch {
	case kind == 0:
		p.note("server proxy of " + m.ID())
		m.proxy.set([]mode{delay, reset, silent, oneWay}[p.random.IntN(4)])
		p.later(p.between(300, 2500), func() { m.proxy.set(pass) })
	case kind == 1:
		p.note("lost answers of " + m.ID())
		p.world.mu.Lock()
		m.harmed = true
		p.world.mu.Unlock()
		m.LoseAnswers(30)
		p.later(p.between(500, 2500), func() { m.LoseAnswers(0) })
	case len(live) < 3:
		p.add("")
	case kind == 2:
		p.note("crash of " + m.ID())
		p.world.crash(m)
		p.later(2*time.Second, func() { p.world.store.Remove("servers", m.ID()) })
		p.add("")
	case kind == 3:
		p.note("new start of " + m.ID())
		p.world.crash(m)
		p.add(m.ID())
	default:
		p.note("leave of " + m.ID())
		p.world.store.Put("servers", m.ID(), m.Entry(m.proxy.address(), "draining"))
		p.later(6*time.Second, func() {
			p.world.store.Remove("servers", m.ID())
			p.world.crash(m)
		})
		p.add("")
	}
}

func (p *plan) add(id string) {
	if err := p.world.addServer(ledger, id); err != nil {
		p.world.fail("a server cannot be started: %v", err)
	}
}

func (p *plan) configure() {
	p.world.mu.Lock()
	version := p.world.version
	p.world.mu.Unlock()
	if version >= versions {
		return
	}
	p.note("configuration")
	if err := p.world.configure(); err != nil {
		p.world.fail("a configuration cannot be written: %v", err)
	}
}

// heal ends every fault that is still in force.
func (p *plan) heal() {
	p.world.store.SetFault(site.StoreFault{})
	for _, e := range p.world.entries {
		e.store.set(pass)
		e.signal(syscall.SIGCONT)
	}
	for _, m := range p.world.all() {
		m.proxy.set(pass)
		m.LoseAnswers(0)
	}
}
