package scene

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// deployment is the set of processes that serve one user. Only the goroutine that runs the scenario uses it.
type deployment struct {
	programs Programs
	folder   string
	settings *settings
	// relays is nil if the scenario cuts no links.
	relays   *relays
	store    *store.Client
	platform *process
	entries  map[assign.ProcessID]*entryProcess
	servers  map[assign.ServerID]*serverProcess
	// leaving lists the servers that are marked as leaving in the platform's list of VMs.
	leaving []assign.ServerID
}

// entryProcess is one entry process.
type entryProcess struct {
	*process
	settings conf.Process
	// link is a direct connection to the process, not through a relay; it is used to query its state.
	link *peer.Link
	// stalled is the number of pauses and cuts that are active.
	stalled atomic.Int32
}

// serverProcess is one backend server.
type serverProcess struct {
	*process
	server  assign.Server
	service *conf.Service
	// killed lists the times at which the server was killed.
	killed []time.Time
}

// newDeployment writes the settings and starts every process. If it fails, the result contains the processes
// started so far, so that the caller can end them.
func newDeployment(ctx context.Context, start Start, cuts bool, o Options) (*deployment, error) {
	d := &deployment{
		programs: o.Programs,
		folder:   o.Folder,
		entries:  make(map[assign.ProcessID]*entryProcess),
		servers:  make(map[assign.ServerID]*serverProcess),
	}
	if cuts {
		d.relays = newRelays()
	}
	var err error
	if d.settings, err = writeSettings(start, d.folder, d.relays); err != nil {
		return d, err
	}
	if err := d.startPlatform(ctx); err != nil {
		return d, err
	}
	for _, service := range d.settings.services() {
		for _, server := range service.Servers {
			d.servers[server.ID] = &serverProcess{server: server, service: service}
			if err := d.startServer(server.ID); err != nil {
				return d, err
			}
		}
	}
	for _, s := range d.servers {
		if err := d.awaitListening(ctx, s.process, s.server.Address); err != nil {
			return d, err
		}
	}
	for _, p := range d.settings.processes {
		d.entries[p.Name] = &entryProcess{settings: p, link: peer.NewLink(p.PeerAddress)}
		if err := d.startEntry(p.Name); err != nil {
			return d, err
		}
	}
	return d, nil
}

// startPlatform starts the platform stand-in and stores the configuration of the teams.
func (d *deployment) startPlatform(ctx context.Context) error {
	p, err := startProcess(d.folder, "platform", d.programs.StandIn, "platform",
		"--address", d.settings.platform.String(), "--writes", "300", "--reads", "2000")
	if err != nil {
		return err
	}
	d.platform = p
	if err := d.awaitListening(ctx, p, d.settings.platform); err != nil {
		return err
	}
	d.store = store.NewClient(d.settings.platform, store.Options{})
	for _, name := range slices.Sorted(maps.Keys(d.settings.texts)) {
		if _, err := d.store.Put(ctx, "config/"+name, []byte(d.settings.texts[name]), 0); err != nil {
			return ErrRun.Wrap(err, "look at platform.log in %s", d.folder)
		}
	}
	return nil
}

func (d *deployment) startServer(id assign.ServerID) error {
	s := d.servers[id]
	p, err := startProcess(d.folder, string(id), d.programs.StandIn, "backend",
		"--name", string(id),
		"--service", string(s.service.ID),
		"--address", s.server.Address.String(),
		"--fencing", s.service.Fencing.String(),
		"--slots", fmt.Sprint(s.service.Slots),
		"--connections", fmt.Sprint(s.service.Connections),
		"--history", d.historyFile(id))
	if err != nil {
		return err
	}
	s.process = p
	return nil
}

func (d *deployment) historyFile(id assign.ServerID) string {
	return filepath.Join(d.folder, string(id)+".history")
}

func (d *deployment) startEntry(name assign.ProcessID) error {
	p, err := startProcess(d.folder, string(name), d.programs.Samphiredrum, "serve", d.settings.files[name])
	if err == nil {
		d.entries[name].process = p
	}
	return err
}

// awaitListening waits until a process accepts connections.
func (d *deployment) awaitListening(ctx context.Context, p *process, address netip.AddrPort) error {
	return await(ctx, func() (bool, error) {
		if !p.alive() {
			return false, ErrRun.New("%s ended during its start; look at %s.log in %s", p.name, p.name, d.folder)
		}
		return accepts(address), nil
	})
}

func accepts(address netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp", address.String(), queryTimeout)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// close ends every process that was started, and the relays.
func (d *deployment) close() {
	for _, e := range d.entries {
		if e.process != nil {
			e.kill()
		}
		e.link.Close()
	}
	for _, s := range d.servers {
		if s.process != nil {
			s.kill()
		}
	}
	if d.store != nil {
		d.store.Close()
	}
	if d.platform != nil {
		d.platform.kill()
	}
	if d.relays != nil {
		d.relays.close()
	}
}

// killEntry kills an entry process.
func (d *deployment) killEntry(name assign.ProcessID) {
	d.entries[name].kill()
}

// killServer kills a backend server and records the time.
func (d *deployment) killServer(id assign.ServerID) {
	s := d.servers[id]
	s.killed = append(s.killed, s.kill())
}

// postFault posts a fault or a list of VMs to a stand-in.
func (d *deployment) postFault(address netip.AddrPort, path, body string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address.String() + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(body)
	// A stand-in ignores a fault in a request with "Connection: close", so the client closes its idle
	// connections afterwards instead.
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(request, response, waitTimeout); err != nil {
		return ErrRun.Wrap(err, "the stand-in at %s did not accept the fault; look at the logs in %s", address, d.folder)
	}
	return nil
}

// markLeaving marks a server as leaving in the platform's list of VMs.
func (d *deployment) markLeaving(id assign.ServerID) error {
	d.leaving = append(d.leaving, id)
	entries := make([]string, len(d.leaving))
	for i, id := range d.leaving {
		s := d.servers[id]
		entries[i] = fmt.Sprintf(`{"name":%q,"address":%q,"role":"backend","service":%q,"failure-domain":%q,"state":"leaving"}`,
			id, s.server.Address, s.service.ID, s.server.FailureDomain)
	}
	return d.postFault(d.settings.platform, "/stand/vms", `{"vms":[`+strings.Join(entries, ",")+`]}`)
}

// running returns the entry processes that have not ended, in the order of the settings.
func (d *deployment) running() []*entryProcess {
	var list []*entryProcess
	for _, name := range d.settings.names() {
		if e := d.entries[name]; e.alive() {
			list = append(list, e)
		}
	}
	return list
}

// reachable returns the running entry processes that are neither paused nor cut off.
func (d *deployment) reachable() []*entryProcess {
	return slices.DeleteFunc(d.running(), func(e *entryProcess) bool { return e.stalled.Load() > 0 })
}

// await polls until the condition holds, and fails after waitTimeout.
func await(ctx context.Context, holds func() (bool, error)) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		ok, err := holds()
		if ok || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return ErrRun.New("the condition did not hold within %s", waitTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sleep waits for the duration, and returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ErrRun.New("the scenario took too long; keep it smaller, or give the test more time")
	}
}
