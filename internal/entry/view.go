package entry

import (
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// Service is one service as this process uses it.
type Service struct {
	conf.Service
	// Calls holds the run times and the retry budget.
	Calls *limit.Calls
	// Picker picks servers where no server owns keys. It is nil for exclusive services.
	Picker *pick.SharedPicker
	// Members are the servers by name.
	Members map[assign.ServerID]*Server
}

// View is everything that the pipeline needs to route a call. It is immutable once published,
// except for the runtime state behind its pointers.
type View struct {
	// Table is the assignment in force, nil before the first.
	Table *assign.Table
	// Services are the services of all teams.
	Services map[assign.ServiceID]*Service
	// Versions are the versions of the team configurations in force.
	Versions map[string]uint64

	// replaced is closed when a later view is published.
	replaced chan struct{}
}

// target is where an attempt of a call goes.
type target struct {
	server *Server
	// holding is set for exclusive services.
	holding assign.Holding
}

// owned reports whether the call goes to the owner of its key. Fencing numbers begin at 1.
func (t target) owned() bool {
	return t.holding.Base != 0
}

// same reports whether the view still sends the key to the same owner under the same fence.
func (v *View) same(service assign.ServiceID, hash uint64, holding assign.Holding) bool {
	if v.Table == nil {
		return false
	}
	h, ok := v.Table.Lookup(service, hash)
	return ok && h.Open && h.Fence() == holding.Fence() && h.Owner() == holding.Owner()
}
