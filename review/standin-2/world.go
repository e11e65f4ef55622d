package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "yard.example"

// world has the stand-ins and the entry processes of a script.
type world struct {
	dir     string
	program string
	log     *record
	store   *store
	trouble bool

	mu      sync.Mutex
	servers []*server
	entries []*entry
	stop    chan struct{}
	group   sync.WaitGroup
}

func newWorld(program, recordPath string) (*world, error) {
	log, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, log: log, store: st, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	log.say("the disruption takes place: %v", w.trouble)
	return w, nil
}

// close ends all processes and removes the temporary folder. The logs of the entry processes are kept if KEEP is set.
func (w *world) close() {
	close(w.stop)
	w.group.Wait()
	for _, e := range w.entries {
		e.end()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) addServer(id, service string, partitioned bool, work time.Duration) (*server, error) {
	s, err := newServer(w.store, w.log, id, service, partitioned, work)
	if err != nil {
		return nil, err
	}
	w.log.say("server %s of %s: started", id, service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, s)
	return s, nil
}

func (w *world) allServers() []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*server{}, w.servers...)
}

// startEntries starts n entry processes for the first time, and waits until they are ready.
func (w *world) startEntries(n int) bool {
	for i := range n {
		e, err := newEntry(w.program, w.dir, i+1, w.store.address(), w.log)
		if err == nil {
			err = e.start(true)
		}
		if err != nil {
			w.log.say("cannot start an entry process: %v", err)
			return false
		}
		w.entries = append(w.entries, e)
	}
	return awaitReady(w.entries, 15*time.Second)
}

// route is a route of the configuration.
type route struct {
	name, kind, prefix, service string
	priority                    int
	targetS, timeoutS           float64
}

// configure writes the configuration as the operator does.
func (w *world) configure(version int, partitioned map[string]bool, routes []route) {
	rules, clusters := []any{}, []any{}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "targetLatencyS": r.targetS, "priority": r.priority, "match": map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "maxAttempts": 2},
		})
	}
	for name, p := range partitioned {
		c := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1", "tls": false}
		if p {
			c["partitioned"], c["warmS"], c["grants"] = true, 3.0, "rpc"
		}
		clusters = append(clusters, c)
	}
	w.store.put("config", "main", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
}

// callKeys sends idempotent requests with random keys to the entry processes in turn, until the world is closed.
func (w *world) callKeys(prefix string, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
			}
			e, id, key := w.entries[n%len(w.entries)], fmt.Sprintf("%016x", n+1), rand.Intn(keyCount)
			w.group.Add(1)
			go func() {
				defer w.group.Done()
				r := send(e.front, http.MethodGet, host, prefix+"x", id, key, 1500*time.Millisecond)
				w.log.write("request %s for key %d at %s: status %d, signature %q, error %v", id, key, e.name, r.status, r.signature, r.err)
			}()
		}
	}()
}
