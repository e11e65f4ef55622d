package steer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

const (
	// followTimeout bounds a follower's call, which the leader may keep open for pollTimeout.
	followTimeout = pollTimeout + 400*time.Millisecond
	// retryDelay is the time between a call without success and the next one, unless the called process named
	// a new leader.
	retryDelay = 200 * time.Millisecond
	// offerDelay is the time between calls to a leader that cannot reach the store and offers leadership.
	offerDelay = 100 * time.Millisecond
	// dialTimeout bounds the opening of the connection to the leader.
	dialTimeout = 300 * time.Millisecond
	// rpcMethod is the name of the remote method that followers call for updates.
	rpcMethod = "Cell.Follow"
	// reserveMethod is the name of the remote method that reserves a request.
	reserveMethod = "Cell.Reserve"
)

// Versions identifies the state that a process has of the configuration, the servers and the tables of key
// owners. The numbers are comparable only within one term of one leader, which Run identifies.
type Versions struct {
	// Run is the termID of the leader, that is its run and its term. A process that has not yet had a leader
	// has its own run here, without a term.
	Run     string
	Config  uint64
	Servers uint64
	Tables  uint64
	Limits  uint64
	// Evacuations is counted only where the deployment has evacuations.
	Evacuations uint64
	Cold        uint64
}

// Ask is the request of a follower's call to the leader.
type Ask struct {
	// From is the follower's address for messages between processes.
	From netip.AddrPort
	// Have are the versions that the follower has.
	Have Versions
	// Load is the load that the follower saw since its last call.
	Load Load
	// Limits are the limits of servers that the follower heard of since its last call.
	Limits []LimitNotice
	// Power is the CPU power of the follower's VM, see Options.
	Power float64
	// Claim claims leadership after the leader has offered it. It is the version of the record that the
	// follower has just read, otherwise 0.
	Claim uint64
	// Peers is the number of other followers that the follower knows.
	Peers int
	// Holders are servers that may hold keys, but that the leader may not know, see Answer.OwnersUnknown.
	Holders map[assign.ServiceID][]shard.Holder
	// Evacuations are those that the follower has read from the store, if the leader does not know them yet.
	Evacuations EvacuationNews
}

// Answer is the response to an Ask. Data that the follower already has is left out.
type Answer struct {
	// Leads reports whether the called process leads.
	Leads bool
	// Leader is the address of the leader if the called process does not lead but knows the leader, otherwise the
	// zero value.
	Leader netip.AddrPort
	// Peers are other followers. The follower asks them for the leader if it loses the connection to this one.
	Peers []netip.AddrPort
	// Have are the versions that the follower has after this answer.
	Have Versions
	// Processes is the number of entry processes, the leader and its followers.
	Processes int
	// Record is the version of the record that the leader last wrote.
	Record uint64
	// StoreAway reports that the leader cannot reach the store and offers leadership to any follower that
	// can. Yields reports that it offers leadership to this follower, because its VM is stronger. The leader
	// continues to lead until a follower claims leadership with Ask.Claim and gets an answer with Ceded.
	StoreAway bool
	Yields    bool
	// Rank is the number of followers, this one included, whose VMs are at least as strong as the VM of this
	// one. It is set only with StoreAway.
	Rank int
	// Ceded reports that the process has transferred leadership to this follower.
	Ceded bool
	// ConfigAge and ServersAge are the times since the leader last confirmed the configuration and the
	// servers at the store.
	ConfigAge  time.Duration
	ServersAge time.Duration
	// Parked is the time for which the leader kept the call open before it answered.
	Parked time.Duration
	// Config is the compressed configuration, ConfigRevision its revision in the store.
	Config         []byte
	ConfigRevision uint64
	// OwnersUnknown reports that the leader is finding out who holds the keys. Believed are then the versions of what it knew
	// when its term began.
	OwnersUnknown bool
	Believed      Versions
	// Limits are the limits of all servers. HasLimits reports that they are not left out.
	Limits    []LimitNotice
	HasLimits bool
	// Evacuations are the evacuated failure domains. They are in each answer, since they are few.
	Evacuations EvacuationNews
	// Cold are the runs of servers that count as cold. HasCold reports that they are not left out.
	Cold    []ColdNotice
	HasCold bool
	// News is the packed update, see the type update. It contains the servers and the owners of keys, but not the
	// configuration, and is empty if the follower lacks nothing.
	News []byte
}

// rpcServer serves the calls of followers.
type rpcServer struct {
	control  *Control
	listener net.Listener
	server   *rpc.Server
	group    conc.WaitGroup
}

// cell is the receiver of the RPC service Cell. A cell is a group of entry processes that have a common leader.
type cell struct{ control *Control }

