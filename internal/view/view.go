// Package view is what one entry process knows of the world: the configuration, the servers and
// the owners of keys.
//
// A View is never changed once it is published. The control goroutine publishes, all others read.
//
// # Usage
//
//	board := view.NewBoard()
//	board.Publish(view.View{Config: config})
//	now := board.Load()
//	<-now.Changed // until the next View is published
package view

import (
	"sync/atomic"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// View is one state of the world.
type View struct {
	// Config is nil until a configuration is known.
	Config *route.Config
	// ServersKnown reports that the servers are known.
	ServersKnown bool
	Services     map[assign.ServiceID][]assign.Server
	Tables       map[assign.ServiceID]shard.Table
	// Processes is the number of entry processes that follow the leader, 0 where it is not known.
	Processes int
	// Changed is closed when another View is published.
	Changed <-chan struct{}
}

// Publisher holds the latest View. It is safe for concurrent use; one goroutine publishes.
type Publisher struct {
	latest  atomic.Pointer[View]
	changed chan struct{}
}

// NewPublisher returns a Board with an empty View.
func NewPublisher() *Publisher {
	b := &Publisher{}
	b.Publish(View{})
	return b
}

// Load returns the latest View.
func (b *Publisher) Load() *View { return b.latest.Load() }

// Publish replaces the View.
func (b *Publisher) Publish(v View) {
	before := b.changed
	b.changed = make(chan struct{})
	v.Changed = b.changed
	b.latest.Store(&v)
	if before != nil {
		close(before)
	}
}
