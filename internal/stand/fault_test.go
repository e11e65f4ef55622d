package stand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func startBackend(o stand.BackendOptions) (*stand.Backend, *back.Client) {
	o.Name, o.Service = "ledger-1", "depot/ledger"
	s := stand.NewBackend(o)
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Kill)
	c := back.NewClient("ledger-1", s.Address(), back.Options{})
	DeferCleanup(c.Close)
	return s, c
}

func newCall(id string, runMs int) back.Call {
	return back.Call{
		RequestID: id, Method: "GET", Path: "/", Service: "depot/ledger",
		Headers: []back.Header{{Name: "Run-Ms", Value: fmt.Sprint(runMs)}},
	}
}

func postJSON(address netip.AddrPort, path, body string) {
	GinkgoHelper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + address.String() + path)
	request.Header.SetMethod("POST")
	request.SetBodyString(body)
	Expect(fasthttp.DoTimeout(request, response, 5*time.Second)).To(Succeed())
	Expect(response.StatusCode()).To(Equal(200))
}

var _ = Describe("setting faults over HTTP", func() {
	// Guards against a freeze that delays the answer to its own request, and against a fault that resets other faults.
	It("answers before a freeze begins and keeps the other faults", func() {
		s, client := startBackend(stand.BackendOptions{Fencing: assign.None})
		postJSON(s.Address(), "/stand/fault", `{"lie-load":true}`)
		postJSON(s.Address(), "/stand/fault", `{"freeze-ms":60000}`)
		Eventually(s.Fault).Should(Equal(stand.BackendFault{LieLoad: true, FreezeMs: 60000}))
		_, err := client.Send(contextWithTimeout(100*time.Millisecond), newCall("a", 1))
		Expect(back.KindOf(err)).To(Equal(back.Unknown))
		Expect(s.History()).To(BeEmpty())
		s.SetFault(stand.BackendFault{})
		Eventually(s.History).Should(HaveLen(1))
	})

	// Guards against a platform whose faults and VMs cannot be set from another process.
	It("changes the faults and the VMs of the platform", func() {
		p := stand.NewPlatform(stand.PlatformOptions{})
		Expect(p.Start()).To(Succeed())
		DeferCleanup(p.Stop)
		postJSON(p.Address(), "/stand/fault", `{"slow-ms":1}`)
		postJSON(p.Address(), "/stand/fault", `{"lose-answers":true}`)
		Expect(p.Fault()).To(Equal(stand.PlatformFault{SlowMs: 1, LoseAnswers: true}))
		postJSON(p.Address(), "/stand/vms", `{"vms":[{"name":"b1","address":"127.0.0.1:1","role":"backend","state":"leaving"}]}`)
		Expect(p.VMs()).To(Equal([]store.VM{{
			Name: "b1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Role: store.Backend, State: store.Leaving,
		}}))
	})
})

var _ = Describe("the history file", func() {
	// Guards against runs that are missing from the file after the process was killed: their start must be on disk.
	It("contains the start of a run while it runs and its end afterwards", func() {
		path := filepath.Join(GinkgoT().TempDir(), "history")
		s, client := startBackend(stand.BackendOptions{Fencing: assign.None, History: path})
		var group conc.WaitGroup
		ctx := contextWithTimeout(5 * time.Second)
		group.Go(func() { client.Send(ctx, newCall("a", 300)) })
		Eventually(s.History).Should(HaveLen(1))
		Expect(readRuns(path)).To(ConsistOf(HaveField("Outcome", stand.RunRunning)))
		group.Wait()
		runs := readRuns(path)
		Expect(runs).To(HaveLen(2))
		Expect(runs[1]).To(Equal(s.History()[0]))
		Expect(runs[1].Outcome).To(Equal(stand.RunFinished))
		Expect(runs[1].End - runs[1].Start).To(BeNumerically(">=", 300_000))
	})
})

func readRuns(path string) []stand.Run {
	content, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var runs []stand.Run
	for line := range bytes.Lines(content) {
		var r stand.Run
		Expect(json.Unmarshal(line, &r)).To(Succeed())
		runs = append(runs, r)
	}
	return runs
}

var _ = Describe("a graceful stop", func() {
	// Guards against a planned stop that interrupts runs, or that refuses connections while runs are in flight:
	// clients take a refused connection as proof that the process has ended (promises P1 and P7).
	It("completes the runs in flight first and refuses new calls meanwhile", func() {
		s, client := startBackend(stand.BackendOptions{Fencing: assign.None})
		ctx := contextWithTimeout(10 * time.Second)
		var err error
		var running, stopping conc.WaitGroup
		running.Go(func() { _, err = client.Send(ctx, newCall("a", 1000)) })
		Eventually(s.History).Should(HaveLen(1))
		stopping.Go(s.Stop)
		Eventually(func() back.Reason {
			_, err := client.Send(ctx, newCall("b", 1))
			return back.ReasonOf(err)
		}).Should(Equal(back.Draining))
		running.Wait()
		Expect(err).NotTo(HaveOccurred())
		stopping.Wait()
		Expect(client.Probe(ctx).Liveness).To(Equal(back.Ended))
	})
})

