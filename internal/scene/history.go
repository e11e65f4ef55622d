package scene

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// readHistory reads the history file of a server that has ended. killed are the times just before
// the server was killed during the scenario: a run that it had not ended is taken to end there,
// because nothing of a killed process works on.
func readHistory(file string, killed []time.Time) ([]stand.Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrRun.Wrap(err, "the server wrote no history")
	}
	type key struct {
		request, incarnation string
		start                int64
	}
	var runs []stand.Run
	index := make(map[key]int)
	for _, row := range bytes.Split(text, []byte("\n")) {
		var r stand.Run
		if json.Unmarshal(row, &r) != nil {
			// The last line of a killed process may be torn; the run is there by its first line.
			continue
		}
		k := key{r.RequestID, r.Incarnation, r.Start}
		if i, ok := index[k]; ok {
			runs[i] = r
			continue
		}
		index[k] = len(runs)
		runs = append(runs, r)
	}
	for i := range runs {
		endAtKill(&runs[i], killed)
	}
	return runs, nil
}

// endAtKill ends a run that was cut off by the first loss of its server after its start.
func endAtKill(r *stand.Run, killed []time.Time) {
	if r.Outcome != stand.RunRunning {
		return
	}
	for _, at := range killed {
		if at.UnixMicro() >= r.Start {
			r.End, r.Outcome = at.UnixMicro(), stand.RunKilled
			return
		}
	}
	if len(killed) > 0 {
		// It started after the time was read and before the signal arrived.
		r.End, r.Outcome = r.Start, stand.RunKilled
	}
}
