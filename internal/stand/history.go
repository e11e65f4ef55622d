package stand

import (
	"encoding/json"
	"os"
	"sync"
)

// The values of Run.Outcome.
const (
	// RunRunning is a run that has not ended. In the history file, the runs that a lost process did not
	// end keep this outcome.
	RunRunning = "running"
	// RunFinished is a run that completed its work.
	RunFinished = "finished"
	// RunCancelled is a run that was cancelled.
	RunCancelled = "cancelled"
	// RunLapsed is a run that was stopped because the server's grant had expired.
	RunLapsed = "lapsed"
	// RunExpired is a run that was stopped because its deadline or Not-After had passed.
	RunExpired = "expired"
	// RunKilled is a run that was stopped by Backend.Kill.
	RunKilled = "killed"
)

// Run records the execution of one call by a Backend.
type Run struct {
	RequestID string `json:"request-id"`
	Service   string `json:"service"`
	// KeyHash is the value of the Key-Hash header, 16 hex digits, or "" for a call without a key.
	KeyHash string `json:"key-hash"`
	Fence   uint64 `json:"fence"`
	// Start is the time at which the run started, in Unix microseconds by the machine's clock,
	// not by the server's clock.
	Start int64 `json:"start"`
	// End is the last time at which the run did any work, or 0 while it runs. The End of a run that was
	// stopped after a freeze lies before the freeze, because the run did no work during it.
	End int64 `json:"end"`
	// Outcome is one of the constants RunRunning to RunKilled.
	Outcome     string `json:"outcome"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// history keeps all runs in memory and also appends them to a file if one is set.
type history struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

func (h *history) open(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	h.file = f
	return err
}

func (h *history) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.file != nil {
		// Lines are written without a buffer, so a failed Close loses no data.
		_ = h.file.Close()
		h.file = nil
	}
}

// begin records the start of a run and returns its index.
func (h *history) begin(r Run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Outcome = RunRunning
	h.runs = append(h.runs, r)
	h.write(r)
	return len(h.runs) - 1
}

func (h *history) finish(index int, end int64, outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.runs[index]
	r.End = end
	r.Outcome = outcome
	h.write(*r)
}

// write appends one line without a buffer, so that the line survives if the process is killed.
func (h *history) write(r Run) {
	if h.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = h.file.Write(append(line, '\n'))
	}
	if err != nil {
		// A missing line would hide faults from the checks that read the file.
		panic("stand: cannot write the history file, check its disk: " + err.Error())
	}
}

func (h *history) read() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}
