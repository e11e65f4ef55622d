package owner

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// tableCountBits is the number of low bits of a version that count the tables of one term. The term
// is in the bits above, so that a table of a later term always has the higher version.
const tableCountBits = 32

// publish publishes a new table if the state has changed, and reports whether it did.
func (d *Decider) publish(now time.Time) bool {
	if !d.tableDirty || d.spans == nil {
		return false
	}
	d.tableDirty = false
	d.publishedAt = now
	d.tableCount++
	version := d.term<<tableCountBits + d.tableCount
	d.setHorizons(version)
	d.table = d.makeTable(version)
	d.setVersions(version)
	d.emit(Note{Kind: NoteTable, Version: version})
	return true
}

func (d *Decider) makeTable(version uint64) *assign.Table {
	t := &assign.Table{
		Version:  version,
		Term:     d.term,
		Services: make(map[assign.ServiceID][]assign.Holding, len(d.spans)),
		Buckets:  slices.Clone(d.buckets),
		Electors: slices.Clone(d.electors),
	}
	for id, spans := range d.spans {
		holdings := make([]assign.Holding, len(spans))
		for i, s := range spans {
			holdings[i] = s.Holding
		}
		t.Services[id] = holdings
	}
	for _, r := range d.runs {
		t.Runs = append(t.Runs, r.Run)
		if !r.ended {
			t.Processes = append(t.Processes, r.Process)
		}
	}
	slices.Sort(t.Processes)
	t.Processes = slices.Compact(t.Processes)
	return t
}

// setVersions records the version in the spans that it is the first to close and the runs that it
// is the first to list.
func (d *Decider) setVersions(version uint64) {
	for _, r := range d.runs {
		if r.listedVersion == 0 {
			r.listedVersion = version
		}
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			if !s.Open && s.closedVersion == 0 {
				s.closedVersion = version
			}
			for _, former := range s.formerOwners {
				if former.closedVersion == 0 {
					former.closedVersion = version
				}
			}
		}
	}
}
