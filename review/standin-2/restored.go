package main

import (
	"sync"
	"time"
)

const ledger = "tooluur"

// playRestored lets the store come back from a copy that is older than the keys of a server which has just joined, while that
// server is partitioned from the store, and kills all entry processes meanwhile.
func playRestored(w *world) int {
	configure := func() {
		w.configure(7, map[string]bool{ledger: true}, []route{
			{name: "r-balance", kind: "idempotent", prefix: "/balance/", service: ledger, priority: 2, targetS: 0.4, timeoutS: 1.2},
		})
	}
	configure()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		if _, err := w.addServer(id, ledger, true, 20*time.Millisecond); err != nil {
			return unable
		}
	}
	if !w.startEntries(3) {
		w.log.say("the entry processes did not become ready")
		return unable
	}
	w.callKeys("/balance/", 80)
	check := &ownerCheck{world: w}
	var looking sync.WaitGroup
	looking.Add(1)
	go func() {
		defer looking.Done()
		check.watch(time.Now().Add(24 * time.Second))
	}()
	time.Sleep(6 * time.Second)
	older := w.store.copy()
	copied := time.Now()
	w.log.say("the platform copies its store")
	joined, err := w.addServer("i-6", ledger, true, 20*time.Millisecond)
	if err != nil {
		return unable
	}
	for joined.heldCount() == 0 {
		if time.Since(copied) > 4*time.Second {
			w.log.say("the new server got no keys")
			return unable
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.log.say("the new server holds %d keys", joined.heldCount())
	time.Sleep(time.Second)
	if w.trouble {
		w.log.say("the drill begins: the store is away, and server i-6 is partitioned from it")
		w.store.setAway(true)
		joined.cutFromStore(true)
		time.Sleep(1500 * time.Millisecond)
		w.log.say("all entry processes are killed; server i-6 holds %d keys", joined.heldCount())
		for _, e := range w.entries {
			e.end()
		}
		time.Sleep(300 * time.Millisecond)
		w.store.restore(older)
		w.store.setAway(false)
		w.log.say("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
		configure()
		for _, e := range w.entries {
			if e.start(false) != nil {
				return unable
			}
		}
		time.Sleep(8 * time.Second)
		joined.cutFromStore(false)
		w.log.say("server i-6 reaches the store again")
	}
	looking.Wait()
	return check.verdict()
}
