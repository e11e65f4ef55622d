package pick

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/spill"
)

const (
	// minReportFactor and maxReportFactor bound the factor of a report on the score. Their ratio is less than 2/tieRatio, where 2 is the effect
	// of one call in flight on the score of an idle server.
	minReportFactor = 0.75
	maxReportFactor = 1.4
	// reportSlope is the growth of the factor with the reported load.
	reportSlope = 0.35
)

// reportFactor returns the factor of the server's report on its score, which fades with the age of the report.
func (s *server) reportFactor(now time.Time) float64 {
	age := now.Sub(s.reported)
	if s.report.MaxAge <= 0 || age >= s.report.MaxAge {
		return 1
	}
	factor := min(maxReportFactor, minReportFactor+reportSlope*s.report.Load)
	fresh := 1 - max(0, float64(age))/float64(s.report.MaxAge)
	return 1 + fresh*(factor-1)
}

// tieLoad returns the reported load that decides between similar scores.
func (s *server) tieLoad() float64 {
	if s.report.MaxAge > 0 {
		return 0
	}
	return s.report.Load
}

// spills reports whether the spill controller decides about calls with the objective.
func (p *Picker) spills(objective time.Duration) bool {
	return p.config.Spill != nil && objective > 0
}

// spillDomain returns the candidates in the failure domain that the spill controller chooses.
func (p *Picker) spillDomain(now time.Time, c Call, local, other []*server) []*server {
	p.config.Spill.SetCapacity(now, p.capacity(now))
	choice := p.config.Spill.Choose(now, spill.Request{Objective: c.Objective, Rejected: c.Rejected})
	if choice.Away {
		var chosen []*server
		for _, s := range other {
			if s.failureDomain == choice.Domain {
				chosen = append(chosen, s)
			}
		}
		if len(chosen) > 0 {
			return chosen
		}
	}
	if len(local) > 0 {
		return local
	}
	return other
}

// capacity returns the usable slots of each failure domain.
func (p *Picker) capacity(now time.Time) map[string]int {
	clear(p.slots)
	for _, s := range p.servers {
		if s.draining() || now.Before(s.heldUntil) || now.Before(s.coldUntil) || s.ejected(now) {
			continue
		}
		p.slots[s.failureDomain] += s.slots
	}
	return p.slots
}

// StartFor adds a call in flight to a server that PickFor returned.
func (p *Picker) StartFor(now time.Time, id assign.ServerID, c Call) {
	p.Start(id)
	s := p.find(id)
	if s == nil || !p.spills(c.Objective) {
		return
	}
	s.counted++
	p.config.Spill.Start(now, s.failureDomain, c.Objective)
}

// finishSpill passes the result of a call to the spill controller.
func (p *Picker) finishSpill(now time.Time, s *server, r Result) {
	if !p.spills(r.Objective) || s.counted == 0 {
		return
	}
	s.counted--
	p.config.Spill.Done(now, spill.Result{
		Domain: s.failureDomain, Latency: r.Latency, Objective: r.Objective,
		Rejected: r.Rejected, Failed: r.Failed, Ignore: r.Ignore,
	})
}

// forgetUnlisted removes the calls in flight at servers that are not on the next list from the spill controller, since Done
// does not find these servers.
func (p *Picker) forgetUnlisted(next []*server) {
	if p.config.Spill == nil {
		return
	}
	listed := make(map[*server]bool, len(next))
	for _, s := range next {
		listed[s] = true
	}
	for _, s := range p.servers {
		if !listed[s] {
			p.forgetCounted(s)
		}
	}
}

// forgetCounted removes the calls in flight at a server from the spill controller.
func (p *Picker) forgetCounted(s *server) {
	if p.config.Spill == nil {
		return
	}
	p.config.Spill.Forget(s.failureDomain, s.counted)
	s.counted = 0
}

// Spillover is the state of the spill controller.
type Spillover struct {
	// Share is the share of calls that leave the failure domain by choice.
	Share  float64
	Active bool
}

// Spillover returns the state of the spill controller, the zero value without one.
func (p *Picker) Spillover(now time.Time) Spillover {
	if p.config.Spill == nil {
		return Spillover{}
	}
	p.config.Spill.Advance(now)
	return Spillover{Share: p.config.Spill.Share(), Active: p.config.Spill.Active()}
}
