package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/front"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/internal/stand/site"
	"github.com/samphiredrum/samphiredrum/platform"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

// patience bounds what has to happen at last. No check depends on how long it took.
const patience = 30 * time.Second

const configuration = `{"version":"%08x","limits":{"maxHeaderBytes":8192,"maxBodyBytes":10000,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"yards.example","rules":[
 {"name":"ledger","kind":"idempotent","targetLatencyS":1,"priority":1,"match":{"pathPrefix":"/ledger/"},"action":{"service":"ledger","timeoutS":5,"maxAttempts":2}},
 {"name":"book","kind":"non_idempotent","targetLatencyS":1,"priority":0,"match":{"pathPrefix":"/book/"},"action":{"service":%q,"timeoutS":5,"maxAttempts":2}}]}],
"clusters":[{"name":"ledger","healthPath":"/h","maxConns":130,"partitioned":true},{"name":"old","healthPath":"/h","maxConns":130},{"name":"new","healthPath":"/h","maxConns":130}]}`

// free returns an address that nothing listens at. The process that uses it starts at once.
func free() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// freePair returns the first of two neighbouring ports that nothing listens at.
func freePair() uint16 {
	for range 100 {
		first := free().Port()
		if first == 65535 {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+1))
		if err == nil {
			l.Close()
			return first
		}
	}
	Fail("no two neighbouring ports are free")
	return 0
}

type process struct {
	*front.Process
	settings platform.Settings
}

func start(name string, store netip.AddrPort) *process {
	first := freePair()
	settings := platform.Settings{
		Name: name, Address: netip.MustParseAddr("127.0.0.1"), FailureDomain: "a", CallerAddress: free(), ReadyAddress: free(),
		FirstPort: first, LastPort: first + 1, StoreAddress: store, Heartbeat: time.Second, Cores: 1,
		Bounds: platform.Bounds{
			DrainTime: 2 * time.Second, GracePeriod: 6 * time.Second, LongestHold: 10 * time.Second,
			RetryShare: 0.2, RetryBurst: 60, RetryWindow: 10 * time.Second,
		},
	}
	p, err := front.Start(settings, zerolog.New(GinkgoWriter).With().Str("process", name).Logger(), &logs.Drops{})
	Expect(err).NotTo(HaveOccurred())
	return &process{Process: p, settings: settings}
}

var requests int

// ask sends one request and returns its status and body.
func (p *process) ask(method, path, key string) (int, string) {
	requests++
	r, err := http.NewRequest(method, "http://"+p.settings.CallerAddress.String()+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "yards.example"
	r.Header.Set("Request-Id", "r-"+strconv.Itoa(requests))
	r.Header.Set("Deadline-Ms", "5000")
	if key != "" {
		r.Header.Set("Shard-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

func (p *process) ledger(key string) int {
	status, _ := p.ask("GET", "/ledger/1", key)
	return status
}

// book returns the name of the server that ran a booking.
func (p *process) book() string {
	_, body := p.ask("POST", "/book/1", "")
	server, _, _ := strings.Cut(body, " ran ")
	return server
}

func newStore() *site.Store {
	s, err := site.NewStore()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

func newServer(id, service string) *site.Server {
	s, err := site.NewServer(site.ServerOptions{ID: id, Service: service, Born: 1})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Kill)
	return s
}

// list writes the entry of a server.
func list(store *site.Store, s *site.Server, state string) {
	store.Put("servers", s.ID(), s.Entry(s.Address(), state))
}

var _ = Describe("a cell of three processes", func() {
	var (
		store            *site.Store
		one, two         *site.Server
		oldest, newest   *site.Server
		cell             []*process
		servers          []*site.Server
		keys             = []string{"0", "9000", "30000", "50000", "65535"}
		everywhereServed = func() bool {
			for _, p := range cell {
				for _, k := range keys {
					if p.ledger(k) != 200 {
						return false
					}
				}
			}
			return true
		}
	)
	BeforeEach(func() {
		store = newStore()
		one, two, oldest, newest = newServer("s-1", "ledger"), newServer("s-2", "ledger"), newServer("s-3", "old"), newServer("s-4", "new")
		servers = []*site.Server{one, two, oldest, newest}
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "old"))
		for _, s := range servers {
			list(store, s, "ready")
		}
		cell = nil
		for i := range 3 {
			cell = append(cell, start(fmt.Sprintf("entry-%d", i+1), store.Address()))
		}
		DeferCleanup(func() {
			for _, p := range cell {
				p.Stop()
			}
		})
		Eventually(everywhereServed, patience, 100*time.Millisecond).Should(BeTrue())
	})

	AfterEach(func() {
		for _, s := range servers {
			ran := map[string]int{}
			for _, r := range s.Runs() {
				ran[r.Request]++
				Expect(ran[r.Request]).To(Equal(1), "request %s ran twice on %s", r.Request, s.ID())
			}
		}
	})

	// Guards the whole path: lead, grants, routing by key, and a configuration that changes everywhere
	// and does not go back.
	It("serves, and follows the configuration", func() {
		for _, p := range cell {
			Expect(p.book()).To(Equal("s-3"))
		}
		store.Put("config", "main", fmt.Sprintf(configuration, 5, "new"))
		for _, p := range cell {
			Eventually(p.book, patience, 20*time.Millisecond).Should(Equal("s-4"))
		}
		store.Put("config", "main", fmt.Sprintf(configuration, 3, "old"))
		for range 20 {
			for _, p := range cell {
				Expect(p.book()).To(Equal("s-4"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})

	// Guards against keys that stay with a server that leaves.
	It("moves the keys of a server that leaves", func() {
		list(store, one, "draining")
		for _, k := range []int{0, 9000, 30000, 50000, 65535} {
			Eventually(func() bool { return two.Holds(k) && !one.Holds(k) }, patience, 20*time.Millisecond).Should(BeTrue())
		}
		Eventually(everywhereServed, patience, 50*time.Millisecond).Should(BeTrue())
		before := len(one.Runs())
		Expect(everywhereServed()).To(BeTrue())
		Expect(one.Runs()).To(HaveLen(before))
	})

	// Guards against a cell that depends on one process.
	It("goes on when processes stop, the leader among them", func() {
		for range 2 {
			stopped := cell[0]
			cell = cell[1:]
			stopped.Stop()
			Eventually(everywhereServed, patience, 50*time.Millisecond).Should(BeTrue())
		}
		list(store, one, "draining")
		Eventually(func() bool { return two.Holds(0) && two.Holds(65535) }, patience, 20*time.Millisecond).Should(BeTrue())
	})

	// Guards against an outage of the store that ends service while the grants bridge it.
	It("serves while the store is down, and moves keys when it is back", func() {
		store.SetFault(site.StoreFault{Down: true})
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			Expect(everywhereServed()).To(BeTrue())
		}
		store.SetFault(site.StoreFault{})
		store.Remove("servers", "s-1")
		Eventually(func() bool { return two.Holds(0) && two.Holds(65535) }, patience, 20*time.Millisecond).Should(BeTrue())
		Eventually(everywhereServed, patience, 50*time.Millisecond).Should(BeTrue())
	})
})
