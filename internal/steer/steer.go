// Package steer is the control side of an entry process.
//
// One goroutine owns all control state: the candidate for the lead, the decider of key owners, the
// directory of servers and the configuration. It sends calls to the store and orders to servers as
// short-lived goroutines, whose results come back as events, and publishes a view.View after each
// change.
//
// The leader reads the store and writes its record with the tables of key owners. The others
// follow it: each keeps one call open at the leader, which answers as soon as something changes.
// A process whose knowledge is older than the settings of this package allow reads the store
// itself, so that neither the loss of the leader nor that of the way to it stops the others.
//
// # Usage
//
//	control, err := steer.Start(steer.Options{Name: "entry-1", Objects: objects, Keys: keys, Board: board})
//	if err != nil {
//		return err
//	}
//	defer control.Stop() // resigns the lead
package steer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

const (
	// leaseTime is how long a leader leads after it sent a write of its record.
	leaseTime = 2 * time.Second
	// holdTime is the usual time of a grant of keys. It is longer than it takes to replace a lost
	// leader and renew the grants.
	holdTime = 4 * time.Second
	// tickEvery is the resolution of the control timers.
	tickEvery = 100 * time.Millisecond
	// leaderListEvery is the time between two lists of the servers by the leader.
	leaderListEvery = 600 * time.Millisecond
	// staleServers and staleConfig are the ages at which a follower reads the store itself.
	staleServers = 1400 * time.Millisecond
	staleConfig  = 1700 * time.Millisecond
	// firstReading is how long a new process waits for the leader before it reads the store itself.
	firstReading = 1200 * time.Millisecond
	// cedeAfter is how long all calls of the leader to the store must have failed before it cedes the
	// lead to a process that can read the record.
	cedeAfter = 400 * time.Millisecond
	// delayPower over the power of a VM's processor, in cores, is how much longer than others the
	// process waits before it takes the lead, at most longestDelay.
	delayPower   = 0.05
	longestDelay = 400 * time.Millisecond
	// claimants is the number of followers that look for the store in place of a leader without it,
	// of those on the strongest VMs.
	claimants = 6
	// knownPeers is the number of other followers that a follower knows.
	knownPeers = 8
	// yieldRatio is how many times stronger another VM must be for the leader to yield to it, after
	// yieldAfter in the lead.
	yieldRatio = 1.9
	yieldAfter = 2 * time.Second
	// storeRetry is the time from a read that failed to the next one.
	storeRetry = 700 * time.Millisecond
	// configWatch is how long the leader's watch of the configuration waits for a change.
	configWatch = 900 * time.Millisecond
	// watchAge is how old the news of an answered watch may be.
	watchAge = 100 * time.Millisecond
	// callTimeout bounds reads of the store, writeTimeout writes of the record, several of which fit
	// in a lease.
	callTimeout  = 800 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	// leaderSilence is the time without an answer of the leader after which the candidate reads the record.
	leaderSilence = 1500 * time.Millisecond
	// missedHeartbeats is the number of heartbeats that a server misses at least before its entry lapses.
	missedHeartbeats = 2
	// awayAfter is the time without an answer after which the store counts as away.
	awayAfter = 900 * time.Millisecond
	// callJitter is how much earlier than it was a reading of the leader may seem to a follower, which
	// computes its time from those of the call.
	callJitter = 200 * time.Millisecond
	// parkTime is how long the leader keeps a follower's call open when nothing changes.
	parkTime = 500 * time.Millisecond
	// tellShare is how long the leader collects changes for each follower before it tells them.
	tellShare = time.Millisecond
	// followerAge is how long ago a follower may have called to be counted.
	followerAge = 3 * time.Second
	// resignTime bounds the write of a resignation.
	resignTime = time.Second
)

// recordObject is the object with the leader and the tables of key owners.
const recordObject = "samphiredrum-cells/main"

// Errors of this package.
var (
	namespace = errorx.NewNamespace("steer")
	// ErrListen is the type of errors of a port for messages between processes that can't be used.
	ErrListen = namespace.NewType("listen")
)

// Keys sends orders about keys to servers.
type Keys interface {
	// Grant gives keys to a server or renews them. The check is called just before the first byte
	// is written; its error ends the call.
	Grant(ctx context.Context, g shard.Grant, check func() error) shard.Outcome
	// Release takes keys from a server and returns once no work on them runs, with what the next
	// owner needs to start warm.
	Release(ctx context.Context, r shard.Release, check func() error) (string, shard.Outcome)
}

// Formats read what the operator and the servers store.
type Formats struct {
	ConfigObject  string
	ConfigPrefix  string
	ServersPrefix string
	Config        func(store.Object) (*route.Config, error)
	Server        func(store.Object) (assign.Server, error)
}

// Options configure a Control.
type Options struct {
	// Name is that of the VM.
	Name string
	// Address is that of the VM for messages between processes.
	Address netip.AddrPort
	Objects store.Objects
	Keys    Keys
	Formats Formats
	Board   *view.Publisher
	// Power is the part of a processor that the VM has, in cores, 0 where it is not known.
	Power float64
	// LongestHold is the longest time for which keys may be granted.
	LongestHold time.Duration
	// Heartbeat is how often a server refreshes its entry in the store.
	Heartbeat time.Duration
	Clock     clock.Clock
	Log       zerolog.Logger
}

// delay returns how long the process leaves the lead to others.
func (o Options) delay() time.Duration {
	if o.Power <= 0 {
		return 0
	}
	return min(longestDelay, time.Duration(delayPower/o.Power*float64(time.Second)))
}

// record is the stored object.
type record struct {
	Leader leader.Record `json:"leader"`
	// Address is that of the leader's process for messages between processes.
	Address  netip.AddrPort                   `json:"address"`
	Services map[assign.ServiceID]shard.Table `json:"services"`
}

func (r record) value() ([]byte, error) { return json.Marshal(r) }

func parseRecord(o store.Object) (record, error) {
	var r record
	err := json.Unmarshal(o.Value, &r)
	return r, err
}
