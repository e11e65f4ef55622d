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
	// Lines that are missing without a count make a quiet log look like a quiet day.
	It("are counted", func() {
		drops := &logs.Drops{}
		sampled := logs.Sampled(logs.New(io.Discard), drops)
		for range 1000 {
			sampled.Info().Msg("request-ended")
		}
		// The lines may fall into two seconds of the rate, or more on a slow machine.
		Expect(drops.Rate.Load()).To(BeNumerically(">", 0))
		Expect(drops.Rate.Load()).To(BeNumerically("<", 1000))
	})

	It("are those that a blocked writer did not take", func() {
		drops := &logs.Drops{}
		reader, writer := io.Pipe()
		log, _ := logs.NewBounded(writer, drops)
		for range 5000 {
			log.Info().Msg("server-changed")
		}
		// The writer goes on after the burst and finds out then what it has missed.
		var group conc.WaitGroup
		group.Go(sink{reader}.run)
		Eventually(drops.Buffer.Load).Should(BeNumerically(">", 0))
		writer.Close()
		group.Wait()
	})
})

// sink reads everything.
type sink struct{ reader io.Reader }

func (s sink) run() { _, _ = io.Copy(io.Discard, s.reader) }
