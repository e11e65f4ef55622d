package conf

import (
	"net/netip"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Process is the settings of one entry process.
type Process struct {
	Name          assign.ProcessID
	User          string
	FailureDomain string
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort
	// PeerAddress is where other entry processes connect.
	PeerAddress netip.AddrPort
	// AdminAddress is where operators and metrics collectors connect.
	AdminAddress netip.AddrPort
	// PlatformAddress is where this process reaches the object API and the VM list.
	PlatformAddress netip.AddrPort
	// Peers lists every entry process of the cell by name, this one included, so that the section
	// is the same in all process files and all processes derive the same first electors.
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

// Timing is the lengths of leases and intervals. All of them are in force on the process's own
// clock.
type Timing struct {
	// TermLease is the authority of a decider without renewal.
	TermLease time.Duration
	// ServingLease is the right of an entry process to forward calls without renewal.
	ServingLease time.Duration
	// Grant is the right of a server to run work for its spans without renewal.
	Grant time.Duration
	// Beat is the heartbeat interval.
	Beat time.Duration
	// Silence is the time after which a server that does not answer is treated as lost.
	Silence time.Duration
	// Margin bounds the errors of two clocks that count the same lease.
	Margin lease.Margin
	// StoreTimeout is the time after which a call to the object API counts as failed.
	StoreTimeout time.Duration
	// DrainNotice is the time between unready to the balancer and the refusal of new calls.
	DrainNotice time.Duration
	// BookingWindow is the time for which booking identifiers are remembered.
	BookingWindow time.Duration
}

// Limits bounds the memory and the effort that one entry process spends.
type Limits struct {
	// BodyBytes is the largest request or answer body in bytes.
	BodyBytes int
	// HeaderBytes is the largest request header in bytes.
	HeaderBytes int
	// QueueLength is the number of calls that may wait for one server.
	QueueLength int
	// RetryBudget is the number of retries for each call, from 0 to 1.
	RetryBudget float64
	// ReadTimeout is the time a caller has to send its request.
	ReadTimeout time.Duration
	// Events is the number of control events kept.
	Events int
}

// TLS is the certificate files of the process. The zero TLS uses plain text everywhere.
type TLS struct {
	// Certificate, Key and Authority are paths of PEM files. All three are set, or none.
	Certificate string
	Key         string
	Authority   string
	// Callers reports whether callers are served over TLS.
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

// ParseProcess reads a process file. The name is used in faults only. Where there are faults the
// value is the zero Process.
func ParseProcess(name, text string) (Process, []Fault) {
	r := &report{file: name}
	var p Process
	doc, ok := readDocument(r, text)
	if ok {
		p = buildProcess(r, doc)
	}
	if !r.clean() {
		return Process{}, r.sorted()
	}
	return p, nil
}
