package front_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
)

const (
	// namedRate is the request rate that the server in need names, in requests per second.
	namedRate = 3
	// limitWindow is the time in which a limited server may get limitFactor times the requests of its rate, and
	// limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// callsPerSecond is the number of requests per second that each process gets.
	callsPerSecond = 25
)

// callers send requests for keys of the whole range to a process.
type callers struct {
	process *process
	end     time.Time
	mu      *sync.Mutex
	// status counts the responses by their status.
	status map[int]int
}

func (c callers) run() {
	for i := 0; time.Now().Before(c.end); i++ {
		status := c.process.ledgerStatus(fmt.Sprint(i * 997 % 65536))
		c.mu.Lock()
		c.status[status]++
		c.mu.Unlock()
		time.Sleep(time.Second / callsPerSecond)
	}
}

// mostWithin returns the largest number of arrivals since a time within any window of the given length.
func mostWithin(arrivals []site.Arrival, since time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, a := range arrivals {
		at := a.At
		for arrivals[first].At.Before(since) && first < i || at.Sub(arrivals[first].At) > window {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a server in need that gets more requests than the rate it has named, summed over the processes.
func TestServerGetsNoMoreThanItsLimitFromAllProcesses(t *testing.T) {
	RegisterTestingT(t)
	store, err := site.NewStore()
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	store.Put("config", "main", fmt.Sprintf(configuration, 1, "old"))
	servers := startServers(t, store, "ledger", "ledger", "ledger")
	processes := startProcesses(t, store, 3)
	for _, p := range processes {
		Eventually(func() int { return p.ledgerStatus("0") }, waitLimit, 100*time.Millisecond).Should(Equal(200))
	}
	status := map[int]int{}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, p := range processes {
		group.Go(callers{process: p, end: time.Now().Add(9 * time.Second), mu: &mu, status: status}.run)
	}
	time.Sleep(time.Second)
	servers[0].NameLimit(fmt.Sprint(namedRate))
	named := time.Now()
	group.Wait()
	allowed := int(namedRate*limitFactor*limitWindow.Seconds()) + limitSlack
	// One second after the limit was named, each process has passed on a response with it.
	Expect(mostWithin(servers[0].Arrivals(), named.Add(time.Second), limitWindow)).To(BeNumerically("<=", allowed))
	Expect(servers[0].Arrivals()[len(servers[0].Arrivals())-1].At).To(BeTemporally(">", named.Add(limitWindow)), "the limited server still gets requests")
	Expect(status[200]).To(BeNumerically(">", 3*(status[503]+status[421])), "the other servers take the rest: %v", status)
}