var _ = Describe("limits of a backend server", func() {
	// Guards against a connection limit that refuses connections: clients take that as the end of the process.
	It("reset connections above the limit instead of refusing them", func() {
		s, _ := startBackend(stand.BackendOptions{Connections: 1})
		first, err := net.Dial("tcp", s.Address().String())
		Expect(err).NotTo(HaveOccurred())
		defer first.Close()
		second, err := net.Dial("tcp", s.Address().String())
		if err == nil {
			defer second.Close()
			second.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = second.Read(make([]byte, 1))
		}
		// The reset may arrive while the connection is being opened.
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
	})

	// Guards against experiments in which a cold server runs at full speed immediately after its start.
	It("slow down calls while the server is cold", func() {
		s, client := startBackend(stand.BackendOptions{Fencing: assign.None, Cold: time.Hour, ColdFactor: 10})
		ctx := contextWithTimeout(5 * time.Second)
		Expect(client.Health(ctx)).To(HaveField("Status", back.StatusCold))
		_, err := client.Send(ctx, newCall("a", 20))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.History()[0].End - s.History()[0].Start).To(BeNumerically(">=", 200_000))
	})

	// Guards against clients that trust the reported load: a busy server may report none.
	It("are not visible if the server reports no load, and cancels may be ignored", func() {
		s, client := startBackend(stand.BackendOptions{Fencing: assign.None, IgnoreCancel: true})
		ctx := contextWithTimeout(5 * time.Second)
		var group conc.WaitGroup
		group.Go(func() { client.Send(ctx, newCall("a", 500)) })
		Eventually(s.History).Should(HaveLen(1))
		Expect(client.Health(ctx)).To(HaveField("Busy", 1))
		s.SetFault(stand.BackendFault{LieLoad: true})
		Expect(client.Health(ctx)).To(HaveField("Busy", 0))
		Expect(client.Cancel(ctx, "a")).To(Equal(back.CancelRunning))
		group.Wait()
		Expect(s.History()[0].Outcome).To(Equal(stand.RunFinished))
	})
})

var _ = Describe("grants", func() {
	keyedCall := func(id string, hash, fence uint64) back.Call {
		c := newCall(id, 1)
		c.Keyed, c.KeyHash, c.Fence = true, hash, lease.Fence(fence)
		return c
	}
	// Guards against a revocation of a part of a span that also revokes the rest.
	It("keep the rest of a span after a part of it was revoked", func() {
		_, client := startBackend(stand.BackendOptions{})
		ctx := contextWithTimeout(5 * time.Second)
		span := func(from, to uint64) []back.Granted {
			return []back.Granted{{Service: "depot/ledger", Span: assign.Span{From: from, To: to}, Fence: 5}}
		}
		_, err := client.Grant(ctx, time.Now().Add(5*time.Second), span(0, 100))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Revoke(ctx, span(50, 60))
		Expect(err).NotTo(HaveOccurred())
		for hash, want := range map[uint64]back.Reason{
			0: back.NoReason, 49: back.NoReason, 50: back.NoGrant, 60: back.NoGrant, 61: back.NoReason, 100: back.NoReason, 101: back.NoGrant,
		} {
			_, err := client.Send(ctx, keyedCall(fmt.Sprint(hash), hash, 5))
			Expect(back.ReasonOf(err)).To(Equal(want), "hash %d: %v", hash, err)
		}
	})

	// Guards against the use of the machine's clock instead of the server's clock.
	It("expire by the server's clock", func() {
		_, client := startBackend(stand.BackendOptions{ClockOffset: -time.Hour})
		ctx := contextWithTimeout(5 * time.Second)
		serverTime := time.Now().Add(-time.Hour)
		allKeys := []back.Granted{{Service: "depot/ledger", Span: assign.Span{To: ^uint64(0)}, Fence: 5}}
		receipt, err := client.Grant(ctx, serverTime.Add(-time.Second), allKeys)
		Expect(err).NotTo(HaveOccurred())
		Expect(receipt.ServerClock).To(BeTemporally("~", serverTime, time.Minute))
		_, err = client.Send(ctx, keyedCall("late", 1, 5))
		Expect(back.ReasonOf(err)).To(Equal(back.NoGrant))
		_, err = client.Grant(ctx, serverTime.Add(time.Minute), allKeys)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Send(ctx, keyedCall("in time", 1, 5))
		Expect(err).NotTo(HaveOccurred())
	})
})
