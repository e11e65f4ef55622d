package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferLines is the capacity of the buffer in lines. Lines that the buffer cannot hold are dropped.
	bufferLines = 1024
	// maxLinesPerSecond is the rate above which Sampled drops lines.
	maxLinesPerSecond = 60
)

// Drops counts the lines that were dropped. It is safe for concurrent use.
type Drops struct {
	// Buffer counts the lines that were dropped because the writer was too slow, Rate those that
	// exceeded the rate limit of Sampled.
	Buffer, Rate atomic.Uint64
}

// NewBounded returns a logger like New that never blocks on w: it buffers lines, and drops some if w
// is too slow. The function flush writes the buffered lines and stops the logger.
func NewBounded(w io.Writer, d *Drops) (log zerolog.Logger, flush func()) {
	buffer := diode.NewWriter(w, bufferLines, 0, func(dropped int) { d.Buffer.Add(uint64(dropped)) })
	return New(buffer), func() {
		// Close writes the buffered lines. An error of the writer cannot be logged.
		_ = buffer.Close()
	}
}

// Sampled returns a logger that drops the lines above a rate limit. It is meant for events that occur
// for each request.
func Sampled(log zerolog.Logger, d *Drops) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxLinesPerSecond, Period: time.Second, NextSampler: dropCounter{d}})
}

// dropCounter is a sampler that drops and counts every line.
type dropCounter struct{ drops *Drops }

// Sample implements zerolog.Sampler.
func (c dropCounter) Sample(zerolog.Level) bool {
	c.drops.Rate.Add(1)
	return false
}
