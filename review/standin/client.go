package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var readiness = &http.Client{Timeout: time.Second}

func get(address, path string) (int, error) {
	r, err := readiness.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	return r.StatusCode, nil
}

// traffic is a stream of requests at a mean rate.
type traffic struct {
	method, host, path string
	perSecond          float64
	deadline           time.Duration
	body               string
	// key returns the key of the next request.
	key func() int
}

// clients sends requests of fleet's traffic. Each request is a client attempt of its own with a new id; there are no
// retries.
type clients struct {
	fleet     *fleet
	transport http.Transport
	group     sync.WaitGroup
	// seed makes the ids of this run its own.
	seed uint32
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, seed: rand.Uint32(), transport: http.Transport{
		MaxIdleConnsPerHost: 60, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}
}

// run sends the requests for a time and waits for all answers.
func (c *clients) run(t traffic, length time.Duration) {
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%08x%08x", c.seed, i)
		e := c.fleet.entries[rand.IntN(len(c.fleet.entries))]
		key := t.key()
		c.group.Go(func() { c.send(e, t, id, key) })
		time.Sleep(time.Duration(rand.ExpFloat64() / t.perSecond * float64(time.Second)))
	}
	c.group.Wait()
}

func (c *clients) send(e *entry, t traffic, id string, key int) {
	f := c.fleet
	f.mu.Lock()
	f.sent[id] = time.Now()
	f.mu.Unlock()
	f.record.line("send id=%s to=%s %s key=%d", id, e.name, t.method, key)
	a := c.call(e, t, id, key)
	f.mu.Lock()
	f.answers[id] = a
	f.mu.Unlock()
	f.record.line("answer id=%s status=%d error=%v", id, a.status, a.err)
}

func (c *clients) call(e *entry, t traffic, id string, key int) result {
	r, err := http.NewRequest(t.method, "http://"+e.front+t.path, strings.NewReader(t.body))
	if err != nil {
		return result{err: err}
	}
	r.Host = t.host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	r.Header.Set("Shard-Key", strconv.Itoa(key))
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	if response.StatusCode/100 == 2 {
		signer, _, _ := strings.Cut(response.Header.Get("Response-Signature"), ".")
		if want := signer + " ran " + id + "\n"; string(body) != want {
			c.fleet.breach("MIXED", "the answer to request %s is %q, signed %q", id, body, response.Header.Get("Response-Signature"))
		}
	}
	return result{status: response.StatusCode}
}
