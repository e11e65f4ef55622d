package logs_test

import (
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/logs"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs")
}

var _ = Describe("dropped lines", func() {
	// Guards against lines that are dropped without being counted: the log would look as if nothing had
	// happened.
	It("are counted above the rate limit", func() {
		drops := &logs.Drops{}
		sampled := logs.Sampled(logs.New(io.Discard), drops)
		for range 1000 {
			sampled.Info().Msg("request-ended")
		}
		// The lines may spread over two periods of one second, or more on a slow machine.
		Expect(drops.Rate.Load()).To(BeNumerically(">", 0))
		Expect(drops.Rate.Load()).To(BeNumerically("<", 1000))
	})

	It("are counted if the writer is too slow", func() {
		drops := &logs.Drops{}
		reader, writer := io.Pipe()
		log, _ := logs.NewBounded(writer, drops)
		for range 5000 {
			log.Info().Msg("server-changed")
		}
		// The dropped lines are counted only when the writer continues after the burst.
		var group conc.WaitGroup
		group.Go(sink{reader}.run)
		Eventually(drops.Buffer.Load).Should(BeNumerically(">", 0))
		writer.Close()
		group.Wait()
	})
})

// sink reads and discards everything.
type sink struct{ reader io.Reader }

func (s sink) run() { _, _ = io.Copy(io.Discard, s.reader) }
