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

// state returns what an entry process holds. It reports false where it does not answer.
func (e *entryProcess) state(ctx context.Context) (peer.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	answer, err := e.link.State(ctx, peer.StateRequest{})
	return answer.State, err == nil
}

// ready reports whether the process tells the balancer that it serves.
func (e *entryProcess) ready() bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + e.settings.CallerAddress.String() + "/ready")
	request.Header.SetConnectionClose()
	err := fasthttp.DoTimeout(request, response, lookTime)
	return err == nil && response.StatusCode() == http.StatusOK
}

// answers reports whether a backend server answers within the time of a look.
func answers(address netip.AddrPort) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address.String() + "/control/health")
	request.Header.SetConnectionClose()
	return fasthttp.DoTimeout(request, response, lookTime) == nil
}

// leads returns the highest term that the process won and has not lost, 0 for none.
func (e *entryProcess) leads(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
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

// decider returns the reachable process that won the highest term, nil where none leads.
func (d *deployment) decider(ctx context.Context) *entryProcess {
	var decider *entryProcess
	highest := uint64(0)
	for _, e := range d.reachable() {
		if term := e.leads(ctx); term > highest {
			decider, highest = e, term
		}
	}
	return decider
}

// awaitDecider waits for a decider.
func (d *deployment) awaitDecider(ctx context.Context) (*entryProcess, error) {
	var decider *entryProcess
	err := await(ctx, func() (bool, error) {
		decider = d.decider(ctx)
		return decider != nil, nil
	})
	return decider, err
}

// table returns the newest table of the reachable processes, nil where there is none.
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

// ownerOf waits until a server that runs owns the key, and returns it.
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

// started reports whether every process serves and knows an open owner for each key.
func (d *deployment) started(ctx context.Context) bool {
	for _, e := range d.running() {
		s, ok := e.state(ctx)
		if !ok || s.Table == nil || !allOpen(s.Table) || !recorded(s.Table) || !e.ready() {
			return false
		}
		status, err := admin.NewClient(e.settings.AdminAddress).Status()
		if err != nil || !status.Recording {
			return false
		}
	}
	return true
}

// recorded reports whether the runs of all recorders are known. Before that, which is up to two
// seconds in a new cell, no booking can be reserved.
func recorded(t *assign.Table) bool {
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

// inForce returns the version of a team that a process has in force, and whether it answered.
func (e *entryProcess) inForce(ctx context.Context, team string) (uint64, bool) {
	s, ok := e.state(ctx)
	for _, t := range s.Teams {
		if t.Name == team {
			return t.Version, ok
		}
	}
	return 0, ok
}

// stale reports whether the process serves calls with an older version of the team than the given
// one. It asks for the version before and after it asks whether the process serves, so that a
// process which changes meanwhile is not blamed.
func (e *entryProcess) stale(ctx context.Context, team string, version uint64) (uint64, bool) {
	before, answered := e.inForce(ctx, team)
	if !answered || before >= version || !e.ready() {
		return before, false
	}
	after, answered := e.inForce(ctx, team)
	return after, answered && after < version
}

// since returns the time that has passed, for the report.
func since(t time.Time) time.Duration {
	return time.Since(t).Round(time.Millisecond)
}
