package scene

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// readHistory reads the history file of a server that has ended. killed lists the times just before each kill of
// the server during the scenario. An unfinished run ends at the kill, because a killed process does no more work.
func readHistory(file string, killed []time.Time) ([]stand.Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrRun.Wrap(err, "the history file of the server can't be read")
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
			// A kill may truncate the last line; the run is known from the line written at its start.
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

// endAtKill sets the end of an unfinished run to the first kill of its server after the start of the run.
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
		// The run started after the time of the kill was taken and before the signal arrived.
		r.End, r.Outcome = r.Start, stand.RunKilled
	}
}
