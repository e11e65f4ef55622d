package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Doses of the trouble "garble": the share of the servers, the share of their answers, and the length.
const (
	garbleServers = 0.6
	garbleAnswers = 0.03
	garbleLength  = 5 * time.Second
	garblePause   = time.Second
)

const (
	// drainTime is the setting drainS. A server serves a little longer before it ends.
	drainTime  = 2 * time.Second
	drainSlack = time.Second
)

// garble makes a share of the servers spoil a share of their answers, again and again for the given time.
func (f *fleet) garble(length time.Duration, set func(s *server, share float64)) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		servers := f.liveServers()
		rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		faulty := servers[:int(garbleServers*float64(len(servers)))]
		f.record.say("garble: %d of %d servers spoil %g of their answers for %v", len(faulty), len(servers), garbleAnswers, garbleLength)
		for _, s := range faulty {
			set(s, garbleAnswers)
		}
		time.Sleep(garbleLength)
		for _, s := range faulty {
			set(s, 0)
		}
		time.Sleep(garblePause)
	}
}

// playLateRefusal: servers reject requests while they are full, and some of these answers come a second time, late.
func playLateRefusal(f *fleet, trouble bool) error {
	servers := serverList(5, 6, 3, workTimes(60*time.Millisecond))
	if err := f.setUp("non_idempotent", 500*time.Millisecond, 1200*time.Millisecond, 3, servers); err != nil {
		return err
	}
	if trouble {
		go f.garble(93*time.Second, func(s *server, share float64) { s.setFaults(faults{copies: share}) })
	}
	newClients(f).run(traffic{
		method: "PUT", host: "yard.example", path: "/book/1", perSecond: 400, deadline: 1200 * time.Millisecond,
		body: "one crate of clips", key: func() int { return rand.IntN(keys) },
	}, 95*time.Second)
	time.Sleep(3 * time.Second)
	return nil
}

// playLateRelease: the servers are replaced one after the other, and some of their answers, those to orders among them, come
// a second time, late.
func playLateRelease(f *fleet, trouble bool) error {
	work := workTimes(250 * time.Millisecond)
	if err := f.setUp("idempotent", 600*time.Millisecond, 3*time.Second, 3, serverList(6, 6, 24, work)); err != nil {
		return err
	}
	if trouble {
		go f.garble(85*time.Second, func(s *server, share float64) { s.setFaults(faults{copies: share, orders: share}) })
	}
	go f.replaceServers(85*time.Second, 1200*time.Millisecond, work)
	newClients(f).run(traffic{
		method: "GET", host: "yard.example", path: "/book/1", perSecond: 100, deadline: 3 * time.Second,
		key: func() int { return rand.IntN(keys) },
	}, 88*time.Second)
	time.Sleep(time.Second)
	return nil
}

// replaceServers replaces one server after the other: the new one starts first, then the old one drains and leaves.
func (f *fleet) replaceServers(length, gap time.Duration, work func() time.Duration) {
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		old := f.allServers()[i]
		next, err := f.startServer(serverList(1, 6, 24, work)[0], fmt.Sprintf("%s%d:0", f.prefix, 121+i))
		if err != nil {
			f.record.say("cannot start a server: %v", err)
			return
		}
		go next.beat()
		time.Sleep(gap)
		f.record.say("%s replaces %s", next.options.id, old.options.id)
		f.drain(old)
		go func() {
			time.Sleep(drainTime + drainSlack)
			old.kill()
			f.store.remove("servers", old.options.id)
		}()
	}
}

// playQuickRestart: one server after the other crashes, and starts again a second later under its id and address.
func playQuickRestart(f *fleet, trouble bool) error {
	return f.playRestarts(func() {
		for i := 0; trouble && i < restarts; i++ {
			time.Sleep(restartGap)
			old := f.allServers()[i]
			old.kill()
			f.record.say("%s (born %d) crashes", old.options.id, old.born)
			time.Sleep(crashPause)
			f.restart(old)
		}
	})
}

// playOldEntry: one server after the other drains, ends and starts again under its id and address. With the trouble, the last
// heartbeat of the earlier life gets no answer from the store, which carries it out late, when the next life has registered.
func playOldEntry(f *fleet, trouble bool) error {
	return f.playRestarts(func() {
		for i := range restarts {
			time.Sleep(restartGap - drainTime - drainSlack)
			old := f.allServers()[i]
			f.drain(old)
			time.Sleep(drainTime + drainSlack)
			last, at := old.entry(), time.Now()
			old.kill()
			f.store.remove("servers", old.options.id)
			f.record.say("%s (born %d) has drained and ends", old.options.id, old.born)
			time.Sleep(plannedPause)
			f.restart(old)
			if trouble {
				go func() {
					time.Sleep(time.Until(at.Add(lateWrite)))
					f.record.say("the store carries out the heartbeat of %s that it got %.1f s ago (born %d)", old.options.id, time.Since(at).Seconds(), old.born)
					f.store.put("servers", old.options.id, last)
				}()
			}
		}
	})
}

const (
	restarts = 6
	// restartGap is the time from one restart to the next one.
	restartGap = 12 * time.Second
	// crashPause and plannedPause are how long a server is down.
	crashPause   = time.Second
	plannedPause = 500 * time.Millisecond
	// lateWrite is how late the store carries out a write.
	lateWrite = 3200 * time.Millisecond
)

// playRestarts sends requests while servers restart.
func (f *fleet) playRestarts(restart func()) error {
	work := workTimes(100 * time.Millisecond)
	if err := f.setUp("idempotent", 600*time.Millisecond, 1500*time.Millisecond, 3, serverList(6, 6, 24, work)); err != nil {
		return err
	}
	go restart()
	newClients(f).run(traffic{
		method: "GET", host: "yard.example", path: "/book/1", perSecond: 120, deadline: 1500 * time.Millisecond,
		key: func() int { return rand.IntN(keys) },
	}, 80*time.Second)
	time.Sleep(time.Second)
	return nil
}

func (f *fleet) drain(s *server) {
	s.setState("draining")
	f.store.put("servers", s.options.id, s.entry())
	f.record.say("%s (born %d) drains", s.options.id, s.born)
}

// restart starts the next life of a server under the same id and at the same address.
func (f *fleet) restart(old *server) {
	next, err := f.startServer(old.options, old.address())
	if err != nil {
		f.record.say("cannot restart a server: %v", err)
		return
	}
	f.record.say("%s (born %d) starts again", next.options.id, next.born)
	go next.beat()
}
