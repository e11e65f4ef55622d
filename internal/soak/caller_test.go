package soak_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// callTime is how long a caller waits for an answer.
	callTime = 3 * time.Second
	// dialTime is how long a caller waits for a connection.
	dialTime = time.Second
	// retries is the number of further attempts of a call.
	retries = 2
)

// attempt is one request of a caller and what became of it.
type attempt struct {
	id, method string
	sent, done time.Time
	entry      *entry
	life       *life
	// status is that of the answer, 0 where the connection ended without a whole one.
	status       int
	signature    string
	body         string
	late, unsent bool
}

// promised reports whether the answer says that the request has not run and never will.
func (a *attempt) promised() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// caller sends one request after another, on one connection as long as that is open.
type caller struct {
	world    *world
	random   *rand.Rand
	number   int
	count    int
	entry    *entry
	life     *life
	conn     net.Conn
	reader   *bufio.Reader
	attempts []*attempt
}

func (c *caller) run() {
	defer c.close()
	for !c.world.ended() {
		method, path, key := "POST", "/book/1", -1
		if c.random.IntN(10) < 6 {
			method, path, key = "GET", "/ledger/1", c.world.key(c.random)
		}
		for range 1 + retries {
			a := c.attempt(method, path, key)
			if a.status >= 200 && a.status <= 299 || method == "POST" && !a.promised() && !a.unsent || c.world.ended() {
				break
			}
			c.close()
			time.Sleep(time.Duration(50+c.random.IntN(200)) * time.Millisecond)
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// attempt sends a request to a process that the balancer picks.
func (c *caller) attempt(method, path string, key int) *attempt {
	if c.conn == nil {
		c.entry = c.world.pick(c.random)
	}
	return c.attemptAt(method, path, key)
}

// attemptAt sends a request to the caller's process.
func (c *caller) attemptAt(method, path string, key int) *attempt {
	c.count++
	a := &attempt{id: fmt.Sprintf("c%d-%d", c.number, c.count), method: method, sent: time.Now()}
	c.attempts = append(c.attempts, a)
	if !c.connect() {
		a.unsent = true
		return a
	}
	a.entry, a.life, a.sent = c.entry, c.life, time.Now()
	c.exchange(a, path, key)
	a.done = time.Now()
	if a.status == 0 {
		a.late = a.done.Sub(a.sent) >= callTime
		c.close()
	}
	return a
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.life = c.entry.current()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.entry.address, callersPort), dialTime)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) exchange(a *attempt, path string, key int) {
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(a.method)
	request.Header.SetHost("yards.example")
	request.Header.SetRequestURI(path)
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	if a.method == "POST" {
		request.SetBodyString("booking")
	}
	if c.conn.SetDeadline(a.sent.Add(callTime)) != nil {
		return
	}
	w := bufio.NewWriter(c.conn)
	if request.Write(w) != nil || w.Flush() != nil || response.Read(c.reader) != nil {
		return
	}
	a.status = response.StatusCode()
	a.signature = string(response.Header.Peek("Response-Signature"))
	a.body = string(response.Body())
	if response.ConnectionClose() {
		c.close()
	}
}
