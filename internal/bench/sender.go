package bench

import (
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// kind is one kind of call under load.
type kind struct {
	operation conf.Operation
	// run is how long a server works, 0 for its default.
	run time.Duration
	// timeout is how long the caller waits.
	timeout time.Duration
}

func (k kind) call(service *conf.Service, sh shot) caller.Call {
	return caller.Call{
		Method:    k.operation.Method,
		Path:      caller.Path(service, k.operation, sh.key),
		RequestID: "n" + strconv.Itoa(sh.number),
		Timeout:   k.timeout,
		Run:       k.run,
	}
}

// entries sends calls through the entry processes of a fleet in turn.
type entries struct {
	client    *caller.Client
	service   *conf.Service
	kinds     []kind
	addresses []netip.AddrPort
	turn      atomic.Uint64
}

func newEntries(f *fleet.Fleet, service *conf.Service, kinds []kind) *entries {
	e := &entries{client: caller.New(caller.Options{Connections: maxInFlight}), service: service, kinds: kinds}
	for _, name := range f.Names() {
		e.addresses = append(e.addresses, f.Node(name).CallerAddress())
	}
	return e
}

func (e *entries) send(sh shot) answer {
	address := e.addresses[e.turn.Add(1)%uint64(len(e.addresses))]
	a, err := e.client.Do(address, e.kinds[sh.kind].call(e.service, sh))
	if err != nil {
		return answer{refused: a.Outcome == caller.NotRun, reason: err.Error()}
	}
	return answer{ran: a.Outcome == caller.Ran && a.Status < 300, refused: a.Outcome == caller.NotRun, reason: fault(a.Reason)}
}

func (e *entries) close() {
	e.client.Close()
}

// fault returns the part of a refusal's text that names the fault. The rest is a remedy with times
// that differ from call to call.
func fault(reason string) string {
	name, _, _ := strings.Cut(reason, ";")
	return name
}

// direct sends calls straight to the servers: the baseline without limits.
type direct struct {
	client  *caller.Client
	service *conf.Service
	kinds   []kind
	choose  chooser
	// retries is how often a failed call is repeated at once.
	retries int
	// attempts counts what was sent.
	attempts atomic.Int64
}

// directConnections is the number of connections to one server that a plain client opens at most.
const directConnections = 512

func newDirect(service *conf.Service, kinds []kind, choose chooser, retries int) *direct {
	return &direct{
		client:  caller.New(caller.Options{Connections: directConnections}),
		service: service,
		kinds:   kinds,
		choose:  choose,
		retries: retries,
	}
}

func (d *direct) send(sh shot) answer {
	var last answer
	for range d.retries + 1 {
		last = d.attempt(sh)
		if last.ran {
			return last
		}
	}
	return last
}

func (d *direct) close() {
	d.client.Close()
}

func (d *direct) attempt(sh shot) answer {
	server := d.choose.pick()
	d.attempts.Add(1)
	a, err := d.client.Do(server.Address, d.kinds[sh.kind].call(d.service, sh))
	if err != nil {
		return answer{reason: err.Error()}
	}
	return answer{ran: a.Status < 300, refused: a.Status == 503, reason: strconv.Itoa(a.Status)}
}

// chooser chooses the server of a call. It is safe for concurrent use.
type chooser interface {
	pick() assign.Server
}

// rotation takes the servers in turn.
type rotation struct {
	servers []assign.Server
	turn    atomic.Uint64
}

func (r *rotation) pick() assign.Server {
	return r.servers[r.turn.Add(1)%uint64(len(r.servers))]
}
