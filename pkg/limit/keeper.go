package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// IssuerConfig configures a Keeper. Zero values mean the defaults.
type IssuerConfig struct {
	// Tokens is the number of tokens of the server; 2 by default, of 6 slots.
	Tokens int
	// MaxTimeout is the longest timeout of any long operation. A new keeper waits for it unless all
	// processes report earlier.
	MaxTimeout time.Duration
	// Margin is that of the leases; lease.DefaultMargin by default.
	Margin lease.Margin
}

// Token names one token of a process. Number is unique within one incarnation.
type Token struct {
	Process     assign.ProcessID
	Incarnation uint64
	Number      uint64
}

// IssuerEvent is an event of a Keeper: TokenAsked, TokenReturned, LongReported, ProcessesChanged
// or KeeperTick.
//
//sumtype:decl
type IssuerEvent interface{ keeperEvent() }

// IssuerAction is an action of a Keeper: AnswerToken.
//
//sumtype:decl
type IssuerAction interface{ keeperAction() }

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

// IssuerTick lets leases lapse.
type IssuerTick struct{}

// AnswerToken answers TokenAsked.
type AnswerToken struct {
	Token Token
	// Granted reports that the token may be used for Length, counted by the holder from before it
	// asked.
	Granted bool
	Length  time.Duration
	// Wait is how long to wait before asking again where the token was not given.
	Wait time.Duration
}

func (TokenAsked) keeperEvent()       {}
func (TokenReturned) keeperEvent()    {}
func (LongReported) keeperEvent()     {}
func (ProcessesChanged) keeperEvent() {}
func (IssuerTick) keeperEvent()       {}
func (AnswerToken) keeperAction()     {}

// askAgain is the wait told to a process that gets no token. Long work runs for far longer.
const askAgain = 50 * time.Millisecond

// defaultTokens is a third of the 6 slots of a server.
const defaultTokens = 2

// Issuer gives out the tokens for long work at one server.
type Issuer struct {
	config IssuerConfig
	given  map[Token]*lease.Granted
	// unreported are the processes whose long work is not known, until quietUntil.
	unreported map[assign.ProcessID]bool
	quietUntil time.Time
}

// NewIssuer returns a Keeper that took over at now and gives no token until every process has
// reported its long work, or the longest long timeout has passed.
func NewIssuer(now time.Time, c IssuerConfig, processes []assign.ProcessID) *Issuer {
	if c.Tokens <= 0 {
		c.Tokens = defaultTokens
	}
	if c.Margin == (lease.Margin{}) {
		c.Margin = lease.DefaultMargin
	}
	k := &Issuer{
		config:     c,
		given:      map[Token]*lease.Granted{},
		unreported: map[assign.ProcessID]bool{},
		quietUntil: now.Add(c.Margin.AddTo(c.MaxTimeout)),
	}
	for _, p := range processes {
		k.unreported[p] = true
	}
	return k
}

// Step handles an event.
func (k *Issuer) Step(now time.Time, e IssuerEvent) []IssuerAction {
	k.lapse(now)
	switch e := e.(type) {
	case TokenAsked:
		return []IssuerAction{k.ask(now, e)}
	case TokenReturned:
		delete(k.given, e.Token)
	case LongReported:
		k.report(now, e)
	case ProcessesChanged, IssuerTick:
		// A process that left the table without a report may still have long work at the server, and
		// one that joined was not given tokens by an earlier keeper.
	}
	return nil
}

// InUse returns the number of tokens given out.
func (k *Issuer) InUse(now time.Time) int {
	k.lapse(now)
	return len(k.given)
}

func (k *Issuer) ask(now time.Time, e TokenAsked) AnswerToken {
	// A successor waits for Longest only, so no token may last longer.
	length := min(e.Length, k.config.MaxTimeout)
	g, renewed := k.given[e.Token]
	if !renewed {
		if k.quiet(now) || len(k.given) >= k.config.Tokens {
			return AnswerToken{Token: e.Token, Wait: askAgain}
		}
		g = &lease.Granted{}
		k.given[e.Token] = g
	}
	g.Extend(now, length, k.config.Margin)
	return AnswerToken{Token: e.Token, Granted: true, Length: length}
}

// quiet reports whether long work may exist that this keeper does not know.
func (k *Issuer) quiet(now time.Time) bool {
	return len(k.unreported) > 0 && now.Before(k.quietUntil)
}

func (k *Issuer) report(now time.Time, e LongReported) {
	delete(k.unreported, e.Process)
	for _, u := range e.Uses {
		g, ok := k.given[u.Token]
		if !ok {
			g = &lease.Granted{}
			k.given[u.Token] = g
		}
		g.Extend(now, u.Left, k.config.Margin)
	}
}

func (k *Issuer) lapse(now time.Time) {
	for t, g := range k.given {
		if g.Lapsed(now) {
			delete(k.given, t)
		}
	}
}

// IssuerOf returns the process that keeps the tokens of a server, by rendezvous hash, "" where
// there are no processes. A change of the processes moves only the servers of those that left or
// joined.
func IssuerOf(server assign.ServerID, processes []assign.ProcessID) assign.ProcessID {
	var keeper assign.ProcessID
	var highest uint64
	for _, p := range processes {
		score := xxhash.Sum64String(string(server) + "\x00" + string(p))
		if keeper == "" || score > highest || score == highest && p < keeper {
			keeper, highest = p, score
		}
	}
	return keeper
}
