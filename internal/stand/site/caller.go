package site

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

// KeyedConfig returns the text of a configuration with a single service whose servers own keys. All its requests are
// idempotent.
func KeyedConfig(service string, objective time.Duration) string {
	return fmt.Sprintf(`{"version":"00000001","limits":{"maxHeaderBytes":8192,"maxBodyBytes":10000,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"yards.example","rules":[{"name":"keyed","kind":"idempotent","targetLatencyS":%g,"priority":1,
"match":{"pathPrefix":"/"},"action":{"service":%[2]q,"timeoutS":5,"maxAttempts":2}}]}],
"clusters":[{"name":%[2]q,"healthPath":"/h","maxConns":1800,"partitioned":true}]}`, objective.Seconds(), service)
}

// Caller sends requests of the configuration that KeyedConfig returns to entry processes. It does not retry. It is safe for
// concurrent use.
type Caller struct {
	transport http.Transport
	requests  atomic.Int64
}

// NewCaller returns a Caller that keeps at most the given number of idle connections to each process.
func NewCaller(idleConnections int) *Caller {
	return &Caller{transport: http.Transport{MaxIdleConnsPerHost: idleConnections}}
}

// Send sends a request for a key and returns the status of the whole response.
func (c *Caller) Send(process netip.AddrPort, key uint16, timeout time.Duration) (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+process.String()+"/1", nil)
	if err != nil {
		return 0, err
	}
	r.Host = "yards.example"
	r.Header.Set("Request-Id", "c-"+strconv.FormatInt(c.requests.Add(1), 10))
	r.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Header.Set("Shard-Key", strconv.Itoa(int(key)))
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Close closes the idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }
