// Package view holds the routing state of one entry process: the configuration, the servers and the
// owners of keys.
//
// A View is immutable once it is published. The control goroutine publishes, all others read.
//
// # Usage
//
//	publisher := view.NewPublisher()
//	publisher.Publish(view.View{Config: config})
//	v := publisher.Load()
//	<-v.Changed // until the next View is published
package view

import (
	"sync/atomic"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// View is a snapshot of the routing state.
type View struct {
	// Config is nil until a configuration is known.
	Config *route.Config
	// ServersKnown reports whether the servers are known.
	ServersKnown bool
	Services     map[assign.ServiceID][]assign.Server
	// Leaving has the draining servers, each with the earliest time at which it may have begun to drain.
	Leaving map[assign.ServerID]time.Time
	// Evacuated has the evacuated failure domains, each with the latest time at which it was known not to be evacuated, the
	// zero time if there is none.
	Evacuated map[string]time.Time
	// Cold has the listed servers that count as cold, each with the time until which its listed run does.
	Cold   map[assign.ServerID]time.Time
	Tables map[assign.ServiceID]shard.Table
	// Processes is the number of entry processes that follow the leader, 0 if it is unknown.
	Processes int
	// Changed is closed when another View is published.
	Changed <-chan struct{}
}

// Publisher holds the latest View. Load and ListedAt are safe for concurrent use. Only one goroutine may call Publish and
// SetListedAt.
type Publisher struct {
	latest  atomic.Pointer[View]
	changed chan struct{}
	// listedAt is the time that SetListedAt set last.
	listedAt atomic.Pointer[time.Time]
}

// NewPublisher returns a Publisher with an empty View.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.Publish(View{})
	return p
}

// Load returns the latest View.
func (p *Publisher) Load() *View { return p.latest.Load() }

// SetListedAt sets the time at which the list of servers was read last, which is no change of the View.
func (p *Publisher) SetListedAt(at time.Time) { p.listedAt.Store(&at) }

// ListedAt returns the time that SetListedAt set last, the zero time if there is none.
func (p *Publisher) ListedAt() time.Time {
	if at := p.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Publish replaces the latest View and closes Changed of the previous one.
func (p *Publisher) Publish(v View) {
	previous := p.changed
	p.changed = make(chan struct{})
	v.Changed = p.changed
	p.latest.Store(&v)
	if previous != nil {
		close(previous)
	}
}
