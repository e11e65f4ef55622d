package bench

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// machineCores is the number of used cores above which a figure counts as limited by the machine. It is below the
// size of the machine because other programs share it.
const machineCores = 4.0

// lateLimit is the 99th percentile of the generator's lateness above which a figure counts as limited by the
// machine.
const lateLimit = 5 * time.Millisecond

// usage holds the resources used by this operating system process: the generator, the measured system and the
// stand-ins together.
type usage struct {
	at  time.Time
	cpu time.Duration
	// allocations and bytes are the cumulative number and size of heap allocations.
	allocations uint64
	bytes       uint64
	// written is the number of bytes passed to write calls, almost all of them on sockets.
	written uint64

	elapsed time.Duration
	dropped int
	// late is the 99th percentile of the time between the intended and the real start of calls.
	late time.Duration
}

// readUsage reads the resource counters of the process.
func readUsage() usage {
	var r syscall.Rusage
	// The call fails only for an invalid argument.
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

// since returns the resources used since an earlier reading.
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

// limit names what limited a measurement under load, the machine or the measured system.
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
