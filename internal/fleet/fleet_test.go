package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// testTimeout bounds the wait for a condition that must eventually hold. It is far above every target because
// the machine may be slow.
const testTimeout = 60 * time.Second

var _ = Describe("a complete deployment", Ordered, func() {
	var f *fleet.Fleet
	var ctx context.Context

	BeforeAll(func() {
		plan, err := fleet.Load(examples.Files, "khangai")
		Expect(err).NotTo(HaveOccurred())
		f = fleet.New(plan)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 5*testTimeout)
		DeferCleanup(cancel)
		Expect(f.Start(ctx)).To(Succeed())
		DeferCleanup(f.Stop)
	})

	// Guards against two operators who both believe that their change is in force.
	It("accepts one of two concurrent changes and puts it in force at every process", func() {
		first, second := f.Node("entry-1"), f.Node("entry-2")
		text, version, err := first.Config(ctx, "desk")
		Expect(err).NotTo(HaveOccurred())
		a := &change{node: first, ctx: ctx, text: withContact(text, "a"), version: version}
		b := &change{node: second, ctx: ctx, text: withContact(text, "b"), version: version}
		var group conc.WaitGroup
		group.Go(a.run)
		group.Go(b.run)
		group.Wait()
		winner, loser := a, b
		if a.err != nil {
			winner, loser = b, a
		}
		Expect(winner.err).NotTo(HaveOccurred())
		Expect(loser.err).To(MatchError(ContainSubstring("version")))
		for _, name := range f.Names() {
			Eventually(func() uint64 { return f.Node(name).Status().Teams["desk"] }).
				WithTimeout(testTimeout).Should(Equal(winner.next))
		}
		stored, _, err := first.Config(ctx, "desk")
		Expect(err).NotTo(HaveOccurred())
		Expect(stored).To(Equal(winner.text))
	})

	// Guards against a team's change that modifies the settings of another team.
	It("refuses an invalid change and names the file and line", func() {
		text, version, err := f.Node("entry-1").Config(ctx, "desk")
		Expect(err).NotTo(HaveOccurred())
		bad := strings.ReplaceAll(string(text), "team.desk", "team.yards")
		_, err = f.Node("entry-1").SetConfig(ctx, "desk", []byte(bad), version)
		Expect(err).To(MatchError(ContainSubstring("config/desk:1")))
	})

	// Guards against an invalid text, stored without the check, that stops processes, leaves them without
	// a configuration or is put in force in part.
	It("keeps the configuration in force when an invalid one is stored", func() {
		before := f.Node("entry-1").Status().Teams["desk"]
		client := store.NewClient(f.Platform().Address(), store.Options{})
		defer client.Close()
		text, version, err := f.Node("entry-1").Config(ctx, "desk")
		Expect(err).NotTo(HaveOccurred())
		broken, err := client.Put(ctx, "config/desk", []byte("[team.desk"), version)
		Expect(err).NotTo(HaveOccurred())
		f.Kill("entry-6")
		Expect(f.Restart("entry-6")).To(Succeed())
		Eventually(func() uint64 { return f.Node("entry-6").Status().Teams["desk"] }).
			WithTimeout(testTimeout).Should(Equal(before), "a starting process gets the configuration in force from its peers")
		_, err = client.Put(ctx, "config/desk", text, broken)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range f.Names() {
			Eventually(func() uint64 { return f.Node(name).Status().Teams["desk"] }).
				WithTimeout(testTimeout).Should(BeNumerically(">", broken))
			Eventually(func() bool { return f.Node(name).Status().Serving }).WithTimeout(testTimeout).Should(BeTrue())
		}
		Expect(before).To(BeNumerically("<", broken))
	})

	// Guards against a process that starts with a configuration or table older than the accepted one.
	It("restarts a process from its peers while the store is down", func() {
		f.Kill("entry-5")
		f.Platform().SetFault(stand.PlatformFault{Down: true})
		defer f.Platform().SetFault(stand.PlatformFault{})
		accepted := f.Node("entry-1").Status()
		Expect(f.Restart("entry-5")).To(Succeed())
		Eventually(func() bool { return f.Node("entry-5").Status().Serving }).WithTimeout(testTimeout).Should(BeTrue())
		status := f.Node("entry-5").Status()
		Expect(status.Teams).To(Equal(accepted.Teams))
		Expect(status.Version).To(BeNumerically(">=", accepted.Version))
	})

	// Guards against a graceful stop that cuts off calls, or refuses them while the load balancer still sends them.
	It("stops a process without cutting off a call", func() {
		name := assign.ProcessID("entry-7")
		calls := &lookupLoop{node: f.Node(name)}
		var group conc.WaitGroup
		calls.ctx, calls.cancel = context.WithCancel(ctx)
		group.Go(calls.run)
		Eventually(calls.completed).WithTimeout(testTimeout).Should(BeNumerically(">", 10))
		f.Shutdown(ctx, name)
		calls.cancel()
		group.Wait()
		Expect(calls.unknown.Load()).To(BeZero())
		Expect(f.Node(name).Status().Process).To(Equal(name))
	})

	// Guards against a draining server that owns no keys but still gets calls, because only the decider
	// reads the list of VMs and receives an operator's drain request.
	It("drains servers at every process, also after the loss of the decider", func() {
		f.Platform().SetVMs([]store.VM{{Name: "returns-2", Role: store.Backend, State: store.Leaving}})
		// An earlier test may have stopped the decider; an operator then repeats the request.
		Eventually(func() error { return f.Node("entry-1").DrainServer(ctx, "returns-3", false) }).
			WithTimeout(testTimeout).Should(Succeed())
		for _, name := range f.Names() {
			Eventually(draining(f.Node(name))).WithTimeout(testTimeout).Should(ConsistOf("returns-2", "returns-3"))
		}
		Eventually(f.Decider).WithTimeout(testTimeout).ShouldNot(BeEmpty())
		before := f.Decider()
		f.Kill(before)
		Eventually(f.Decider).WithTimeout(testTimeout).ShouldNot(BeEmpty())
		Consistently(draining(f.Node(f.Decider()))).WithTimeout(time.Second).Should(ConsistOf("returns-2", "returns-3"))
		Expect(f.Restart(before)).To(Succeed())
		Eventually(draining(f.Node(before))).WithTimeout(testTimeout).Should(ConsistOf("returns-2", "returns-3"))
	})

	// Guards against invalid requests that disturb a process or get an answer without a reason.
	DescribeTable("refuses an invalid request with the outcome not-run", func(method, path string, status int) {
		answer, err := caller.New(caller.Options{}).Do(f.Node("entry-1").CallerAddress(), caller.Call{
			Method: method, Path: path, Timeout: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(caller.NotRun))
		Expect(answer.Status).To(Equal(status))
		Expect(answer.Reason).NotTo(BeEmpty())
	},
		Entry("a path without a service", http.MethodGet, "/nothing", http.StatusNotFound),
		Entry("an unknown service", http.MethodGet, "/yards/nothing/x", http.StatusNotFound),
		Entry("an unknown operation", http.MethodPatch, "/yards/ledger/balances/a", http.StatusNotFound),
		Entry("a call without a key", http.MethodGet, "/yards/ledger/balances", http.StatusBadRequest),
		Entry("a path with parent directory segments", http.MethodGet, "/yards/ledger/../../control/drain", http.StatusNotFound),
	)
})

