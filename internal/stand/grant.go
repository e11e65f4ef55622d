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

type grantOrder struct {
	NotAfter int64         `json:"not-after"`
	Spans    []grantedSpan `json:"spans"`
}

// fenced is a span with a fencing number. For a span that was seen, closed means that the number
// itself was revoked, so that a delayed grant does not bring it back.
type fenced struct {
	service string
	span    assign.Span
	fence   uint64
	closed  bool
}

func (s grantedSpan) parse() (fenced, error) {
	from, err := strconv.ParseUint(s.From, 16, 64)
	if err != nil {
		return fenced{}, err
	}
	to, err := strconv.ParseUint(s.To, 16, 64)
	return fenced{service: s.Service, span: assign.Span{From: from, To: to}, fence: s.Fence}, err
}

func parseSpans(spans []grantedSpan) ([]fenced, error) {
	list := make([]fenced, len(spans))
	for i, s := range spans {
		f, err := s.parse()
		if err != nil {
			return nil, err
		}
		list[i] = f
	}
	return list, nil
}

func (f fenced) covers(service string, hash uint64) bool {
	return f.service == service && f.span.Contains(hash)
}

func (f fenced) overlaps(o fenced) bool {
	return f.service == o.service && f.span.From <= o.span.To && o.span.From <= f.span.To
}

func (f fenced) contains(o fenced) bool {
	return f.service == o.service && f.span.From <= o.span.From && o.span.To <= f.span.To
}

// grants is what a server of the kind grants knows.
type grants struct {
	notAfter int64
	held     []fenced
	seen     []fenced
}

// replace takes a new list of spans. It returns the highest fencing number seen and false where
// one of the spans has an older one.
func (g *grants) replace(notAfter int64, spans []fenced) (uint64, bool) {
	highest, ok := uint64(0), true
	for _, n := range spans {
		for _, s := range g.seen {
			if !n.overlaps(s) {
				continue
			}
			highest = max(highest, s.fence)
			ok = ok && (n.fence > s.fence || n.fence == s.fence && !s.closed)
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

// revoke takes spans away whose fencing number is not above the given one.
func (g *grants) revoke(spans []fenced) {
	for _, r := range spans {
		var kept []fenced
		for _, h := range g.held {
			if h.overlaps(r) && h.fence <= r.fence {
				kept = append(kept, h.without(r.span)...)
			} else {
				kept = append(kept, h)
			}
		}
		g.held = kept
		r.closed = true
		g.remember(r)
	}
}

// without returns the parts of a span that another one does not cover.
func (f fenced) without(taken assign.Span) []fenced {
	var parts []fenced
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

// remember adds a span to those seen and drops what it makes superfluous.
func (g *grants) remember(n fenced) {
	kept := g.seen[:0]
	for _, s := range g.seen {
		older := s.fence < n.fence || s.fence == n.fence && (n.closed || !s.closed)
		if !older || !n.contains(s) {
			kept = append(kept, s)
		}
	}
	g.seen = append(kept, n)
}

// refusal returns why a call may not start, or "".
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
