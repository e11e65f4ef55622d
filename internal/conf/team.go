package conf

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Class -transform=kebab -text -output=class_enumer.go

// Class determines how a call is queued and whether it needs a token.
type Class int

const (
	// Booking is a call that runs at most once.
	Booking Class = iota
	// Short is a call of ordinary length.
	Short
	// Long is a call that runs many times longer than others. It needs a token for its server.
	Long
)

// Team holds the configuration of one team.
type Team struct {
	Name    string
	Contact string
	// Services are sorted by ID.
	Services []Service
}

// Service is one service of a team and the servers that run it.
type Service struct {
	ID assign.ServiceID
	// Exclusive reports whether each key has one owning server.
	Exclusive bool
	// Key is the place of the key in a call. It is nil if the service has no key.
	Key     KeySource
	Fencing assign.Fencing
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// Connections is the number of connections that one server accepts from all entry processes
	// together.
	Connections int
	// Servers are sorted by ID.
	Servers []assign.Server
	// ChurnBudget is the share of the service's hash space that rebalancing may move in one minute,
	// from 0 to 1. Moves after the loss of a server and drains are not counted.
	ChurnBudget float64
	// Operations are sorted by path prefix, longest first, then by method.
	Operations []Operation
}

// Operation is one kind of call to a service.
type Operation struct {
	Name   string
	Method string
	// Prefix is a path prefix of whole segments. It starts with a slash and ends without one, except
	// for the prefix "/", which matches every path.
	Prefix string
	// Repeatable reports whether a call may run more than once. It is false for bookings.
	Repeatable bool
	Class      Class
	// Timeout is the timeout of a call whose caller sets none, and the upper limit for those that do.
	Timeout time.Duration
}

// Service returns the service with the given ID. It reports false if the team has no such service.
func (t *Team) Service(id assign.ServiceID) (*Service, bool) {
	for i := range t.Services {
		if t.Services[i].ID == id {
			return &t.Services[i], true
		}
	}
	return nil, false
}

// ParseTeam reads the file of the given team. The name is the file name and is used in faults only. If
// there are faults, the value is the zero Team.
func ParseTeam(team, name, text string) (Team, []Fault) {
	r := &report{file: name}
	var t Team
	doc, ok := readDocument(r, text)
	if ok {
		t = buildTeam(r, team, doc)
	}
	if !r.empty() {
		return Team{}, r.sorted()
	}
	return t, nil
}
