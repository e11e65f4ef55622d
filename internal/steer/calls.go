package steer

import (
	"context"
	"errors"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// errLeaseExpired is the error of an order that is not sent because this process no longer leads.
var errLeaseExpired = errors.New("the leader's lease expired before the order was sent")

// readRecord reads the leader's record from the store.
type readRecord struct{ control *Control }

func (r readRecord) run() {
	ctx, cancel := context.WithTimeout(r.control.ctx, readTimeout)
	defer cancel()
	o, err := r.control.options.Objects.Get(ctx, recordObject)
	r.control.post(recordRead{object: o, err: err})
}

// writeRecord writes the leader's record if the stored version is ifVersion.
type writeRecord struct {
	control      *Control
	record       record
	value        []byte
	deciderWrite uint64
	ifVersion    uint64
}

func (w writeRecord) run() {
	ctx, cancel := context.WithTimeout(w.control.ctx, writeTimeout)
	defer cancel()
	version, err := w.control.options.Objects.Put(ctx, recordObject, w.value, w.ifVersion)
	w.control.post(recordWritten{record: w.record.Leader, services: w.record.Services, unconfirmed: w.record.Unconfirmed, version: version, deciderWrite: w.deciderWrite, err: err})
}

// listServers reads the entries of the servers.
type listServers struct{ control *Control }

func (l listServers) run() {
	sent := l.control.options.Clock.Now()
	ctx, cancel := context.WithTimeout(l.control.ctx, readTimeout)
	defer cancel()
	objects, _, err := l.control.options.Objects.List(ctx, l.control.options.Formats.ServersPrefix)
	l.control.post(serversRead{sent: sent, objects: objects, err: err})
}

// readConfig reads the configuration or, if watch is set, waits for a change of it after a revision.
type readConfig struct {
	control *Control
	watch   bool
	after   uint64
}

func (r readConfig) run() {
	if r.watch {
		r.control.post(r.awaitChange())
		return
	}
	options := r.control.options
	read := configRead{sent: options.Clock.Now()}
	ctx, cancel := context.WithTimeout(r.control.ctx, readTimeout)
	defer cancel()
	var objects []store.Object
	// The revision of a list is recent enough to watch from. The store may no longer have the changes since
	// the revision of the object itself.
	objects, read.revision, read.err = options.Objects.List(ctx, options.Formats.ConfigPrefix)
	for _, o := range objects {
		if o.Name == options.Formats.ConfigObject {
			read.found, read.object = true, o
		}
	}
	r.control.post(read)
}

func (r readConfig) awaitChange() configRead {
	options := r.control.options
	ctx, cancel := context.WithTimeout(r.control.ctx, configWatchTimeout+readTimeout/2)
	defer cancel()
	changes, revision, err := options.Objects.Watch(ctx, options.Formats.ConfigPrefix, r.after)
	// The answer of a watch contains all changes until it was sent, at most watchLatency ago.
	read := configRead{sent: options.Clock.Now().Add(-watchLatency), revision: revision, watch: true, err: err}
	for _, c := range changes {
		if c.Name == options.Formats.ConfigObject && !c.Deleted {
			read.found, read.object = true, c.Object
		}
	}
	return read
}

// sendGrant sends a grant to a server.
type sendGrant struct {
	control *Control
	grant   shard.Grant
}

func (s sendGrant) run() {
	ctx, cancel := context.WithTimeout(s.control.ctx, shard.GrantTimeout)
	defer cancel()
	outcome := s.control.options.Orders.Grant(ctx, s.grant, s.control.checkLease)
	s.control.post(orderDone{result: shard.Granted{Grant: s.grant, Outcome: outcome}})
}

// sendRelease sends a release to a server.
type sendRelease struct {
	control *Control
	release shard.Release
}

func (s sendRelease) run() {
	ctx, cancel := context.WithTimeout(s.control.ctx, shard.ReleaseTimeout)
	defer cancel()
	handover, outcome := s.control.options.Orders.Release(ctx, s.release, s.control.checkLease)
	s.control.post(orderDone{result: shard.Released{Release: s.release, Outcome: outcome, Handover: handover}})
}

// checkLease returns an error if this process no longer leads. It is safe for concurrent use.
func (c *Control) checkLease() error {
	if c.options.Clock.Now().UnixNano() >= c.leadUntil.Load() {
		return errLeaseExpired
	}
	return nil
}

// storeAnswered reports whether the store answered the call that returned the error, which may be nil.
func storeAnswered(err error) bool {
	switch store.KindOf(err) {
	case store.NoError, store.NotFound, store.Conflict, store.TooOld:
		return true
	case store.Limited, store.Unknown, store.Down:
	}
	return false
}

// age returns how long before now a time was, at least 0.
func age(now, then time.Time) time.Duration { return max(0, now.Sub(then)) }
