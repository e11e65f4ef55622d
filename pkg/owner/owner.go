// Package owner moves the ownership of spans between backend servers.
//
// A Decider runs in at most one process of a cell at a time, for one term. It publishes assignment
// tables in heartbeats, and grants serving leases to entry processes and grants to servers. To move a
// span, it closes the span, waits until the former owners can no longer run calls for it and until a
// majority of the electors has acknowledged that it is closed, grants it to the new owner and opens
// it. A Follower runs in every process. It receives tables and the serving lease in heartbeats, and
// reports for which spans forwarding stops and starts.
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
//	// then step owner.Tick every heartbeat interval, and the other events as they occur
//
// In every process:
//
//	f := owner.NewFollower(incarnation)
//	for _, a := range f.Step(c.Latest(), owner.HeartbeatReceived{From: "entry-1", Term: 7, Table: table}) {
//		switch a := a.(type) {
//		case owner.Apply:
//			view.Store(a.Table) // then count the calls in flight and step owner.InFlightCounted
//		case owner.Answer:
//			send(a)
//		}
//	}
//	if f.Serves(c.Latest()) {
//		forward() // with a Not-After of at most f.Expires()
//	}
package owner
