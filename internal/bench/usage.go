package bench

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// machineCores is the number of cores above which a figure counts as limited by the machine. The
// machine is shared, and a measurement should leave the rest to others.
const machineCores = 4.0

// lateLimit is the lateness of the generator, 99th percentile, above which a figure counts as
// limited by the machine.
const lateLimit = 5 * time.Millisecond

// usage is what this operating system process used: the generator, the measured system and the
// stand-ins together.
type usage struct {
	at  time.Time
	cpu time.Duration
	// allocations and bytes are those of the heap.
	allocations uint64
	bytes       uint64
	// written are the bytes passed to write calls, almost all of them on sockets.
	written uint64

	elapsed time.Duration
	dropped int
	// late is the 99th percentile of the time between the intended and the real start of calls.
	late time.Duration
}

// takeUsage reads the counters.
func takeUsage() usage {
	var r syscall.Rusage
	// The call fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at:          time.Now(),
		cpu:         time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocations: m.Mallocs,
		bytes:       m.TotalAlloc,
		written:     writtenBytes(),
	}
}

// since returns what was used after an earlier reading.
func (u usage) since(before usage) usage {
	return usage{
		elapsed:     u.at.Sub(before.at),
		cpu:         u.cpu - before.cpu,
		allocations: u.allocations - before.allocations,
		bytes:       u.bytes - before.bytes,
		written:     u.written - before.written,
	}
}

// cores returns the average number of cores used.
func (u usage) cores() float64 {
	return u.cpu.Seconds() / u.elapsed.Seconds()
}

// limit says what limited a measurement under load.
func (u usage) limit() string {
	if u.cores() > machineCores || u.late > lateLimit || u.dropped > 0 {
		return "machine"
	}
	return "servers-or-router"
}

// writtenBytes returns the bytes that this process passed to write calls, 0 where the kernel does
// not count them.
func writtenBytes() uint64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("wchar: ")); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
			if err == nil {
				return n
			}
		}
	}
	return 0
}
