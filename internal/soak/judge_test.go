package soak_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
)

const (
	// revertSlack is how long after a process showed a version a request may still get an earlier one.
	revertSlack = 250 * time.Millisecond
	// cleanBefore is how long a way must have been without harm for an answer to count as lost.
	cleanBefore = 2 * time.Second
)

// judge compares what callers saw with what servers ran.
type judge struct {
	world    *world
	attempts []*attempt
	runs     map[string][]ran
}

// ran is a run of a request with its server.
type ran struct {
	site.Run
	member *member
}

func newJudge(w *world) *judge {
	j := &judge{world: w, runs: map[string][]ran{}}
	for _, c := range w.callers {
		j.attempts = append(j.attempts, c.attempts...)
	}
	for _, m := range w.members {
		for _, r := range m.Runs() {
			j.runs[r.Request] = append(j.runs[r.Request], ran{r, m})
		}
	}
	return j
}

func (j *judge) judge() {
	known := map[string]bool{}
	for _, a := range j.attempts {
		known[a.id] = true
		j.once(a)
		j.whole(a)
		j.lost(a)
	}
	for id := range j.runs {
		if !known[id] {
			j.world.fail("request %s ran, which no caller sent", id)
		}
	}
	j.reverts()
}

// once checks that a booking runs once at most, and not where its answer says that it never will.
func (j *judge) once(a *attempt) {
	if a.method != "POST" {
		return
	}
	if n := len(j.runs[a.id]); n > 1 {
		j.world.fail("booking %s ran %d times", a.id, n)
	}
	if a.promised() && len(j.runs[a.id]) > 0 {
		j.world.fail("booking %s was answered %d through %s and ran", a.id, a.status, a.entry.name)
	}
}

// whole checks that a success is the whole answer of a server that ran the request.
func (j *judge) whole(a *attempt) {
	if a.status < 200 || a.status > 299 {
		return
	}
	ran := slices.ContainsFunc(j.runs[a.id], func(r ran) bool { return r.Server == a.signature })
	if !ran || a.body != site.Body(a.id, a.signature) {
		j.world.fail("request %s got an answer that is not its own: signature %q, body %q", a.id, a.signature, a.body)
	}
}

// lost checks that an answer that a server made reaches its caller, where neither the process nor the ways
// were harmed.
func (j *judge) lost(a *attempt) {
	if a.unsent || a.late || a.status != 0 || a.life.disturbed {
		return
	}
	for _, r := range j.runs[a.id] {
		if r.Answered && !r.member.harmed && r.member.proxy.clean(a.sent.Add(-cleanBefore)) {
			j.world.fail("request %s ran at %s, and %s closed its connection without the answer (stopping since %s)",
				a.id, r.Server, a.entry.name, a.life.stopping.Format(time.TimeOnly))
		}
	}
}

// reverts checks that no process goes back to an earlier version of the configuration.
func (j *judge) reverts() {
	answered := slices.DeleteFunc(slices.Clone(j.attempts), func(a *attempt) bool { return a.status != 200 || a.method != "POST" })
	slices.SortFunc(answered, func(a, b *attempt) int { return a.done.Compare(b.done) })
	for i, a := range answered {
		version := j.versionOf(a)
		if version == 0 {
			continue
		}
		for _, b := range answered[i+1:] {
			if b.life == a.life && b.sent.Sub(a.done) > revertSlack {
				if later := j.versionOf(b); later != 0 && later < version {
					j.world.fail("%s went back from version %d to %d with request %s", a.entry.name, version, later, b.id)
				}
				break
			}
		}
	}
}

// versionOf returns the version of the configuration by which a booking was sent, 0 where it is not known.
func (j *judge) versionOf(a *attempt) int {
	version := 0
	for _, r := range j.runs[a.id] {
		if _, err := fmt.Sscanf(r.Service, "book-%d", &version); err != nil {
			return 0
		}
	}
	return version
}

// summary counts what callers saw.
func (j *judge) summary() string {
	counts := map[string]int{}
	for _, a := range j.attempts {
		switch {
		case a.unsent:
			counts["unsent"]++
		case a.late:
			counts["late"]++
		case a.status == 0:
			counts["cut"]++
		default:
			counts[fmt.Sprint(a.status)]++
		}
	}
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", k, n))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return strings.Join(parts, " ")
}
