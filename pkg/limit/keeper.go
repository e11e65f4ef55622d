package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// IssuerConfig configures an Issuer. Zero values mean the defaults.
type IssuerConfig struct {
	// Tokens is the number of tokens of the server; 2 by default, for a server with 6 slots.
	Tokens int
	// MaxTimeout is the longest timeout of any long operation. A new issuer grants no token for this long
	// unless all processes report earlier.
	MaxTimeout time.Duration
	// Margin is the clock margin of the leases; lease.DefaultMargin by default.
	Margin lease.Margin
}

// Token identifies a token that a process asks for or holds. Number is unique within one incarnation.
type Token struct {
	Process     assign.ProcessID
	Incarnation uint64
	Number      uint64
}

// IssuerEvent is an input of an issuer: TokenAsked, TokenReturned, LongReported, ProcessesChanged
// or IssuerTick.
//
//sumtype:decl
type IssuerEvent interface{ issuerEvent() }

// IssuerAction is an output of an issuer: AnswerToken.
//
//sumtype:decl
type IssuerAction interface{ issuerAction() }

// TokenAsked is a request for a token. Repeating it with the same Token is idempotent and renews the
// lease.
type TokenAsked struct {
	Token Token
	// Length is the timeout of the operation.
	Length time.Duration
}

// TokenReturned returns a token before its lease ends.
type TokenReturned struct {
	Token Token
}

// Use is a token in use, as its holder reports it to a new issuer.
type Use struct {
	Token Token
	// Left is the time until the holder's lease ends.
	Left time.Duration
}

// LongReported lists the long work that a process has at the server. A process sends it when it starts
// to use the table that determines this issuer, and from then on asks no earlier issuer.
type LongReported struct {
	Process     assign.ProcessID
	Incarnation uint64
	Uses        []Use
}

// ProcessesChanged has the processes of a new table.
type ProcessesChanged struct {
	Processes []assign.ProcessID
}

// IssuerTick only removes expired leases, as every event does.
type IssuerTick struct{}

// AnswerToken answers TokenAsked.
type AnswerToken struct {
	Token Token
	// Granted reports whether the token is granted for Length. The holder counts Length from a time before
	// it sent the request.
	Granted bool
	Length  time.Duration
	// Wait is how long to wait before the next request if the token was not granted.
	Wait time.Duration
}

func (TokenAsked) issuerEvent()       {}
func (TokenReturned) issuerEvent()    {}
func (LongReported) issuerEvent()     {}
func (ProcessesChanged) issuerEvent() {}
func (IssuerTick) issuerEvent()       {}
func (AnswerToken) issuerAction()     {}

// retryWait is the Wait of a refused request. Long work runs much longer than that.
const retryWait = 50 * time.Millisecond

// defaultTokens is a third of the slots of a server with 6 slots.
const defaultTokens = 2

// Issuer grants the tokens for long work at one server to all processes.
type Issuer struct {
	config  IssuerConfig
	granted map[Token]*lease.Granted
	// unreported are the processes that have not reported their long work since this issuer took over.
	// They are ignored after recoveryEnd, when the leases of earlier issuers have expired.
	unreported  map[assign.ProcessID]bool
	recoveryEnd time.Time
}

// NewIssuer returns an issuer that took over at now. It grants no token until every process has
// reported its long work, or the longest timeout has passed.
func NewIssuer(now time.Time, c IssuerConfig, processes []assign.ProcessID) *Issuer {
	if c.Tokens <= 0 {
		c.Tokens = defaultTokens
	}
	if c.Margin == (lease.Margin{}) {
		c.Margin = lease.DefaultMargin
	}
	i := &Issuer{
		config:      c,
		granted:     map[Token]*lease.Granted{},
		unreported:  map[assign.ProcessID]bool{},
		recoveryEnd: now.Add(c.Margin.AddTo(c.MaxTimeout)),
	}
	for _, p := range processes {
		i.unreported[p] = true
	}
	return i
}

// Step handles an event.
func (i *Issuer) Step(now time.Time, e IssuerEvent) []IssuerAction {
	i.removeExpired(now)
	switch e := e.(type) {
	case TokenAsked:
		return []IssuerAction{i.grant(now, e)}
	case TokenReturned:
		delete(i.granted, e.Token)
	case LongReported:
		i.recordReport(now, e)
	case ProcessesChanged, IssuerTick:
		// The unreported processes stay the same: a process that left the table without a report may still
		// have long work at the server, and one that joined has no token of an earlier issuer.
	}
	return nil
}

// InUse returns the number of granted tokens whose leases have not expired.
func (i *Issuer) InUse(now time.Time) int {
	i.removeExpired(now)
	return len(i.granted)
}

func (i *Issuer) grant(now time.Time, e TokenAsked) AnswerToken {
	// The next issuer waits only for the longest timeout, so no token may last longer.
	length := min(e.Length, i.config.MaxTimeout)
	g, renewed := i.granted[e.Token]
	if !renewed {
		if i.recovering(now) || len(i.granted) >= i.config.Tokens {
			return AnswerToken{Token: e.Token, Wait: retryWait}
		}
		g = &lease.Granted{}
		i.granted[e.Token] = g
	}
	g.Extend(now, length, i.config.Margin)
	return AnswerToken{Token: e.Token, Granted: true, Length: length}
}

// recovering reports whether long work may exist that was not reported to this issuer yet.
func (i *Issuer) recovering(now time.Time) bool {
	return len(i.unreported) > 0 && now.Before(i.recoveryEnd)
}

func (i *Issuer) recordReport(now time.Time, e LongReported) {
	delete(i.unreported, e.Process)
	for _, u := range e.Uses {
		g, ok := i.granted[u.Token]
		if !ok {
			g = &lease.Granted{}
			i.granted[u.Token] = g
		}
		g.Extend(now, u.Left, i.config.Margin)
	}
}

func (i *Issuer) removeExpired(now time.Time) {
	for t, g := range i.granted {
		if g.Lapsed(now) {
			delete(i.granted, t)
		}
	}
}

// IssuerOf returns the process that issues the tokens of a server, chosen by rendezvous hashing, or ""
// if there are no processes. A change of the processes moves only the servers of the processes that left
// or joined.
func IssuerOf(server assign.ServerID, processes []assign.ProcessID) assign.ProcessID {
	var issuer assign.ProcessID
	var highest uint64
	for _, p := range processes {
		score := xxhash.Sum64String(string(server) + "\x00" + string(p))
		if issuer == "" || score > highest || score == highest && p < issuer {
			issuer, highest = p, score
		}
	}
	return issuer
}
