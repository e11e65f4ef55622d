package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the number of lines that wait for the writer; more are dropped.
	bufferedLines = 1024
	// burstLines is the number of lines a second above which Sampled drops lines.
	burstLines = 60
)

// Drops counts lines that were not written. It is safe for concurrent use.
type Drops struct {
	// Buffer counts those that the writer was too slow for, Rate those above the rate of Sampled.
	Buffer, Rate atomic.Uint64
}

// NewBounded returns a logger like New that never waits for w, and a function that ends it.
func NewBounded(w io.Writer, d *Drops) (log zerolog.Logger, flush func()) {
	buffer := diode.NewWriter(w, bufferedLines, 0, func(missed int) { d.Buffer.Add(uint64(missed)) })
	return New(buffer), func() {
		// The buffer is written out; an error of the writer has nowhere to go.
		_ = buffer.Close()
	}
}

// Sampled returns a logger that drops lines above a rate, for events of single requests.
func Sampled(log zerolog.Logger, d *Drops) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: burstLines, Period: time.Second, NextSampler: counter{d}})
}

// counter drops every line and counts it.
type counter struct{ drops *Drops }

// Sample implements zerolog.Sampler.
func (c counter) Sample(zerolog.Level) bool {
	c.drops.Rate.Add(1)
	return false
}
