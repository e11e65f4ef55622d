package conf

import (
	"net/netip"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Process holds the settings of one entry process.
type Process struct {
	Name          assign.ProcessID
	User          string
	FailureDomain string
	// CallerAddress is the listen address for callers.
	CallerAddress netip.AddrPort
	// PeerAddress is the address to which other entry processes connect.
	PeerAddress netip.AddrPort
	// AdminAddress is the listen address for operators and metrics collectors.
	AdminAddress netip.AddrPort
	// PlatformAddress is the address of the object API and the VM list.
	PlatformAddress netip.AddrPort
	// Peers lists all entry processes of the cell, sorted by name. It includes this process, so that
	// the section is the same in all process files and all processes derive the same first electors.
	Peers  []Peer
	Timing Timing
	Limits Limits
	TLS    TLS
}

// Peer is one entry process of the cell.
type Peer struct {
	Name          assign.ProcessID
	Address       netip.AddrPort
	FailureDomain string
}

// Timing holds the durations of leases, intervals and timeouts. Each process measures them on its own
// clock.
type Timing struct {
	// TermLease is the time that a leader may act without renewal of its term.
	TermLease time.Duration
	// ServingLease is the time that an entry process may forward calls without renewal.
	ServingLease time.Duration
	// Grant is the time that a server may run work for its spans without renewal.
	Grant time.Duration
	// Beat is the heartbeat interval.
	Beat time.Duration
	// Silence is the time after which a server that does not answer is treated as lost.
	Silence time.Duration
	// Margin bounds the difference between two clocks that measure the same lease.
	Margin lease.Margin
	// StoreTimeout is the time after which a call to the object API counts as failed.
	StoreTimeout time.Duration
	// DrainNotice is the time between the report of not ready to the load balancer and the refusal of
	// new calls.
	DrainNotice time.Duration
	// BookingWindow is the time for which booking identifiers are stored.
	BookingWindow time.Duration
}

// Limits holds the resource limits of one entry process.
type Limits struct {
	// BodyBytes is the size limit of a request or response body in bytes.
	BodyBytes int
	// HeaderBytes is the size limit of a request header in bytes.
	HeaderBytes int
	// QueueLength is the number of calls that may wait for one server.
	QueueLength int
	// RetryBudget is the ratio of retries to calls over all calls of the process, from 0 to 1.
	RetryBudget float64
	// ReadTimeout is the time within which a caller must send its request.
	ReadTimeout time.Duration
	// Events is the number of control events that are kept in memory.
	Events int
}

// TLS holds the certificate files of the process. With the zero TLS, all connections use plain text.
type TLS struct {
	// Certificate, Key and Authority are paths of PEM files. Either all three are set or none.
	Certificate string
	Key         string
	Authority   string
	// Callers reports whether callers connect over TLS.
	Callers bool
}

// Enabled reports whether connections between entry processes use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Others returns the peers without this process.
func (p *Process) Others() []Peer {
	others := make([]Peer, 0, len(p.Peers))
	for _, q := range p.Peers {
		if q.Name != p.Name {
			others = append(others, q)
		}
	}
	return others
}

// ParseProcess reads a process file. The name is used in faults only. If there are faults, the value
// is the zero Process.
func ParseProcess(name, text string) (Process, []Fault) {
	r := &report{file: name}
	var p Process
	doc, ok := readDocument(r, text)
	if ok {
		p = buildProcess(r, doc)
	}
	if !r.empty() {
		return Process{}, r.sorted()
	}
	return p, nil
}
