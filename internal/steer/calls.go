package steer

import (
	"context"
	"errors"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// errLapsed ends an order of a process that no longer leads.
var errLapsed = errors.New("the lead has lapsed before the order was sent")

// readRecord reads the record.
type readRecord struct{ control *Control }

func (r readRecord) run() {
	ctx, cancel := context.WithTimeout(r.control.ctx, callTimeout)
	defer cancel()
	o, err := r.control.options.Objects.Get(ctx, recordObject)
	r.control.post(recordRead{object: o, err: err})
}

// writeRecord writes the record if its version is the expected one.
type writeRecord struct {
	control   *Control
	record    record
	value     []byte
	tables    uint64
	ifVersion uint64
}

func (w writeRecord) run() {
	ctx, cancel := context.WithTimeout(w.control.ctx, writeTimeout)
	defer cancel()
	version, err := w.control.options.Objects.Put(ctx, recordObject, w.value, w.ifVersion)
	w.control.post(recordWritten{record: w.record.Leader, services: w.record.Services, version: version, tables: w.tables, err: err})
}

// listServers lists the entries of the servers.
type listServers struct{ control *Control }

func (l listServers) run() {
	sent := l.control.options.Clock.Now()
	ctx, cancel := context.WithTimeout(l.control.ctx, callTimeout)
	defer cancel()
	objects, _, err := l.control.options.Objects.List(ctx, l.control.options.Formats.ServersPrefix)
	l.control.post(serversRead{sent: sent, objects: objects, err: err})
}

// readConfig reads the configuration, or waits for a change of it after a revision.
type readConfig struct {
	control *Control
	watch   bool
	after   uint64
}

func (r readConfig) run() {
	if r.watch {
		r.control.post(r.wait())
		return
	}
	options := r.control.options
	read := configRead{sent: options.Clock.Now()}
	ctx, cancel := context.WithTimeout(r.control.ctx, callTimeout)
	defer cancel()
	var objects []store.Object
	// A list tells the revision to watch from; that of the object itself may be forgotten.
	objects, read.revision, read.err = options.Objects.List(ctx, options.Formats.ConfigPrefix)
	for _, o := range objects {
		if o.Name == options.Formats.ConfigObject {
			read.found, read.object = true, o
		}
	}
	r.control.post(read)
}

func (r readConfig) wait() configRead {
	options := r.control.options
	ctx, cancel := context.WithTimeout(r.control.ctx, configWatch+callTimeout/2)
	defer cancel()
	changes, revision, err := options.Objects.Watch(ctx, options.Formats.ConfigPrefix, r.after)
	// A watch that ended tells that the configuration did not change until its answer was sent.
	read := configRead{sent: options.Clock.Now().Add(-watchAge), revision: revision, watch: true, err: err}
	for _, c := range changes {
		if c.Name == options.Formats.ConfigObject && !c.Deleted {
			read.found, read.object = true, c.Object
		}
	}
	return read
}

// grantOrder sends a grant.
type grantOrder struct {
	control *Control
	grant   shard.Grant
}

func (o grantOrder) run() {
	ctx, cancel := context.WithTimeout(o.control.ctx, shard.OrderTimeout)
	defer cancel()
	outcome := o.control.options.Keys.Grant(ctx, o.grant, o.control.check)
	o.control.post(ordered{result: shard.Granted{Grant: o.grant, Outcome: outcome}})
}

// releaseOrder sends a release.
type releaseOrder struct {
	control *Control
	release shard.Release
}

func (o releaseOrder) run() {
	ctx, cancel := context.WithTimeout(o.control.ctx, shard.ReleaseTimeout)
	defer cancel()
	handover, outcome := o.control.options.Keys.Release(ctx, o.release, o.control.check)
	o.control.post(ordered{result: shard.Released{Release: o.release, Outcome: outcome, Handover: handover}})
}

// check reports an error where this process does not lead any more.
func (c *Control) check() error {
	if c.options.Clock.Now().UnixNano() >= c.until.Load() {
		return errLapsed
	}
	return nil
}

// reached reports whether the error is an answer of the store.
func reached(err error) bool {
	switch store.KindOf(err) {
	case store.NoError, store.NotFound, store.Conflict, store.TooOld:
		return true
	case store.Limited, store.Unknown, store.Down:
	}
	return false
}

// age returns how long ago a time was, at least 0.
func age(now, then time.Time) time.Duration { return max(0, now.Sub(then)) }
