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

// callKind describes one kind of call under load.
type callKind struct {
	operation conf.Operation
	// run is how long a server works on the call, 0 for its default.
	run time.Duration
	// timeout is how long the caller waits.
	timeout time.Duration
}

func (k callKind) call(service *conf.Service, c arrival) caller.Call {
	return caller.Call{
		Method:    k.operation.Method,
		Path:      caller.Path(service, k.operation, c.key),
		RequestID: "n" + strconv.Itoa(c.number),
		Timeout:   k.timeout,
		Run:       k.run,
	}
}

// entrySender sends calls through the entry processes of a fleet in round-robin order.
type entrySender struct {
	client    *caller.Client
	service   *conf.Service
	kinds     []callKind
	addresses []netip.AddrPort
	turn      atomic.Uint64
}

func newEntrySender(f *fleet.Fleet, service *conf.Service, kinds []callKind) *entrySender {
	e := &entrySender{client: caller.New(caller.Options{Connections: maxInFlight}), service: service, kinds: kinds}
	for _, name := range f.Names() {
		e.addresses = append(e.addresses, f.Node(name).CallerAddress())
	}
	return e
}

func (e *entrySender) send(c arrival) answer {
	address := e.addresses[e.turn.Add(1)%uint64(len(e.addresses))]
	a, err := e.client.Do(address, e.kinds[c.kind].call(e.service, c))
	if err != nil {
		return answer{refused: a.Outcome == caller.NotRun, reason: err.Error()}
	}
	return answer{ran: a.Outcome == caller.Ran && a.Status < 300, refused: a.Outcome == caller.NotRun, reason: faultName(a.Reason)}
}

func (e *entrySender) close() {
	e.client.Close()
}

// faultName returns the part of a refusal's text that names the fault. The rest is a remedy with times that differ
// from call to call and would prevent grouping.
func faultName(reason string) string {
	name, _, _ := strings.Cut(reason, ";")
	return name
}

// directSender sends calls directly to the servers, as the baselines without limits do.
type directSender struct {
	client  *caller.Client
	service *conf.Service
	kinds   []callKind
	choose  chooser
	// retries is how often a failed call is repeated immediately.
	retries int
	// attempts counts the calls sent, retries included.
	attempts atomic.Int64
}

// directConnections is the highest number of connections that a direct sender opens to one server.
const directConnections = 512

func newDirectSender(service *conf.Service, kinds []callKind, choose chooser, retries int) *directSender {
	return &directSender{
		client:  caller.New(caller.Options{Connections: directConnections}),
		service: service,
		kinds:   kinds,
		choose:  choose,
		retries: retries,
	}
}

func (d *directSender) send(c arrival) answer {
	var last answer
	for range d.retries + 1 {
		last = d.attempt(c)
		if last.ran {
			return last
		}
	}
	return last
}

func (d *directSender) close() {
	d.client.Close()
}

func (d *directSender) attempt(c arrival) answer {
	server := d.choose.pick()
	d.attempts.Add(1)
	a, err := d.client.Do(server.Address, d.kinds[c.kind].call(d.service, c))
	if err != nil {
		return answer{reason: err.Error()}
	}
	return answer{ran: a.Status < 300, refused: a.Status == 503, reason: strconv.Itoa(a.Status)}
}

// chooser chooses the server of a call. It is safe for concurrent use.
type chooser interface {
	pick() assign.Server
}

// roundRobin chooses the servers in turn.
type roundRobin struct {
	servers []assign.Server
	turn    atomic.Uint64
}

func (r *roundRobin) pick() assign.Server {
	return r.servers[r.turn.Add(1)%uint64(len(r.servers))]
}
