package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

var (
	seeds   = flag.Int("seeds", 0, "number of seeds to play; 0 plays those of CI")
	first   = flag.Uint64("first", 1, "the first seed")
	fresh   = flag.Bool("fresh", false, "take the first seed from the clock")
	length  = flag.Duration("length", 12*time.Second, "time of faults for each seed")
	entries = flag.Int("entries", 4, "number of entry processes")
	servers = flag.Int("servers", 5, "number of servers that own keys")
)

const (
	// recovery is the time after the last fault in which every process serves every key again.
	recovery = 15 * time.Second
	// callersPerEntry is the number of callers for each entry process.
	callersPerEntry = 3
	// shownFailures bounds the failures that are printed for a seed.
	shownFailures = 20
)

// ciSeeds are played in CI: one ordinary run, and each seed that ever failed, with its cause.
var ciSeeds = []uint64{
	1,
	3, // a process that had started anew refused all requests until something changed at the leader
}

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("the entry program", func() {
	// Guards the promises of the pages under faults that come together and in any order.
	It("keeps its promises under faults", func() {
		folder, err := os.MkdirTemp("", "soak")
		Expect(err).NotTo(HaveOccurred())
		program := filepath.Join(folder, "samphiredrum")
		build := exec.Command("go", "build", "-o", program, "github.com/samphiredrum/samphiredrum/cmd/samphiredrum")
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		var broken []string
		for _, seed := range chosen() {
			fmt.Fprintf(GinkgoWriter, "event=seed seed=%d\n", seed)
			if failures := play(program, filepath.Join(folder, fmt.Sprint(seed)), seed); len(failures) > 0 {
				broken = append(broken, fmt.Sprintf("seed %d:\n  %s", seed, strings.Join(failures, "\n  ")))
			}
		}
		Expect(broken).To(BeEmpty(), "logs are in %s\n%s", folder, strings.Join(broken, "\n"))
		Expect(os.RemoveAll(folder)).To(Succeed())
	})
})

func chosen() []uint64 {
	if *seeds == 0 {
		return ciSeeds
	}
	start := *first
	if *fresh {
		start = uint64(time.Now().UnixNano())
	}
	var list []uint64
	for i := range *seeds {
		list = append(list, start+uint64(i))
	}
	return list
}

// play runs one seed and returns the promises that were broken.
func play(program, folder string, seed uint64) []string {
	Expect(os.Mkdir(folder, 0o700)).To(Succeed())
	store, err := site.NewStore()
	Expect(err).NotTo(HaveOccurred())
	w := &world{store: store}
	for range *servers {
		Expect(w.addServer(ledger, "")).To(Succeed())
	}
	Expect(w.configure()).To(Succeed())
	for i := range *entries {
		way, err := newProxy(store.Address())
		Expect(err).NotTo(HaveOccurred())
		e, err := newEntry(folder, program, i, way)
		Expect(err).NotTo(HaveOccurred())
		w.entries = append(w.entries, e)
	}
	if failure := w.settle("the start"); failure != "" {
		w.fail("%s", failure)
	}
	w.group.Go(balancer{w}.run)
	w.group.Go(sampler{w}.run)
	for i := range callersPerEntry * *entries {
		c := &caller{world: w, random: rand.New(rand.NewPCG(seed, uint64(i)+1)), number: len(w.callers)}
		w.callers = append(w.callers, c)
		w.group.Go(c.run)
	}
	p := &plan{world: w, random: rand.New(rand.NewPCG(seed, 0)), until: time.Now().Add(*length)}
	p.run()
	p.heal()
	if failure := w.settle("the last fault"); failure != "" {
		w.fail("%s", failure)
	}
	return w.finish(p)
}

// settle waits until every process serves every key and bookings by the latest version.
func (w *world) settle(since string) string {
	missing := ""
	for end := time.Now().Add(recovery); ; time.Sleep(100 * time.Millisecond) {
		if missing = w.unserved(); missing == "" || time.Now().After(end) {
			break
		}
	}
	if missing != "" {
		return fmt.Sprintf("%s after %s: %s", recovery, since, missing)
	}
	return ""
}

// unserved names a process that does not serve a key or bookings, "" where there is none.
func (w *world) unserved() string {
	for _, e := range w.entries {
		c := &caller{world: w, random: rand.New(rand.NewPCG(0, 0)), number: len(w.callers)}
		w.callers = append(w.callers, c)
		c.entry, c.life = e, e.current()
		if missing := c.visit(); missing != "" {
			return e.name + " " + missing
		}
	}
	return ""
}

// visit asks one process for every key and for a booking.
func (c *caller) visit() string {
	defer c.close()
	for i := range keys {
		key := i * (shard.LastKey / (keys - 1))
		if a := c.attemptAt("GET", "/ledger/1", key); a.status != 200 {
			return fmt.Sprintf("answers %d for key %d", a.status, key)
		}
	}
	a := c.attemptAt("POST", "/book/1", -1)
	for _, m := range c.world.booking() {
		if m.ID() == a.signature {
			return ""
		}
	}
	return fmt.Sprintf("answers %d from %q for a booking", a.status, a.signature)
}

// finish ends callers, processes and servers, and returns what was broken.
func (w *world) finish(p *plan) []string {
	w.over.Store(true)
	w.group.Wait()
	for _, e := range w.entries {
		if !e.stop() {
			w.fail("%s did not end in time after SIGTERM", e.name)
		}
		e.store.close()
		w.failures = append(w.failures, e.failures...)
	}
	j := newJudge(w)
	j.judge()
	fmt.Fprintf(GinkgoWriter, "event=seed-played faults=%d answers=%q plan=%q\n", len(p.notes), j.summary(), strings.Join(p.notes, ", "))
	for _, m := range w.members {
		m.proxy.close()
		if !m.gone {
			m.Kill()
		}
	}
	w.store.Close()
	return w.failures[:min(len(w.failures), shownFailures)]
}
