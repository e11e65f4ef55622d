// Package dedup makes a booking run at most once.
//
// Each booking has an identifier. Identifiers are hashed into buckets, and the assignment table
// lists the recorders of each bucket. Before an entry process sends a booking to a server, a
// Booking reserves its identifier at all recorders of the bucket; afterwards it tells all of them
// how the booking ended. A Recorder holds, in the memory of one process, the identifiers of the
// buckets that list the process. A repeat of the booking, through any entry process, finds the
// identifier reserved and gets the stored answer, or an answer that the outcome is not known.
//
// Booking and Recorder are state machines: they start no goroutine, open no connection and read no
// clock. Neither is safe for concurrent use.
//
// # Generations
//
// A bucket's generation rises with each change of its recorders, including the restart of one. A
// recorder answers only for the generation in its own table. These rules prevent an identifier
// from being reserved twice:
//
//   - A Booking sends its call only when all recorders of one generation hold the reservation.
//   - A recorder that is new in a generation, or that restarted, copies the bucket from a recorder
//     that holds it in the same generation before it answers. The exporter then accepts no
//     reservation of an earlier generation, so none can be missing from the copy.
//   - If no recorder of the bucket is left, its horizon rises to the current table version.
//     Identifiers that may have been used before are then refused as Doubtful.
//   - A table that changes a bucket must be held by a majority of the electors before a Recorder
//     or a Booking receives it. Otherwise the next decider may give the same generation to other
//     recorders.
//
// A recorder keeps each identifier, finished or not, for at least Config.Window. When it deletes
// one, it stores the table version at which that identifier was issued, and refuses every unknown
// identifier issued at that version or earlier. The decider must therefore raise the table version
// at least every quarter of the window; otherwise new identifiers are refused too.
//
// # Outcomes
//
// A Booking answers NotRun only when a recorder that has held the bucket without a gap confirmed
// that the identifier was not in use. If no recorder answers, an earlier attempt may have run the
// booking, so the outcome is Unknown and the caller may repeat it with the same identifier only. If
// some recorders answer, TableConfirmed tells whether they were still the recorders.
//
// # Usage
//
// At a recorder, for each table, request and timer:
//
//	r := dedup.NewRecorder(dedup.Config{Self: "entry-1", Incarnation: 7})
//	actions := r.Step(now, dedup.TableApplied{Version: table.Version, Buckets: table.Buckets})
//	answer := r.Reserve(now, request)
//	done := r.Finish(now, finish)
//	chunk := r.Export(now, ask)
//
// Actions are requests for chunks of a bucket, whose answers go back as ChunkReceived.
//
// At the entry process, for each booking:
//
//	view, ok := dedup.ViewOf(table, identifier)
//	b := dedup.NewBooking(now, config, view)
//	for _, a := range b.Step(now, dedup.Begin{}) {
//		switch a := a.(type) {
//		case dedup.SendReserve: // send a.Reserve to a.To, then Step with ReserveAnswered or ReserveFailed
//		case dedup.SendCall:    // send the call at once, then Step with CallEnded
//		case dedup.Conclude:    // answer the caller
//		case dedup.SendFinish:  // send a.Finish to a.To, then Step with FinishAnswered
//		case dedup.Close:       // drop the Booking
//		}
//	}
//
// Step is also called with Tick at least every 50 ms, with TableChanged for each new table, and
// with TableConfirmed for each heartbeat of the decider.
package dedup