// draining returns a function that lists the servers that a process sees as draining.
func draining(n *node.Node) func() []string {
	return func() []string {
		var ids []string
		for _, s := range n.Status().Servers {
			if s.Leaving {
				ids = append(ids, string(s.Server))
			}
		}
		return ids
	}
}

// withContact returns the text with the contact replaced.
func withContact(text []byte, contact string) []byte {
	return []byte(strings.Replace(string(text), "contact = desk", "contact = "+contact, 1))
}

// change is one operator's change of a team's configuration and its result.
type change struct {
	node    *node.Node
	ctx     context.Context
	text    []byte
	version uint64
	next    uint64
	err     error
}

func (c *change) run() {
	c.next, c.err = c.node.SetConfig(c.ctx, "desk", c.text, c.version)
}

// lookupLoop makes lookups through one process while the process reports that it is ready.
type lookupLoop struct {
	node    *node.Node
	ctx     context.Context
	cancel  context.CancelFunc
	count   atomic.Int64
	unknown atomic.Int64
}

func (l *lookupLoop) run() {
	client := caller.New(caller.Options{})
	entry := l.node.CallerAddress()
	for l.ctx.Err() == nil {
		ready, err := client.Do(entry, caller.Call{Method: http.MethodGet, Path: "/ready", Timeout: time.Second})
		if err != nil || ready.Status != http.StatusOK {
			return
		}
		answer, _ := client.Do(entry, caller.Call{Method: http.MethodGet, Path: "/yards/ledger/balances/yard-1", Timeout: time.Second})
		if answer.Outcome == caller.Unknown {
			l.unknown.Add(1)
		}
		l.count.Add(1)
	}
}

func (l *lookupLoop) completed() int64 { return l.count.Load() }

// Guards against a fleet that cannot start while one of its entry VMs is lost.
var _ = It("starts without one of its processes", func() {
	plan, err := fleet.Load(examples.Files, "bakugaisma")
	Expect(err).NotTo(HaveOccurred())
	f := fleet.New(plan, fleet.WithoutProcess("entry-4"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	defer f.Stop()
	Expect(f.Start(ctx)).To(Succeed())
})
