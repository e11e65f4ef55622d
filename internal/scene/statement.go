package scene

import "time"

// Statement is one line of a scenario. The types of this file are all there are.
//
//sumtype:decl
type Statement interface {
	// at returns the line number in the file, from 1.
	at() int
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
	// Fencing replaces the fencing of the exclusive service, "" leaves it.
	Fencing string
}

// Callers starts callers, which go on until the end of the scenario.
type Callers struct {
	Line
	Number int
	// Bookings, Lookups and Long are what the callers send.
	Bookings, Lookups, Long bool
}

// Kill ends a process with SIGKILL.
type Kill struct {
	Line
	Target Target
}

// Freeze stops a backend server for a time, through the fault of the stand-in.
type Freeze struct {
	Line
	Target Target
	Length time.Duration
}

// Pause stops an entry process with SIGSTOP, and lets it go on with SIGCONT.
type Pause struct {
	Line
	Target Target
	Length time.Duration
}

// Cut holds back what an entry process and the other ones send each other.
type Cut struct {
	Line
	Target Target
	// In and Out are the directions that are held back, as the process sees them.
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

// StoreSlow delays each answer of the object API; a delay of zero ends that.
type StoreSlow struct {
	Line
	Delay time.Duration
}

// StoreLoseAnswers lets writes take effect without an answer.
type StoreLoseAnswers struct {
	Line
	On bool
}

// StoreStallWatches lets watches wait without an answer.
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

// ConfigSet changes one setting of a team, as one operator does.
type ConfigSet struct {
	Line
	Team, Key, Value string
}

// ConfigRace changes one setting of a team twice, as two operators do who read the same version.
type ConfigRace struct {
	Line
	Team, Key string
	// Values are those of the first and of the second operator.
	Values [2]string
}

// WaitServed waits until a lookup of the key runs through every entry process that is neither
// paused nor cut off. It fails only after the patience of the package: the time is a target, which
// is reported beside the measured one.
type WaitServed struct {
	Line
	Key    string
	Target time.Duration
}

// Settle waits.
type Settle struct {
	Line
	Length time.Duration
}

// ExpectPromise checks promises on the record of the whole scenario.
type ExpectPromise struct {
	Line
	// Name is a promise of package audit, or "all".
	Name string
}

// ExpectNoRun checks that a server started no work later than the bound after its drain.
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
	// Accepted is whether it has to be accepted.
	Accepted bool
}

// ExpectRunning waits until a call of each kind that the callers send was started and has run.
type ExpectRunning struct{ Line }

// Kind is what a target is.
type Kind int

const (
	// Entry is an entry process.
	Entry Kind = iota
	// Server is a backend server.
	Server
)

// Target names a process of the deployment, by its name or by its role when the statement is played.
type Target struct {
	Kind Kind
	// Name is the name of the process, where it is named.
	Name string
	// Decider is the entry process that is the decider.
	Decider bool
	// Follower is the first entry process that runs and is not the decider.
	Follower bool
	// OwnerOf is the server that owns the key, where it is not "".
	OwnerOf string
}
