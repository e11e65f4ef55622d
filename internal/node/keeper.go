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

// Times of requests for tokens of long work.
const (
	tokenTimeout       = 300 * time.Millisecond
	tokenRetryInterval = 50 * time.Millisecond
)

// issuers issues the tokens for long work on the servers that this process is the issuer of, and requests the
// tokens of other servers from their issuers. It implements entry.Tokens.
type issuers struct {
	node *Node

	mu          sync.Mutex
	processes   []assign.ProcessID
	maxTimeout  time.Duration
	tokenCounts map[assign.ServerID]int
	own         map[assign.ServerID]*limit.Issuer
	uses        map[assign.ServerID]map[limit.Token]time.Time
	lastNumber  uint64
}

func newIssuers(n *Node) *issuers {
	return &issuers{
		node: n,
		own:  make(map[assign.ServerID]*limit.Issuer),
		uses: make(map[assign.ServerID]map[limit.Token]time.Time),
	}
}

// update replaces the processes, and the number of tokens of each server. If a server's issuer has changed,
// this process reports its tokens in use to the new issuer.
func (s *issuers) update(processes []assign.ProcessID, tokenCounts map[assign.ServerID]int, maxTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(processes, s.processes) && maxTimeout == s.maxTimeout && len(tokenCounts) == len(s.tokenCounts) {
		return
	}
	previous := s.processes
	s.processes, s.tokenCounts, s.maxTimeout = processes, tokenCounts, maxTimeout
	for id := range tokenCounts {
		issuer := limit.IssuerOf(id, processes)
		s.setOwn(id, issuer == s.node.settings.Name)
		if issuer != limit.IssuerOf(id, previous) || s.own[id] != nil {
			s.report(id, issuer)
		}
	}
}

// setOwn starts or stops issuing a server's tokens in this process.
func (s *issuers) setOwn(id assign.ServerID, own bool) {
	now := s.node.clock.Now()
	switch {
	case !own:
		delete(s.own, id)
	case s.own[id] == nil:
		config := limit.IssuerConfig{Tokens: s.tokenCounts[id], MaxTimeout: s.maxTimeout, Margin: s.node.settings.Timing.Margin}
		s.own[id] = limit.NewIssuer(now, config, s.processes)
	default:
		s.own[id].Step(now, limit.ProcessesChanged{Processes: s.processes})
	}
}

func (s *issuers) report(id assign.ServerID, issuer assign.ProcessID) {
	now := s.node.clock.Now()
	report := limit.LongReported{Process: s.node.settings.Name, Incarnation: s.node.incarnation}
	for token, ends := range s.uses[id] {
		report.Uses = append(report.Uses, limit.Use{Token: token, Left: ends.Sub(now)})
	}
	if issuer == s.node.settings.Name {
		s.own[id].Step(now, report)
		return
	}
	task := &reportTask{node: s.node, to: issuer, request: peer.TokenRequest{Server: id, Reported: &report}}
	s.node.group.Go(task.run)
}

// reportTask reports the tokens in use by this process to another issuer. If the report is lost, the issuer
// waits for the longest timeout of long work.
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
	ctx, cancel := context.WithTimeout(t.node.ctx, tokenTimeout)
	defer cancel()
	t.request.Header = t.node.header()
	_, _ = l.traffic.Token(ctx, t.request)
}

// answer handles a request to the issuer of a server.
func (s *issuers) answer(request peer.TokenRequest) peer.TokenAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := peer.TokenAnswer{Header: s.node.header(), Wait: tokenRetryInterval}
	issuer := s.own[request.Server]
	if issuer == nil {
		return answer
	}
	now := s.node.clock.Now()
	var actions []limit.IssuerAction
	switch {
	case request.Asked != nil:
		actions = issuer.Step(now, *request.Asked)
	case request.Returned != nil:
		actions = issuer.Step(now, *request.Returned)
	case request.Reported != nil:
		actions = issuer.Step(now, *request.Reported)
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
func (s *issuers) Acquire(ctx context.Context, server assign.ServerID, length time.Duration) (func(), error) {
	token := s.newToken()
	for {
		sent := s.node.clock.Now()
		answer := s.ask(ctx, server, peer.TokenRequest{Server: server, Asked: &limit.TokenAsked{Token: token, Length: length}})
		if answer.Given {
			s.recordUse(server, token, sent.Add(length))
			return func() { s.release(server, token) }, nil
		}
		sleep(ctx, max(answer.Wait, pollInterval))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func (s *issuers) newToken() limit.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return limit.Token{Process: s.node.settings.Name, Incarnation: s.node.incarnation, Number: s.lastNumber}
}

// ask sends a request to the current issuer of the server.
func (s *issuers) ask(ctx context.Context, server assign.ServerID, request peer.TokenRequest) peer.TokenAnswer {
	s.mu.Lock()
	issuer := limit.IssuerOf(server, s.processes)
	s.mu.Unlock()
	request.Header = s.node.header()
	if issuer == s.node.settings.Name {
		return s.answer(request)
	}
	l := s.node.links[issuer]
	if l == nil {
		return peer.TokenAnswer{Wait: tokenRetryInterval}
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	answer, err := l.traffic.Token(ctx, request)
	if err != nil {
		return peer.TokenAnswer{Wait: tokenRetryInterval}
	}
	return answer
}

func (s *issuers) recordUse(server assign.ServerID, token limit.Token, ends time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uses[server] == nil {
		s.uses[server] = make(map[limit.Token]time.Time)
	}
	s.uses[server][token] = ends
}

func (s *issuers) release(server assign.ServerID, token limit.Token) {
	s.mu.Lock()
	delete(s.uses[server], token)
	s.mu.Unlock()
	task := &returnTask{issuers: s, server: server, token: token}
	s.node.group.Go(task.run)
}

// returnTask returns a token. If the message is lost, the token's lease expires.
type returnTask struct {
	issuers *issuers
	server  assign.ServerID
	token   limit.Token
}

func (t *returnTask) run() {
	returned := limit.TokenReturned{Token: t.token}
	t.issuers.ask(t.issuers.node.ctx, t.server, peer.TokenRequest{Server: t.server, Returned: &returned})
}
