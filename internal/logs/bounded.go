package logs

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the number of lines that wait for the writer; more are dropped.
	bufferedLines = 1024
	// burstLines is the number of lines a second above which Bounded drops lines.
	burstLines = 60
)

// NewBounded returns a logger like New that never waits for w, and a function that ends it.
func NewBounded(w io.Writer) (log zerolog.Logger, flush func()) {
	d := diode.NewWriter(w, bufferedLines, 0, nil)
	return New(d), func() {
		// The buffer is written out; an error of the writer has nowhere to go.
		_ = d.Close()
	}
}

// Sampled returns a logger that drops lines above a rate, for events of single requests.
func Sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: burstLines, Period: time.Second})
}
