package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

const (
	// ledger is the partitioned service.
	ledger = "ledger"
	// serverWork is how long a request runs.
	serverWork = 5 * time.Millisecond
	// slowClock is the rate error of a server's clock that the platform allows.
	slowClock = 0.02
	// keys is the number of different keys of requests.
	keys = 40
	// bookingServers is the number of servers of each service of bookings.
	bookingServers = 2
	// sampleEvery is the time between two looks at who holds the keys.
	sampleEvery = 10 * time.Millisecond
)

// member is a server with its proxy.
type member struct {
	*site.Server
	proxy *proxy
	// harmed reports that the server was killed or lost answers.
	harmed bool
	gone   bool
}

// world is one run of the soak.
type world struct {
	store    *site.Store
	entries  []*entry
	callers  []*caller
	group    conc.WaitGroup
	over     atomic.Bool
	mu       sync.Mutex
	members  []*member
	names    int
	version  int
	failures []string
}

func (w *world) ended() bool { return w.over.Load() }

func (w *world) fail(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}

// key returns the key of a request. Some keys are far busier than others.
func (w *world) key(random *rand.Rand) int {
	i := random.IntN(keys)
	if random.IntN(3) == 0 {
		i = random.IntN(2)
	}
	return i * (shard.LastKey / (keys - 1))
}

// pick returns an entry process as the balancer does: one that says it is ready, while half of them do.
func (w *world) pick(random *rand.Rand) *entry {
	var ready []*entry
	for _, e := range w.entries {
		if e.inRotation() {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(w.entries) {
		ready = w.entries
	}
	return ready[random.IntN(len(ready))]
}

// addServer starts a server and writes its entry. A name of "" means a new one.
func (w *world) addServer(service, id string) error {
	w.mu.Lock()
	w.names++
	born := time.Now().UnixMilli() + int64(w.names)
	if id == "" {
		id = fmt.Sprintf("s-%d", w.names)
	}
	rate := slowClock * float64(w.names%2)
	w.mu.Unlock()
	s, err := site.NewServer(site.ServerOptions{ID: id, Service: service, Born: born, Work: serverWork, SlowClock: rate})
	if err != nil {
		return err
	}
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = append(w.members, &member{Server: s, proxy: p})
	w.store.Put("servers", id, s.Entry(p.address(), "ready"))
	return nil
}

// live returns the servers of the partitioned service that have not ended.
func (w *world) live() []*member {
	return slices.DeleteFunc(w.all(), func(m *member) bool { return m.Service() != ledger })
}

// booking returns the servers that bookings go to by the latest configuration.
func (w *world) booking() []*member {
	w.mu.Lock()
	service := bookings(w.version)
	w.mu.Unlock()
	return slices.DeleteFunc(w.all(), func(m *member) bool { return m.Service() != service })
}

// all returns the servers that have not ended.
func (w *world) all() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.gone })
}

// crash kills a server without a word. Its entry lapses, unless another run of the server has written it.
func (w *world) crash(m *member) {
	w.mu.Lock()
	m.gone, m.harmed = true, true
	w.mu.Unlock()
	m.Kill()
}

// bookings names the service of bookings in a version of the configuration.
func bookings(version int) string { return fmt.Sprintf("book-%d", version) }

// configure writes the next version of the configuration, which sends bookings to a service of its own.
func (w *world) configure() error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	for range bookingServers {
		if err := w.addServer(bookings(version), ""); err != nil {
			return err
		}
	}
	// Processes have to know the servers of the new service before they are told to use it.
	time.Sleep(time.Second)
	clusters := []string{fmt.Sprintf(`{"name":%q,"healthPath":"/h","maxConns":130,"partitioned":true}`, ledger)}
	for v := 1; v <= version; v++ {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"healthPath":"/h","maxConns":130}`, bookings(v)))
	}
	const rule = `{"name":%q,"kind":%q,"targetLatencyS":1,"priority":1,"match":{"pathPrefix":%q},"action":{"service":%q,"timeoutS":3,"maxAttempts":2}}`
	w.store.Put("config", "main", fmt.Sprintf(
		`{"version":"%08x","limits":{"maxHeaderBytes":8192,"maxBodyBytes":10000,"headerTimeoutS":3,"idleTimeoutS":15},`+
			`"listeners":[{"host":"yards.example","rules":[%s,%s]}],"clusters":[%s]}`, version,
		fmt.Sprintf(rule, ledger, "idempotent", "/ledger/", ledger),
		fmt.Sprintf(rule, "book", "non_idempotent", "/book/", bookings(version)), strings.Join(clusters, ",")))
	return nil
}

// balancer asks the processes whether they are ready.
type balancer struct{ world *world }

func (b balancer) run() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !b.world.ended() {
		for _, e := range b.world.entries {
			e.ready(client)
		}
		time.Sleep(time.Second)
	}
}

// sampler looks who holds the keys.
type sampler struct{ world *world }

func (s sampler) run() {
	before := map[int]string{}
	for !s.world.ended() {
		time.Sleep(sampleEvery)
		for i := range keys {
			key := i * (shard.LastKey / (keys - 1))
			now := s.holders(key)
			// A hold that ends between two looks is no overlap.
			if now != "" && now == before[key] {
				s.world.fail("key %d is held by %s at the same time", key, now)
			}
			before[key] = now
		}
	}
}

// holders names the servers that hold a key, "" where there are less than two.
func (s sampler) holders(key int) string {
	var names []string
	for _, m := range s.world.live() {
		if m.Holds(key) {
			names = append(names, m.ID()+"@"+m.Address().String())
		}
	}
	if len(names) < 2 {
		return ""
	}
	return strings.Join(names, " and ")
}
