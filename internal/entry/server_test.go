package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("the clock of a server", func() {
	var (
		server *entry.Server
		start  time.Time
	)

	// observe takes over an answer; all times are milliseconds after the start.
	observe := func(sent, answered, reading int) {
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		server.Observe(back.Receipt{
			Incarnation: "run-1",
			ServerClock: at(reading),
			Trip:        wire.RoundTrip{Sent: at(sent), Answered: at(answered)},
		})
	}

	BeforeEach(func() {
		start = time.Now()
		server = entry.NewServer(assign.Server{ID: "ledger-1"}, nil, nil, lease.DefaultMargin)
	})

	// Guards against calls that are refused because two answers overtook each other: the earlier
	// reading that arrives later is no step of the server's clock.
	It("stays known when answers of concurrent calls arrive in another order", func() {
		observe(0, 10, 8)
		observe(0, 12, 6)
		_, known := server.NotAfter(start.Add(time.Second))
		Expect(known).To(BeTrue())
	})

	// Guards against a NotAfter from a reading before the server's clock went back, which would let
	// the server work for too long.
	It("is forgotten when the server's clock goes back", func() {
		observe(0, 10, 8)
		observe(10, 20, 5)
		_, known := server.NotAfter(start.Add(time.Second))
		Expect(known).To(BeFalse())
	})
})
