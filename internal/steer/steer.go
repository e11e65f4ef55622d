// Package steer is the control plane of an entry process: it takes part in the election of a leader
// among the entry processes, assigns keys to servers while it leads, and keeps the list of servers and
// the configuration up to date.
//
// One goroutine owns all control state: the candidate of the election, the decider that assigns keys,
// the directory of servers and the configuration. Calls to the store and orders to servers run in
// short-lived goroutines, whose results come back as events. After each change the control goroutine
// publishes a view.View.
//
// The leader reads the store and writes its record, which contains the tables of key owners. The
// other processes are followers and learn of changes by long polling: each keeps one call open at the
// leader, which answers as soon as something changes. A follower whose data is older than the limits of
// this package reads the store itself, so that it keeps working when the leader or the network path to
// the leader fails.
//
// # Usage
//
//	control, err := steer.Start(steer.Options{Name: "entry-1", Objects: objects, Orders: keys, Views: views})
//	if err != nil {
//		return err
//	}
//	defer control.Close() // once no more requests are sent to servers
//	defer control.Stop()  // resigns leadership
package steer

import (
	"cmp"
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
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

const (
	// leaderLease is how long a leader leads after it sent a write of its record.
	leaderLease = 2 * time.Second
	// grantLease is the default duration of a grant of keys. It is longer than it takes to replace a
	// lost leader and renew the grants.
	grantLease = 4 * time.Second
	// tickInterval is the resolution of the control timers.
	tickInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the server list by the leader.
	listInterval = 600 * time.Millisecond
	// serversAgeShare and configAgeShare are the ages of a follower's data at which it reads the store itself, as fractions
	// of Options.DrainTime and Options.ConfigTime. The servers take longer to read. Most changes of the leader end before
	// that, so that not all followers read the whole list at the same time.
	serversAgeShare = 0.7
	configAgeShare  = 0.85
	// defaultChangeTime is the default of Options.DrainTime and Options.ConfigTime.
	defaultChangeTime = 2 * time.Second
	// startupGrace is how long a new process waits for the leader before it reads the store itself. firstStartupGrace
	// applies at the first start of the whole system, when there are no requests yet and all processes start at once.
	startupGrace      = 1200 * time.Millisecond
	firstStartupGrace = 4 * time.Second
	// transferAfter is how long all calls of the leader to the store must have failed before it transfers
	// leadership to a follower that can read the record.
	transferAfter = 400 * time.Millisecond
	// electionDelayFactor, in core-seconds, determines an extra delay before a process takes leadership: the
	// factor divided by the CPU power of its VM in cores. Processes on stronger VMs thus take leadership first.
	// maxElectionDelay bounds the extra delay.
	electionDelayFactor = 0.05
	maxElectionDelay    = 400 * time.Millisecond
	// takeoverCandidates is the number of followers that are sure to try to take leadership over from a leader
	// that cannot reach the store, for which they read the record. They are the ones on the strongest VMs. Any
	// other follower reads it with probability takeoverCandidates/r, where r is its Answer.Rank.
	takeoverCandidates = 6
	// maxPeers is the number of other followers whose addresses a follower gets from the leader.
	maxPeers = 8
	// yieldRatio is the least ratio of the CPU power of a follower's VM to that of the leader's VM at which the
	// leader offers leadership to the follower. The leader does so only after it has led for minLeadTime.
	yieldRatio  = 1.9
	minLeadTime = 2 * time.Second
	// evacuationAgeShare and evacuationListShare are the age of a follower's list of evacuations at which it reads the store
	// itself, and the time between two reads by the leader, as fractions of Options.EvacuationTime. Several reads of the
	// leader may fail before the followers read. maxEvacuationInterval bounds the latter.
	evacuationAgeShare    = 0.5
	evacuationListShare   = 0.2
	maxEvacuationInterval = 2 * time.Second
	// storeRetryDelay is the time from a failed read of the store to the next one.
	storeRetryDelay = 700 * time.Millisecond
	// quickRetryDelay replaces storeRetryDelay for a leader until its calls have failed for quickRetryTime.
	quickRetryDelay = 100 * time.Millisecond
	quickRetryTime  = time.Second
	// configWatchTimeout plus half of readTimeout is the deadline of the leader's watch of the configuration.
	// store.Objects.Watch returns shortly before the deadline if nothing changes.
	configWatchTimeout = 900 * time.Millisecond
	// watchLatency is how old the data of a watch may be when its answer arrives.
	watchLatency = 100 * time.Millisecond
	// readTimeout bounds a read of the store. writeTimeout bounds a write of the record, several of which
	// fit in a leader's lease.
	readTimeout  = 800 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	// leaderTimeout is the time since the leader's last answer after which the candidate reads the record.
	leaderTimeout = 1500 * time.Millisecond
	// missedHeartbeats is the least number of heartbeats that a server misses before its entry in the store
	// expires.
	missedHeartbeats = 2
	// storeUnreachableAfter is the time since the store's last answer after which it counts as unreachable.
	storeUnreachableAfter = 900 * time.Millisecond
	// callJitter bounds the error of a follower's estimate of when the leader read the store. The estimate is
	// based on the time at which the follower sent its call instead of the time at which the call arrived, so it
	// is too early by the latency of the request, which varies.
	callJitter = 200 * time.Millisecond
	// pollTimeout is how long the leader keeps a follower's call open when nothing changes.
	pollTimeout = 500 * time.Millisecond
	// batchTimePerFollower times the number of followers is how long after an update the leader collects changes
	// before it sends the next one.
	batchTimePerFollower = time.Millisecond
	// followerTimeout is how long after its last call a follower still counts as one.
	followerTimeout = 3 * time.Second
	// reserveTimeout bounds the call of Control.Reserve to the leader.
	reserveTimeout = 200 * time.Millisecond
	// resignTimeout bounds the wait for the write of a resignation.
	resignTimeout = time.Second
)

// recordObject is the name of the object in the store that holds the leader and the tables of key owners.
const recordObject = "samphiredrum-cells/main"

// Errors of this package.
var (
	namespace = errorx.NewNamespace("steer")
	// ErrListen is the type of the errors of Start if the address for messages between processes cannot be
	// used.
	ErrListen = namespace.NewType("listen")
)

// OrderSender sends grants and releases of keys to servers.
type OrderSender interface {
	// Grant grants keys to a server or renews the grant. It calls check just before it writes the first
	// byte, and gives up if check returns an error.
	Grant(ctx context.Context, g shard.Grant, check func() error) shard.Outcome
	// Release takes keys back from a server and returns once no work on them runs. The string is the handover
	// data with which the next owner starts warm. It calls check as Grant does.
	Release(ctx context.Context, r shard.Release, check func() error) (string, shard.Outcome)
}

// Formats names the objects in the store that the operator and the servers write, and parses them.
type Formats struct {
	ConfigObject  string
	ConfigPrefix  string
	ServersPrefix string
	Config        func(store.Object) (*route.Config, error)
	Server        func(store.Object) (assign.Server, error)
	// EvacuationsPrefix is the prefix of the evacuations, and Evacuation returns the failure domain of one. They are used
	// only if Options.EvacuationTime is set.
	EvacuationsPrefix string
	Evacuation        func(store.Object) (string, error)
}

// Options configure a Control.
type Options struct {
	// Name is the name of the VM.
	Name string
	// Address is the address of this process for messages between processes.
	Address netip.AddrPort
	Objects store.Objects
	Orders  OrderSender
	Formats Formats
	Views   *view.Publisher
	// Limits holds the request rates that servers name. The relay adds what it hears.
	Limits *quota.Board
	// Power is the CPU power of the VM in cores, which may be a fraction, 0 if unknown.
	Power float64
	// FirstStart reports that the whole system starts for the first time.
	FirstStart bool
	// LongestHold is the maximum duration of a grant of keys.
	LongestHold time.Duration
	// DrainTime is how long after a server starts draining requests may be sent to it, and ConfigTime how long after a
	// change of the configuration the earlier one may be used. Both are 2 s by default.
	DrainTime  time.Duration
	ConfigTime time.Duration
	// EvacuationTime is how long after an evacuation was created requests may reach servers of its failure domain, 0 if there
	// are no evacuations: they are not read then. MaxSkew is how far the answers of the store may lag.
	EvacuationTime time.Duration
	MaxSkew        time.Duration
	// Heartbeat is how often a server refreshes its entry in the store.
	Heartbeat time.Duration
	// ColdBound reports that the requests to cold servers are bounded. Otherwise the warm-up times of entries are ignored.
	ColdBound bool
	Clock     clock.Clock
	Log       zerolog.Logger
}

// startupGrace returns how long this process waits for the leader after its start.
func (o Options) startupGrace() time.Duration {
	if o.FirstStart {
		return firstStartupGrace
	}
	return startupGrace
}

// maxServersAge returns the age of the list of servers at which a follower reads it from the store.
func (o Options) maxServersAge() time.Duration {
	return time.Duration(serversAgeShare * float64(cmp.Or(o.DrainTime, defaultChangeTime)))
}

// maxConfigAge returns the age of the configuration at which a follower reads it from the store.
func (o Options) maxConfigAge() time.Duration {
	return time.Duration(configAgeShare * float64(cmp.Or(o.ConfigTime, defaultChangeTime)))
}

// evacuates reports whether the deployment has evacuations.
func (o Options) evacuates() bool { return o.EvacuationTime > 0 }

// maxEvacuationsAge returns the age of the list of evacuations at which a follower reads it from the store.
func (o Options) maxEvacuationsAge() time.Duration {
	return time.Duration(evacuationAgeShare * float64(o.EvacuationTime))
}

// evacuationInterval returns the time between two reads of the evacuations by the leader.
func (o Options) evacuationInterval() time.Duration {
	return min(maxEvacuationInterval, time.Duration(evacuationListShare*float64(o.EvacuationTime)))
}

// electionDelay returns how much longer this process waits before it takes leadership.
func (o Options) electionDelay() time.Duration {
	if o.Power <= 0 {
		return 0
	}
	return min(maxElectionDelay, time.Duration(electionDelayFactor/o.Power*float64(time.Second)))
}

// record is the content of recordObject.
type record struct {
	Leader leader.Record `json:"leader"`
	// Address is the address of the leader for messages between processes.
	Address  netip.AddrPort                   `json:"address"`
	Services map[assign.ServiceID]shard.Table `json:"services"`
	// Unconfirmed reports that the tables may lack the last changes of an earlier leader, because the store came back from
	// an older copy and this leader has not yet found out who holds the keys.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

func (r record) encode() ([]byte, error) { return json.Marshal(r) }

func parseRecord(o store.Object) (record, error) {
	var r record
	err := json.Unmarshal(o.Value, &r)
	return r, err
}
