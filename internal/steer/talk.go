package steer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
)

const (
	// talkTimeout bounds a follower's call, which the leader may keep open for parkTime.
	talkTimeout = parkTime + 400*time.Millisecond
	// talkPause is the time between calls to a leader that did not answer.
	talkPause = 200 * time.Millisecond
	// offerPause is the time between calls to a leader that offers the lead.
	offerPause = 100 * time.Millisecond
	// talkDial bounds the opening of the connection to the leader.
	talkDial = 300 * time.Millisecond
	// rpcMethod is the name of the one remote method.
	rpcMethod = "Cell.Follow"
)

// Versions say which state a process has. They count within one time in the lead, which Run names.
type Versions struct {
	Run     string
	Config  uint64
	Servers uint64
	Tables  uint64
}

// Ask is a follower's call to the leader.
type Ask struct {
	// From is the follower's address for messages between processes.
	From netip.AddrPort
	Have Versions
	// Load is what the follower saw since its last call.
	Load Load
	// Power is that of the follower's VM, see Options.
	Power float64
	// Claim is the version of the record that the follower has just read, where the leader offered the
	// lead, else 0.
	Claim uint64
	// Peers is the number of other followers that the follower knows.
	Peers int
}

// Answer is the leader's answer. Parts that the follower has are left out.
type Answer struct {
	// Leads is false where the process does not lead.
	Leads bool
	// Leader is the process that one follows which does not lead, the zero value where it knows none.
	Leader netip.AddrPort
	// Peers are some of the followers, which a follower asks for the leader when this one is lost.
	Peers     []netip.AddrPort
	Have      Versions
	Processes int
	// StoreAway reports that the leader does not reach the store and offers the lead to any follower
	// that does. Yields offers it to this one, whose VM is stronger.
	StoreAway bool
	Yields    bool
	// Rank is the number of followers whose VMs are at least as strong as that of this one, while
	// StoreAway is set.
	Rank int
	// Ceded reports that the process does not lead any more, in favour of the follower.
	Ceded bool
	// ConfigAge and ServersAge are the times since the leader read them.
	ConfigAge  time.Duration
	ServersAge time.Duration
	// Parked is how long the leader kept the call before it answered.
	Parked time.Duration
	// Config is the compressed configuration with ConfigRevision, its revision in the store.
	Config         []byte
	ConfigRevision uint64
	// News is the packed news of servers and rows, empty where the follower lacks none.
	News []byte
}

// host answers the calls of followers.
type host struct {
	control  *Control
	listener net.Listener
	server   *rpc.Server
	group    conc.WaitGroup
}

// cell is the receiver of the remote method.
type cell struct{ control *Control }

// Follow hands a call to the control goroutine and waits for its answer.
func (c *cell) Follow(ask Ask, answer *Answer) error {
	a := asked{ask: ask, answer: make(chan Answer, 1), since: c.control.options.Clock.Now()}
	if !c.control.post(a) {
		return ErrStopped.New("the process is stopping; ask the store for the leader")
	}
	select {
	case *answer = <-a.answer:
		return nil
	case <-c.control.done:
		return ErrStopped.New("the process is stopping; ask the store for the leader")
	}
}

// ErrStopped is the type of errors of calls to a process that stops.
var ErrStopped = namespace.NewType("stopped").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

func listen(c *Control) (*host, error) {
	l, err := net.Listen("tcp", c.options.Address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "free the address %s for messages between processes", c.options.Address)
	}
	h := &host{control: c, listener: l, server: rpc.NewServer()}
	if err := h.server.RegisterName("Cell", &cell{control: c}); err != nil {
		return nil, ErrListen.Wrap(err, "the remote method does not fit net/rpc")
	}
	h.group.Go(h.run)
	return h, nil
}

func (h *host) run() {
	for {
		n, err := h.listener.Accept()
		if err != nil {
			return
		}
		s := session{server: h.server, connection: n}
		h.group.Go(s.run)
	}
}

// session is one connection of a follower.
type session struct {
	server     *rpc.Server
	connection net.Conn
}

func (s session) run() { s.server.ServeConn(s.connection) }

// follower keeps one call open at the leader.
type follower struct {
	control *Control
	// target receives the leader's address, the zero value where there is none to follow.
	target chan netip.AddrPort
	// failed is the last process that did not answer or did not lead.
	failed netip.AddrPort
	// peers are other followers of the last leader.
	peers []netip.AddrPort
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
				closeClient(client)
				client, address = nil, next
			}
			continue
		case <-f.control.done:
			return
		default:
		}
		sent := f.control.options.Clock.Now()
		var told news
		answer, err := Answer{}, error(nil)
		if client == nil {
			client, err = dial(address)
		}
		if err == nil {
			answer, err = f.call(client)
		}
		if err == nil && len(answer.News) > 0 {
			told, err = unpackNews(answer.News)
		}
		if len(answer.Peers) > 0 {
			f.peers = answer.Peers
		}
		f.control.post(followed{sent: sent, from: address, answer: answer, news: told, err: err})
		if err == nil && answer.Leads && !answer.StoreAway {
			continue
		}
		if err == nil && answer.Leads {
			// The leader answers at once while it offers the lead.
			f.pause(offerPause)
			continue
		}
		closeClient(client)
		client = nil
		next := nextTarget(address, f.control.options.Address, answer.Leader, f.peers)
		if next != answer.Leader || next == f.failed {
			f.pause(talkPause)
		}
		f.failed, address = address, next
	}
}

// nextTarget returns the process to ask after one that did not answer or does not lead: the leader
// that it named, or any other process, which may know the leader. A process that the store refuses
// finds a new leader only so.
func nextTarget(asked, self, leader netip.AddrPort, peers []netip.AddrPort) netip.AddrPort {
	if leader.IsValid() && leader != self && leader != asked {
		return leader
	}
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] != self && peers[i] != asked {
			return peers[i]
		}
	}
	return asked
}

// pause waits, or until the process stops.
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
	n, err := net.DialTimeout("tcp", address.String(), talkDial)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(n), nil
}

// ask returns the call of this process to the leader.
func (f *follower) ask() Ask {
	c := f.control
	return Ask{
		From: c.options.Address, Have: *c.known.Load(), Load: c.tally.take(), Power: c.options.Power,
		Claim: c.claim.Swap(0), Peers: len(f.peers),
	}
}

func (f *follower) call(client *rpc.Client) (Answer, error) {
	var answer Answer
	done := client.Go(rpcMethod, f.ask(), &answer, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(talkTimeout)
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
