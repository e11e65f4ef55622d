package wire

import (
	"errors"
	"slices"
)

//go:generate enumer -type=Match -transform=kebab -output=match_enumer.go

// Match tells whether a response belongs to the request that was sent last on its connection. A faulty server may send a
// response again, late, where the next one on the connection is expected.
type Match int

const (
	// Own means that the response names the request. The request must not have been sent on the connection before, see
	// Hooks.Attempts.
	Own Match = iota
	// Other means that the response names another request. It is skipped.
	Other
	// Unnamed means that the response names no request. Only the first response on a connection certainly belongs to its
	// request then.
	Unnamed
	// Final means that the response belongs to the request although it does not name it. The connection is closed, since a
	// copy of the response would belong to a later request just as well.
	Final
	// Contradictory means that fields of the response contradict each other, so that it proves nothing.
	Contradictory
)

// ErrUnnamed is returned for a response that names no request and may belong to an earlier one on its connection.
var ErrUnnamed = errors.New("the response names no request, and the connection was used before")

// ErrContradictory is returned for a response whose fields contradict each other.
var ErrContradictory = errors.New("the fields of the response contradict each other")

// Attempts records the connections on which a request was sent. It is not safe for concurrent use.
type Attempts struct{ conns []*conn }

func (a *Attempts) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

func (a *Attempts) includes(c *conn) bool {
	if a == nil {
		return false
	}
	return slices.Contains(a.conns, c)
}
