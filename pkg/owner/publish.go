package owner

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// versionBits is the part of a version that counts the tables of one term. The term is above it,
// so that a table of a later term always has the higher version.
const versionBits = 32

// publish makes the state a table where it has changed.
func (d *Decider) publish(now time.Time) bool {
	if !d.dirty || d.spans == nil {
		return false
	}
	d.dirty = false
	d.publishedAt = now
	d.versions++
	version := d.term<<versionBits + d.versions
	d.raiseHorizons(version)
	d.table = d.makeTable(version)
	d.stamp(version)
	d.act(Note{Kind: NoteTable, Version: version})
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

// stamp notes the version in what it closes and lists for the first time.
func (d *Decider) stamp(version uint64) {
	for _, r := range d.runs {
		if r.listed == 0 {
			r.listed = version
		}
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			if !s.Open && s.closed == 0 {
				s.closed = version
			}
			for _, l := range s.leaves {
				if l.version == 0 {
					l.version = version
				}
			}
		}
	}
}
