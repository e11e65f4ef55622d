package limit

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// KeeperConfig configures a Keeper. Zero values mean the defaults.
type KeeperConfig struct {
	// Tokens is the number of tokens of the server; 2 by default, of 6 slots.
	Tokens int
	// Longest is the longest timeout of any long operation. A new keeper waits for it unless all
	// processes report earlier.
	Longest time.Duration
	// Margin is that of the leases; lease.DefaultMargin by default.
	Margin lease.Margin
}

// Token names one token of a process. Number is unique within one incarnation.
type Token struct {
	Process     assign.ProcessID
	Incarnation uint64
	Number      uint64
}

// KeeperEvent is an event of a Keeper: TokenAsked, TokenReturned, LongReported, ProcessesChanged
// or KeeperTick.
//
//sumtype:decl
type KeeperEvent interface{ keeperEvent() }

// KeeperAction is an action of a Keeper: AnswerToken.
//
//sumtype:decl
type KeeperAction interface{ keeperAction() }

// TokenAsked asks for a token. A repeat with the same Token is idempotent and renews the lease.
type TokenAsked struct {
	Token Token
	// Length is the timeout of the operation.
	Length time.Duration
}

// TokenReturned gives a token back before its lease ends.
type TokenReturned struct {
	Token Token
}

// Use is a token in use, as its holder reports it to a new keeper.
type Use struct {
	Token Token
	// Left is the time until the holder's lease ends.
	Left time.Duration
}

// LongReported says which long work a process has at the server. A process sends it once it uses
// the table that names this keeper, and from then on asks no earlier keeper.
type LongReported struct {
	Process     assign.ProcessID
	Incarnation uint64
	Uses        []Use
}

// ProcessesChanged gives the processes of a new table.
type ProcessesChanged struct {
	Processes []assign.ProcessID
}

// KeeperTick lets leases lapse.
type KeeperTick struct{}

// AnswerToken answers TokenAsked.
type AnswerToken struct {
	Token Token
	// Given reports that the token may be used for Length, counted by the holder from before it
	// asked.
	Given  bool
	Length time.Duration
	// Wait is how long to wait before asking again where the token was not given.
	Wait time.Duration
}

func (TokenAsked) keeperEvent()       {}
func (TokenReturned) keeperEvent()    {}
func (LongReported) keeperEvent()     {}
func (ProcessesChanged) keeperEvent() {}
func (KeeperTick) keeperEvent()       {}
func (AnswerToken) keeperAction()     {}

// Keeper gives out the tokens for long work at one server.
type Keeper struct {
	config KeeperConfig
}

// NewKeeper returns a Keeper that took over at now and gives no token until every process has
// reported its long work, or the longest long timeout has passed.
func NewKeeper(now time.Time, c KeeperConfig, processes []assign.ProcessID) *Keeper {
	return &Keeper{config: c}
}

// Step handles an event.
func (k *Keeper) Step(now time.Time, e KeeperEvent) []KeeperAction { return nil }

// InUse returns the number of tokens given out.
func (k *Keeper) InUse(now time.Time) int { return 0 }

// KeeperOf returns the process that keeps the tokens of a server, by rendezvous hash, "" where
// there are no processes.
func KeeperOf(server assign.ServerID, processes []assign.ProcessID) assign.ProcessID {
	return ""
}
