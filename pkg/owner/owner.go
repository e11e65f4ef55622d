// Package owner moves the ownership of spans between backend servers.
//
// A Decider runs in one process of a cell at a time, for one term. It publishes assignment tables
// in heartbeats, gives serving leases to entry processes and grants to servers, and moves a span by
// closing it, waiting for its gate and for a majority of electors, granting it, and opening it. A
// Follower runs in every process. It takes tables and the serving lease from heartbeats, and tells
// which spans stop and start being forwarded.
//
// Both are deterministic state machines: Step takes the time and an event, and returns actions. No
// method reads a clock, starts a goroutine or opens a connection.
//
// # Usage
//
// In the process that won a term:
//
//	d := owner.NewDecider(owner.Config{Cell: "khangai", Self: "entry-1"})
//	now := c.Now()
//	if machine.Leads(c.Latest()) {
//		perform(d.Step(now, owner.Started{Term: 7, Record: record, RecordVersion: 3, Tables: tables}))
//	}
//	// then owner.Tick each beat, and the other events as they come in
//
// In every process:
//
//	f := owner.NewFollower(incarnation)
//	for _, a := range f.Step(c.Latest(), owner.BeatReceived{From: "entry-1", Term: 7, Table: table}) {
//		switch a := a.(type) {
//		case owner.Apply:
//			view.Store(a.Table) // then count calls in flight and step owner.InFlightCounted
//		case owner.Answer:
//			send(a)
//		}
//	}
//	if f.Serves(c.Latest()) {
//		forward() // with a Not-After of at most f.Expires()
//	}
package owner
