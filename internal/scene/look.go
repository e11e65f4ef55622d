package scene

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/admin"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// state returns the state of an entry process. It returns false if the process does not answer.
func (e *entryProcess) state(ctx context.Context) (peer.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := e.link.State(ctx, peer.StateRequest{})
	return answer.State, err == nil
}

// ready reports whether the readiness check that the load balancer uses succeeds.
func (e *entryProcess) ready() bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + e.settings.CallerAddress.String() + "/ready")
	request.Header.SetConnectionClose()
	err := fasthttp.DoTimeout(request, response, queryTimeout)
	return err == nil && response.StatusCode() == http.StatusOK
}

// answers reports whether a backend server answers within queryTimeout.
func answers(address netip.AddrPort) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address.String() + "/control/health")
	request.Header.SetConnectionClose()
	return fasthttp.DoTimeout(request, response, queryTimeout) == nil
}

// wonTerm returns the highest term that the process has won and not lost, or 0 if there is none.
func (e *entryProcess) wonTerm(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := e.link.Events(ctx, peer.EventsRequest{})
	if err != nil {
		return 0
	}
	term := uint64(0)
	for _, v := range answer.Events {
		switch v.Kind {
		case event.TermWon:
			term = v.Version
		case event.TermLost:
			term = 0
		default:
		}
	}
	return term
}

// decider returns the reachable process that has won the highest term, or nil if there is none.
func (d *deployment) decider(ctx context.Context) *entryProcess {
	var decider *entryProcess
	highest := uint64(0)
	for _, e := range d.reachable() {
		if term := e.wonTerm(ctx); term > highest {
			decider, highest = e, term
		}
	}
	return decider
}

// awaitDecider waits until a reachable process is the decider.
func (d *deployment) awaitDecider(ctx context.Context) (*entryProcess, error) {
	var decider *entryProcess
	err := await(ctx, func() (bool, error) {
		decider = d.decider(ctx)
		return decider != nil, nil
	})
	return decider, err
}

// table returns the newest table of the reachable processes, or nil if there is none.
func (d *deployment) table(ctx context.Context) *assign.Table {
	var newest *assign.Table
	for _, e := range d.reachable() {
		s, ok := e.state(ctx)
		if ok && s.Table != nil && (newest == nil || s.Table.Version > newest.Version) {
			newest = s.Table
		}
	}
	return newest
}

// ownerOf waits until a running server owns the key, and returns that server.
func (d *deployment) ownerOf(ctx context.Context, key string) (assign.ServerID, error) {
	service := d.settings.exclusive()
	if service == nil {
		return "", ErrRun.New("no service of the scenario has owners; start ledger or charge-log servers")
	}
	var owner assign.ServerID
	err := await(ctx, func() (bool, error) {
		t := d.table(ctx)
		if t == nil {
			return false, nil
		}
		holding, ok := t.Lookup(service.ID, assign.Hash(key))
		if !ok || !holding.Open {
			return false, nil
		}
		owner = holding.Owner()
		return d.servers[owner].alive(), nil
	})
	return owner, err
}

// allReady reports whether every running process is ready, can record bookings and has a table in which all keys
// have an open owner.
func (d *deployment) allReady(ctx context.Context) bool {
	for _, e := range d.running() {
		s, ok := e.state(ctx)
		if !ok || s.Table == nil || !allOpen(s.Table) || !recordersKnown(s.Table) || !e.ready() {
			return false
		}
		status, err := admin.NewClient(e.settings.AdminAddress).Status()
		if err != nil || !status.Recording {
			return false
		}
	}
	return true
}

// recordersKnown reports whether the incarnations of all recorders are known. Until then, up to two seconds in a
// new cell, no booking can be reserved.
func recordersKnown(t *assign.Table) bool {
	for _, b := range t.Buckets {
		if len(b.Recorders) == 0 || len(b.Incarnations) != len(b.Recorders) {
			return false
		}
	}
	return len(t.Buckets) > 0
}

func allOpen(t *assign.Table) bool {
	for _, holdings := range t.Services {
		for _, h := range holdings {
			if !h.Open {
				return false
			}
		}
	}
	return true
}

// inForce returns the version of a team's configuration that a process has in force, and whether the process
// answered.
func (e *entryProcess) inForce(ctx context.Context, team string) (uint64, bool) {
	s, ok := e.state(ctx)
	for _, t := range s.Teams {
		if t.Name == team {
			return t.Version, ok
		}
	}
	return 0, ok
}

// stale reports whether the process serves calls with an older configuration of the team than the given version.
// It reads the version before and after the readiness check, so that a process that updates in between is not
// reported.
func (e *entryProcess) stale(ctx context.Context, team string, version uint64) (uint64, bool) {
	before, answered := e.inForce(ctx, team)
	if !answered || before >= version || !e.ready() {
		return before, false
	}
	after, answered := e.inForce(ctx, team)
	return after, answered && after < version
}

// since returns the elapsed time, rounded for the report.
func since(t time.Time) time.Duration {
	return time.Since(t).Round(time.Millisecond)
}
