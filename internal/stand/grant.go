package stand

import (
	"strconv"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

type grantedSpan struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Fence   uint64 `json:"fence"`
}

type grantRequest struct {
	NotAfter int64         `json:"not-after"`
	Spans    []grantedSpan `json:"spans"`
}

// fencedSpan is a span with its fencing number. In grants.seen, revoked means that the grant with this number
// was revoked, so that a delayed message cannot grant it again.
type fencedSpan struct {
	service string
	span    assign.Span
	fence   uint64
	revoked bool
}

func (s grantedSpan) parse() (fencedSpan, error) {
	from, err := strconv.ParseUint(s.From, 16, 64)
	if err != nil {
		return fencedSpan{}, err
	}
	to, err := strconv.ParseUint(s.To, 16, 64)
	return fencedSpan{service: s.Service, span: assign.Span{From: from, To: to}, fence: s.Fence}, err
}

func parseSpans(spans []grantedSpan) ([]fencedSpan, error) {
	list := make([]fencedSpan, len(spans))
	for i, s := range spans {
		f, err := s.parse()
		if err != nil {
			return nil, err
		}
		list[i] = f
	}
	return list, nil
}

func (f fencedSpan) covers(service string, hash uint64) bool {
	return f.service == service && f.span.Contains(hash)
}

func (f fencedSpan) overlaps(o fencedSpan) bool {
	return f.service == o.service && f.span.From <= o.span.To && o.span.From <= f.span.To
}

func (f fencedSpan) contains(o fencedSpan) bool {
	return f.service == o.service && f.span.From <= o.span.From && o.span.To <= f.span.To
}

// grants holds the granted spans of a server whose fencing is assign.Grants, and the highest fencing numbers that it
// has seen.
type grants struct {
	notAfter int64
	held     []fencedSpan
	seen     []fencedSpan
}

// replace replaces the held spans. It returns the highest fencing number seen for these spans, and false if
// one of the spans has a lower number or a number that was revoked.
func (g *grants) replace(notAfter int64, spans []fencedSpan) (uint64, bool) {
	highest, ok := uint64(0), true
	for _, n := range spans {
		for _, s := range g.seen {
			if !n.overlaps(s) {
				continue
			}
			highest = max(highest, s.fence)
			ok = ok && (n.fence > s.fence || n.fence == s.fence && !s.revoked)
		}
	}
	if !ok {
		return highest, false
	}
	g.notAfter = notAfter
	g.held = spans
	for _, n := range spans {
		g.remember(n)
	}
	return highest, true
}

// revoke withdraws the given spans from all grants whose fencing number is not above that of the revocation.
func (g *grants) revoke(spans []fencedSpan) {
	for _, r := range spans {
		var kept []fencedSpan
		for _, h := range g.held {
			if h.overlaps(r) && h.fence <= r.fence {
				kept = append(kept, h.subtract(r.span)...)
			} else {
				kept = append(kept, h)
			}
		}
		g.held = kept
		r.revoked = true
		g.remember(r)
	}
}

// subtract returns the parts of the span that taken does not cover.
func (f fencedSpan) subtract(taken assign.Span) []fencedSpan {
	var parts []fencedSpan
	if f.span.From < taken.From {
		part := f
		part.span.To = taken.From - 1
		parts = append(parts, part)
	}
	if taken.To < f.span.To {
		part := f
		part.span.From = taken.To + 1
		parts = append(parts, part)
	}
	return parts
}

// remember adds a span to the seen ones and removes those that it supersedes.
func (g *grants) remember(n fencedSpan) {
	kept := g.seen[:0]
	for _, s := range g.seen {
		superseded := s.fence < n.fence || s.fence == n.fence && (n.revoked || !s.revoked)
		if !superseded || !n.contains(s) {
			kept = append(kept, s)
		}
	}
	g.seen = append(kept, n)
}

// refusal returns the reason for which a call may not run, or "".
func (g *grants) refusal(j *job, now int64) string {
	if !j.keyed || now > g.notAfter {
		return reasonNoGrant
	}
	for _, s := range g.seen {
		if s.covers(j.service, j.hash) && j.fence < s.fence {
			return reasonStaleFence
		}
	}
	if !g.holds(j) {
		return reasonNoGrant
	}
	return ""
}

func (g *grants) holds(j *job) bool {
	for _, h := range g.held {
		if h.covers(j.service, j.hash) && h.fence == j.fence {
			return true
		}
	}
	return false
}
