package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Times of tokens for long work.
const (
	tokenTime = 300 * time.Millisecond
	tokenWait = 50 * time.Millisecond
)

// keepers gives out the tokens of the servers that this process keeps, and asks other keepers for
// theirs. It implements entry.Tokens.
type keepers struct {
	node *Node

	mu        sync.Mutex
	processes []assign.ProcessID
	longest   time.Duration
	tokens    map[assign.ServerID]int
	kept      map[assign.ServerID]*limit.Issuer
	uses      map[assign.ServerID]map[limit.Token]time.Time
	number    uint64
}

func newKeepers(n *Node) *keepers {
	return &keepers{
		node: n,
		kept: make(map[assign.ServerID]*limit.Issuer),
		uses: make(map[assign.ServerID]map[limit.Token]time.Time),
	}
}

// update takes over the processes of a table, and the number of tokens of each server. Servers
// whose keeper has changed get a report of the tokens in use here.
func (k *keepers) update(processes []assign.ProcessID, tokens map[assign.ServerID]int, longest time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Equal(processes, k.processes) && longest == k.longest && len(tokens) == len(k.tokens) {
		return
	}
	before := k.processes
	k.processes, k.tokens, k.longest = processes, tokens, longest
	for id := range tokens {
		keeper := limit.IssuerOf(id, processes)
		k.keep(id, keeper == k.node.settings.Name)
		if keeper != limit.IssuerOf(id, before) || k.kept[id] != nil {
			k.report(id, keeper)
		}
	}
}

// keep starts or ends the keeping of a server's tokens.
func (k *keepers) keep(id assign.ServerID, own bool) {
	now := k.node.clock.Now()
	switch {
	case !own:
		delete(k.kept, id)
	case k.kept[id] == nil:
		config := limit.IssuerConfig{Tokens: k.tokens[id], MaxTimeout: k.longest, Margin: k.node.settings.Timing.Margin}
		k.kept[id] = limit.NewIssuer(now, config, k.processes)
	default:
		k.kept[id].Step(now, limit.ProcessesChanged{Processes: k.processes})
	}
}

func (k *keepers) report(id assign.ServerID, keeper assign.ProcessID) {
	now := k.node.clock.Now()
	report := limit.LongReported{Process: k.node.settings.Name, Incarnation: k.node.incarnation}
	for token, ends := range k.uses[id] {
		report.Uses = append(report.Uses, limit.Use{Token: token, Left: ends.Sub(now)})
	}
	if keeper == k.node.settings.Name {
		k.kept[id].Step(now, report)
		return
	}
	task := &reportTask{node: k.node, to: keeper, request: peer.TokenRequest{Server: id, Reported: &report}}
	k.node.group.Go(task.run)
}

// reportTask tells another keeper the tokens in use here. A lost report makes that keeper wait for
// the longest long work.
type reportTask struct {
	node    *Node
	to      assign.ProcessID
	request peer.TokenRequest
}

func (t *reportTask) run() {
	l := t.node.links[t.to]
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.node.ctx, tokenTime)
	defer cancel()
	t.request.Header = t.node.header()
	_, _ = l.traffic.Token(ctx, t.request)
}

// answer handles a message to the keeper of a server.
func (k *keepers) answer(request peer.TokenRequest) peer.TokenAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := peer.TokenAnswer{Header: k.node.header(), Wait: tokenWait}
	keeper := k.kept[request.Server]
	if keeper == nil {
		return answer
	}
	now := k.node.clock.Now()
	var actions []limit.IssuerAction
	switch {
	case request.Asked != nil:
		actions = keeper.Step(now, *request.Asked)
	case request.Returned != nil:
		actions = keeper.Step(now, *request.Returned)
	case request.Reported != nil:
		actions = keeper.Step(now, *request.Reported)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case limit.AnswerToken:
			if request.Asked != nil && a.Token == request.Asked.Token {
				answer.Given = a.Granted
				answer.Wait = a.Wait
			}
		}
	}
	return answer
}

// Acquire implements entry.Tokens.
func (k *keepers) Acquire(ctx context.Context, server assign.ServerID, length time.Duration) (func(), error) {
	token := k.next()
	for {
		sent := k.node.clock.Now()
		answer := k.ask(ctx, server, peer.TokenRequest{Server: server, Asked: &limit.TokenAsked{Token: token, Length: length}})
		if answer.Given {
			k.use(server, token, sent.Add(length))
			return func() { k.release(server, token) }, nil
		}
		wait(ctx, max(answer.Wait, pollInterval))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func (k *keepers) next() limit.Token {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number++
	return limit.Token{Process: k.node.settings.Name, Incarnation: k.node.incarnation, Number: k.number}
}

// ask sends a message to the present keeper of the server.
func (k *keepers) ask(ctx context.Context, server assign.ServerID, request peer.TokenRequest) peer.TokenAnswer {
	k.mu.Lock()
	keeper := limit.IssuerOf(server, k.processes)
	k.mu.Unlock()
	request.Header = k.node.header()
	if keeper == k.node.settings.Name {
		return k.answer(request)
	}
	l := k.node.links[keeper]
	if l == nil {
		return peer.TokenAnswer{Wait: tokenWait}
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTime)
	defer cancel()
	answer, err := l.traffic.Token(ctx, request)
	if err != nil {
		return peer.TokenAnswer{Wait: tokenWait}
	}
	return answer
}

func (k *keepers) use(server assign.ServerID, token limit.Token, ends time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.uses[server] == nil {
		k.uses[server] = make(map[limit.Token]time.Time)
	}
	k.uses[server][token] = ends
}

func (k *keepers) release(server assign.ServerID, token limit.Token) {
	k.mu.Lock()
	delete(k.uses[server], token)
	k.mu.Unlock()
	task := &returnTask{keepers: k, server: server, token: token}
	k.node.group.Go(task.run)
}

// returnTask gives a token back. A lost message makes its lease lapse.
type returnTask struct {
	keepers *keepers
	server  assign.ServerID
	token   limit.Token
}

func (t *returnTask) run() {
	returned := limit.TokenReturned{Token: t.token}
	t.keepers.ask(t.keepers.node.ctx, t.server, peer.TokenRequest{Server: t.server, Returned: &returned})
}
