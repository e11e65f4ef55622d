package entry

import (
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// Service is a service with its runtime state in this process.
type Service struct {
	conf.Service
	// Calls holds the run times of the operations and the retry budget.
	Calls *limit.Calls
	// Picker picks a server for each call. It is nil for exclusive services.
	Picker *pick.SharedPicker
	// Members are the servers of the service.
	Members map[assign.ServerID]*Server
}

// View holds the table and the services that the pipeline uses to route calls. It is immutable once
// published, except for the runtime state behind its pointers.
type View struct {
	// Table is the current assignment of keys, nil before the first one.
	Table *assign.Table
	// Services are the services of all teams.
	Services map[assign.ServiceID]*Service
	// Versions are the versions of the current team configurations by team.
	Versions map[string]uint64

	// replaced is closed when a later view is published.
	replaced chan struct{}
}

// target is the server that an attempt of a call is sent to.
type target struct {
	server *Server
	// holding is set for exclusive services.
	holding assign.Holding
}

// hasOwner reports whether the server owns the key of the call. Fencing numbers start at 1, so 0 means
// that there is no holding.
func (t target) hasOwner() bool {
	return t.holding.Base != 0
}

// sameOwner reports whether the view assigns the key to the same owner under the same fencing number.
func (v *View) sameOwner(service assign.ServiceID, hash uint64, holding assign.Holding) bool {
	if v.Table == nil {
		return false
	}
	h, ok := v.Table.Lookup(service, hash)
	return ok && h.Open && h.Fence() == holding.Fence() && h.Owner() == holding.Owner()
}