// Follow passes a call to the control goroutine and waits for the answer.
func (c *cell) Follow(ask Ask, answer *Answer) error {
	r := followRequest{ask: ask, answer: make(chan Answer, 1), received: c.control.options.Clock.Now()}
	if !c.control.post(r) {
		return ErrStopped.New("the process is stopping; ask the store for the leader")
	}
	select {
	case *answer = <-r.answer:
		return nil
	case <-c.control.done:
		return ErrStopped.New("the process is stopping; ask the store for the leader")
	}
}

// ErrStopped is the type of the errors of calls to a process that is stopping.
var ErrStopped = namespace.NewType("stopped").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

func listen(c *Control) (*rpcServer, error) {
	l, err := net.Listen("tcp", c.options.Address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on %s for messages between processes; free the address", c.options.Address)
	}
	r := &rpcServer{control: c, listener: l, server: rpc.NewServer()}
	if err := r.server.RegisterName("Cell", &cell{control: c}); err != nil {
		return nil, ErrListen.Wrap(err, "cannot register the RPC service for followers")
	}
	r.group.Go(r.run)
	return r, nil
}

func (r *rpcServer) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		s := session{server: r.server, conn: conn}
		r.group.Go(s.run)
	}
}

// session is one connection of a follower.
type session struct {
	server *rpc.Server
	conn   net.Conn
}

func (s session) run() { s.server.ServeConn(s.conn) }

// follower calls the leader, one call after the other.
type follower struct {
	control *Control
	// target receives the address of the process to follow, the zero value for none.
	target chan netip.AddrPort
	// lastFailed is the last process that did not answer or did not lead.
	lastFailed netip.AddrPort
	// peers are the other followers that the last leader named.
	peers []netip.AddrPort
	// notices are the limits that no leader has been told of.
	notices []quota.Notice
	// connected is the connection to the leader for calls of other goroutines, nil if there is none.
	connected atomic.Pointer[rpc.Client]
}

func (f *follower) run() {
	var address netip.AddrPort
	var client *rpc.Client
	defer func() { closeClient(client) }()
	for {
		if !address.IsValid() {
			select {
			case address = <-f.target:
			case <-f.control.done:
				return
			}
			continue
		}
		select {
		case next := <-f.target:
			if next != address {
				f.connected.Store(nil)
				closeClient(client)
				client, address = nil, next
			}
			continue
		case <-f.control.done:
			return
		default:
		}
		sent := f.control.options.Clock.Now()
		var received update
		answer, err := Answer{}, error(nil)
		if client == nil {
			client, err = dial(address)
		}
		if err == nil {
			answer, err = f.call(client)
		}
		if err == nil && len(answer.News) > 0 {
			received, err = unpackUpdate(answer.News)
		}
		if len(answer.Peers) > 0 {
			f.peers = answer.Peers
		}
		f.control.post(followResult{sent: sent, from: address, answer: answer, update: received, err: err})
		if err == nil && answer.Leads {
			f.notices = nil
			f.connected.Store(client)
		}
		if err == nil && answer.Leads && !answer.StoreAway {
			continue
		}
		if err == nil && answer.Leads {
			// The leader does not keep calls open while it cannot reach the store.
			f.pause(offerDelay)
			continue
		}
		f.connected.Store(nil)
		closeClient(client)
		client = nil
		next := nextTarget(address, f.control.options.Address, answer.Leader, f.peers)
		if next != answer.Leader || next == f.lastFailed {
			f.pause(retryDelay)
		}
		f.lastFailed, address = address, next
	}
}

// nextTarget returns the process to call after one that did not answer or does not lead: the leader that
// it named, or else a random peer, which may know the leader. A process that cannot reach the store has no
// other way to find a new leader.
func nextTarget(called, self, leader netip.AddrPort, peers []netip.AddrPort) netip.AddrPort {
	if leader.IsValid() && leader != self && leader != called {
		return leader
	}
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] != self && peers[i] != called {
			return peers[i]
		}
	}
	return called
}

// pause sleeps for d, or until the process stops.
func (f *follower) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.control.done:
	}
}

func closeClient(c *rpc.Client) {
	if c != nil {
		c.Close()
	}
}

func dial(address netip.AddrPort) (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

// newAsk returns the request for the next call to the leader.
func (f *follower) newAsk() Ask {
	c := f.control
	f.notices = append(f.notices, c.options.Limits.Unreported()...)
	return Ask{
		Limits: limitNotices(c.options.Clock.Now(), f.notices),
		From:   c.options.Address, Have: *c.acked.Load(), Load: c.load.take(c.options.Clock.Now()), Power: c.options.Power,
		Claim: c.claim.Swap(0), Peers: len(f.peers), Holders: c.reported(), Evacuations: c.ownEvacuations(),
	}
}

func (f *follower) call(client *rpc.Client) (Answer, error) {
	var answer Answer
	done := client.Go(rpcMethod, f.newAsk(), &answer, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(followTimeout)
	defer timer.Stop()
	select {
	case c := <-done:
		return answer, c.Error
	case <-timer.C:
		return Answer{}, context.DeadlineExceeded
	case <-f.control.done:
		return Answer{}, context.Canceled
	}
}
