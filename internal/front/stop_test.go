package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
)

// stopCaller sends bookings one after another, on the same connection while it is open.
type stopCaller struct {
	process *process
	number  int
	client  http.Client
	// statuses are the statuses of the answers by request, 0 for a request without one.
	statuses map[string]int
}

// run sends requests until the context ends.
func (c *stopCaller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("stop-%d-%d", c.number, i)
		c.statuses[id] = c.send(id)
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *stopCaller) send(id string) int {
	r, err := http.NewRequest("POST", "http://"+c.process.settings.CallerAddress.String()+"/book/1", strings.NewReader("x"))
	if err != nil {
		return 0
	}
	r.Host = "yards.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

var _ = Describe("a process that stops", func() {
	// Guards against requests that are taken late in the stop time, passed on, and cut when it ends.
	It("answers every request that it has passed on, and rejects those that may last too long", func() {
		store := newStore()
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "old"))
		server, err := site.NewServer(site.ServerOptions{ID: "s-1", Service: "old", Born: 1, Work: 1500 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Kill)
		putEntry(store, server, "ready")
		p := start("entry-1", store.Address())
		settings := p.settings
		settings.Bounds.GracePeriod = 4 * time.Second
		p.Reload(settings)
		Eventually(p.book, waitLimit, 100*time.Millisecond).Should(Equal("s-1"))

		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		var callers []*stopCaller
		for i := range 12 {
			c := &stopCaller{process: p, number: i, client: http.Client{Transport: &http.Transport{}}, statuses: map[string]int{}}
			callers = append(callers, c)
			group.Go(func() { c.run(ctx) })
			time.Sleep(100 * time.Millisecond)
		}
		p.Stop()
		cancel()
		group.Wait()

		ran := map[string]bool{}
		for _, r := range server.Runs() {
			ran[r.Request] = true
		}
		counts := map[int]int{}
		for _, c := range callers {
			for id, status := range c.statuses {
				counts[status]++
				Expect(ran[id] && status != 200).To(BeFalse(), "request %s ran, and was answered %d", id, status)
			}
		}
		Expect(counts[200]).To(BeNumerically(">", 0))
		Expect(counts[503]).To(BeNumerically(">", 0))
	})
})
