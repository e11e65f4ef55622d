package node

import (
	"bytes"
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// Errors of the operator API.
var (
	namespace = errorx.NewNamespace("node")
	// ErrNoDecider is the type of errors of operations that need a decider while none is known or reachable.
	ErrNoDecider = namespace.NewType("no-decider", errorx.Temporary())
	// ErrNoServer is the type of errors of operations on a server that is not in the configuration.
	ErrNoServer = namespace.NewType("no-server")
	// ErrInvalid is the type of errors of an invalid configuration. Nothing was written.
	ErrInvalid = namespace.NewType("invalid")
	// ErrConflict is the type of errors of a configuration that another operator has changed in the meantime.
	// Nothing was written.
	ErrConflict = namespace.NewType("conflict")
	// ErrUndecided is the type of errors of a change that may or may not take effect later.
	ErrUndecided = namespace.NewType("undecided", errorx.Timeout())
	// ErrStore is the type of errors of an object store that does not answer. Nothing was written.
	ErrStore = namespace.NewType("store", errorx.Temporary())
)

// Times of operator requests.
const (
	operationRetryInterval = 100 * time.Millisecond
	eventsTimeout          = time.Second
)

// Config returns a team's stored configuration and its version. A team without a configuration has version
// 0. It returns ErrStore.
func (n *Node) Config(ctx context.Context, team string) ([]byte, uint64, error) {
	object, err := n.api.Get(ctx, teamPrefix+team)
	switch store.KindOf(err) {
	case store.NoError:
		return object.Value, object.Version, nil
	case store.NotFound:
		return nil, 0, nil
	case store.Conflict, store.Limited, store.TooOld, store.Unknown, store.Down:
	}
	return nil, 0, ErrStore.Wrap(err, "cannot read the configuration; retry when the platform answers")
}

// SetConfig replaces a team's configuration if its version is still ifVersion, and waits until a majority of
// the electors has it in force. It returns the new version, or ErrInvalid, ErrConflict, ErrUndecided or
// ErrStore.
func (n *Node) SetConfig(ctx context.Context, team string, text []byte, ifVersion uint64) (uint64, error) {
	if err := n.checkConfig(ctx, team, text); err != nil {
		return 0, err
	}
	version, err := n.putConfig(ctx, team, text, ifVersion)
	if err != nil {
		return 0, err
	}
	n.ring.Add(event.Event{Kind: event.Configuration, Version: version, Detail: "written " + team})
	if err := n.awaitInForce(ctx, peer.Team{Name: team, Version: version, Text: text}); err != nil {
		return version, err
	}
	return version, nil
}

// checkConfig validates the configuration, also against the configurations of other teams.
func (n *Node) checkConfig(ctx context.Context, team string, text []byte) error {
	texts := []conf.Text{{Name: teamPrefix + team, Team: team, Content: string(text)}}
	objects, _, err := n.api.List(ctx, teamPrefix)
	if err != nil {
		return ErrStore.Wrap(err, "cannot read the configurations of other teams; retry when the platform answers")
	}
	for _, o := range objects {
		if o.Name != teamPrefix+team {
			texts = append(texts, conf.Text{Name: o.Name, Team: o.Name[len(teamPrefix):], Content: string(o.Value)})
		}
	}
	for _, f := range conf.Check(texts) {
		if f.File == teamPrefix+team {
			return ErrInvalid.New("%s", f)
		}
	}
	return nil
}

// putConfig writes the object. If an answer is lost, it sends the same conditional write again, which either
// takes effect or conflicts with the version that the first write created.
func (n *Node) putConfig(ctx context.Context, team string, text []byte, ifVersion uint64) (uint64, error) {
	answerLost := false
	for {
		version, err := n.api.Put(ctx, teamPrefix+team, text, ifVersion)
		switch store.KindOf(err) {
		case store.NoError:
			return version, nil
		case store.Conflict:
			current, stored, readErr := n.Config(ctx, team)
			if readErr == nil && answerLost && bytes.Equal(current, text) {
				return stored, nil
			}
			if readErr == nil && answerLost {
				// The write whose answer was lost may have taken effect and been replaced in the meantime.
				return 0, ErrUndecided.New("version %d is stored; this change may have been in force before it; read it, merge and repeat", stored)
			}
			if !answerLost {
				return 0, ErrConflict.New("version %d is stored, not %d; read it, merge and repeat", store.CurrentVersion(err), ifVersion)
			}
		case store.Unknown:
			answerLost = true
		case store.Down, store.Limited:
			if !answerLost {
				return 0, ErrStore.Wrap(err, "cannot write the configuration; retry when the platform answers")
			}
		case store.NotFound, store.TooOld:
			return 0, ErrStore.Wrap(err, "cannot write the configuration; retry the change")
		}
		sleep(ctx, operationRetryInterval)
		if ctx.Err() != nil {
			return 0, ErrUndecided.New("the write got no answer and may still take effect; read the configuration before the next change")
		}
	}
}

// awaitInForce notifies the decider of the version until a majority of the electors has it in force.
func (n *Node) awaitInForce(ctx context.Context, team peer.Team) error {
	for {
		answer := n.notifyDecider(ctx, team)
		if 2*answer.InForce > answer.Electors {
			return nil
		}
		sleep(ctx, operationRetryInterval)
		if ctx.Err() != nil {
			return ErrUndecided.New("version %d is stored, but no majority of the electors has confirmed it; look at status before the next change", team.Version)
		}
	}
}

func (n *Node) notifyDecider(ctx context.Context, team peer.Team) peer.ChangedAnswer {
	request := peer.ChangedRequest{Header: n.header(), Team: team}
	decider := n.status.Load().Decider
	if decider == n.settings.Name {
		return n.Changed(request)
	}
	l := n.links[decider]
	if l == nil {
		return peer.ChangedAnswer{}
	}
	answer, err := l.traffic.Changed(ctx, request)
	if err != nil {
		return peer.ChangedAnswer{}
	}
	return answer
}

// DrainServer requests the decider to drain a server, or to cancel its drain. It returns ErrNoDecider or
// ErrNoServer.
func (n *Node) DrainServer(ctx context.Context, id assign.ServerID, cancel bool) error {
	request := peer.DrainRequest{Header: n.header(), Server: id, Cancel: cancel}
	decider := n.status.Load().Decider
	answer := peer.DrainAnswer{}
	switch l := n.links[decider]; {
	case decider == n.settings.Name:
		answer = n.Drain(request)
	case l != nil:
		var err error
		if answer, err = l.traffic.Drain(ctx, request); err != nil {
			return ErrNoDecider.Wrap(err, "cannot reach the decider; retry when status shows one")
		}
	default:
		return ErrNoDecider.New("no decider is known; retry when status shows one")
	}
	if !answer.Accepted {
		return ErrNoServer.New("server %q is not in the configuration in force; look at status for the names", id)
	}
	return nil
}

// Timeline returns the control events of all processes merged into one timeline, and the processes that did
// not answer.
func (n *Node) Timeline(ctx context.Context) ([]event.Event, []assign.ProcessID) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	rings := [][]event.Event{n.ring.Events()}
	var silent []assign.ProcessID
	for _, p := range n.settings.Others() {
		answer, err := n.links[p.Name].traffic.Events(ctx, peer.EventsRequest{Header: n.header()})
		if err != nil {
			silent = append(silent, p.Name)
			continue
		}
		rings = append(rings, answer.Events)
	}
	return event.Merge(rings...), silent
}
