package scene

import "time"

// Statement is one line of a scenario. All statement types are declared in this file.
//
//sumtype:decl
type Statement interface {
	// at returns the line number in the file, from 1.
	at() int
	// checks reports whether the statement checks anything.
	checks() bool
}

// Line is the line number of a statement in its file, from 1.
type Line int

func (l Line) at() int { return int(l) }

// Start starts a deployment and waits until every entry process serves.
type Start struct {
	Line
	// User is a folder of package examples.
	User string
	// Servers is the number of servers by the short name of the service. Services without a number
	// are left out of the settings.
	Servers map[string]int
	// Entries is the number of entry processes.
	Entries int
	// Fencing replaces the fencing of exclusive services; "" keeps the setting of the example.
	Fencing string
}

// Callers starts callers, which run until the end of the scenario.
type Callers struct {
	Line
	Number int
	// Bookings, Lookups and Long select the kinds of calls that the callers send.
	Bookings, Lookups, Long bool
}

// Kill ends a process with SIGKILL.
type Kill struct {
	Line
	Target Target
}

// Freeze makes a backend server unresponsive for a time, through the freeze fault of the stand-in.
type Freeze struct {
	Line
	Target Target
	Length time.Duration
}

// Fault switches a fault of a backend server on or off.
type Fault struct {
	Line
	Target Target
	// Name is the JSON name of a boolean field of stand.BackendFault.
	Name string
	On   bool
}

// Pause stops an entry process with SIGSTOP, and resumes it with SIGCONT after a time.
type Pause struct {
	Line
	Target Target
	Length time.Duration
}

// Cut blocks the traffic between an entry process and the other entry processes for a time.
type Cut struct {
	Line
	Target Target
	// In and Out select the blocked directions, as seen from the process.
	In, Out bool
	Length  time.Duration
}

// Restart starts a killed process again.
type Restart struct {
	Line
	Target Target
}

// StoreDown makes the object API answer 503 for a time.
type StoreDown struct {
	Line
	Length time.Duration
}

// StoreSlow delays each answer of the object API; a delay of zero ends the fault.
type StoreSlow struct {
	Line
	Delay time.Duration
}

// StoreLoseAnswers switches a fault in which writes take effect but get no answer.
type StoreLoseAnswers struct {
	Line
	On bool
}

// StoreStallWatches switches a fault in which watches get no answer.
type StoreStallWatches struct {
	Line
	On bool
}

// Drain marks a server as leaving in the platform's list of VMs.
type Drain struct {
	Line
	Target Target
	// ByOperator orders the drain through the admin address of an entry process instead.
	ByOperator bool
}

// Stop begins the planned stop of an entry process with SIGTERM, and waits for its end.
type Stop struct {
	Line
	Target Target
}

// ConfigSet changes one setting of a team, as a single operator would.
type ConfigSet struct {
	Line
	Team, Key, Value string
}

// ConfigRace changes one setting of a team twice, as two operators would who read the same version.
type ConfigRace struct {
	Line
	Team, Key string
	// Values are the values that the first and the second operator set.
	Values [2]string
}

// WaitServed waits until a lookup of the key runs through every entry process that is neither
// paused nor cut off. It fails only after waitTimeout: Target is only reported beside the measured
// time.
type WaitServed struct {
	Line
	Key    string
	Target time.Duration
}

// Settle waits for a fixed time.
type Settle struct {
	Line
	Length time.Duration
}

// ExpectPromise checks promises against the calls and runs of the whole scenario.
type ExpectPromise struct {
	Line
	// Name is a promise of package audit, or "all".
	Name string
}

// ExpectNoRun checks that a server started no run later than the bound after its drain began.
type ExpectNoRun struct {
	Line
	Server string
	Bound  time.Duration
}

// ExpectNoCut checks that no call was cut, except through killed processes.
type ExpectNoCut struct{ Line }

// ExpectInForce checks that the last accepted configuration of a team is in force, after the bound,
// at every process that serves.
type ExpectInForce struct {
	Line
	Team  string
	Bound time.Duration
}

// ExpectConfig checks how the last change of a team's configuration ended.
type ExpectConfig struct {
	Line
	Team string
	// Accepted tells whether the change must be accepted or must not be.
	Accepted bool
}

// ExpectRunning waits until a call of each kind that the callers send was started and has run.
type ExpectRunning struct{ Line }

// Kind is the kind of process that a Target names.
type Kind int

const (
	// EntryProcess is an entry process.
	EntryProcess Kind = iota
	// BackendServer is a backend server.
	BackendServer
)

// Target selects a process of the deployment, by its name or by its role at the time the statement runs.
type Target struct {
	Kind Kind
	// Name is the name of the process, or "" if it is selected by role.
	Name string
	// Decider selects the entry process that is the decider.
	Decider bool
	// Follower selects the first reachable entry process that is not the decider.
	Follower bool
	// OwnerOf is a key; if it is not "", the target is the server that owns the key.
	OwnerOf string
}
