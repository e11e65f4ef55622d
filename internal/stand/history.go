package stand

import (
	"encoding/json"
	"os"
	"sync"
)

// The outcomes of a Run.
const (
	// RunRunning is a run that has not ended. After the loss of the process it stays so in the
	// history file.
	RunRunning = "running"
	// RunFinished is a run whose work is done.
	RunFinished = "finished"
	// RunCancelled is a run that was cancelled.
	RunCancelled = "cancelled"
	// RunLapsed is a run that stopped because the server's grant had lapsed.
	RunLapsed = "lapsed"
	// RunExpired is a run that stopped because its deadline was over.
	RunExpired = "expired"
	// RunKilled is a run that was stopped by Backend.Kill.
	RunKilled = "killed"
)

// Run is one run of a call at a Backend.
type Run struct {
	RequestID string `json:"request-id"`
	Service   string `json:"service"`
	// KeyHash is 16 hex digits, or "" for a call without a key.
	KeyHash string `json:"key-hash"`
	Fence   uint64 `json:"fence"`
	// Start is the time at which the run started, in unix microseconds of the machine's clock,
	// not of the server's own clock.
	Start int64 `json:"start"`
	// End is the last moment at which the run did any work, or 0 while it runs. A run that was
	// stopped after a freeze did no work since the freeze began.
	End int64 `json:"end"`
	// Outcome is one of the outcomes above.
	Outcome     string `json:"outcome"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// history keeps every run in memory and, where a file is set, on disk.
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
		// Every line was written without a buffer, so nothing is left to lose.
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

// write appends one line without a buffer, so that it outlives a killed process.
func (h *history) write(r Run) {
	if h.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = h.file.Write(append(line, '\n'))
	}
	if err != nil {
		// A gap in the record would hide faults from the checks that read it.
		panic("stand: cannot write the history file, check its disk: " + err.Error())
	}
}

func (h *history) read() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}
