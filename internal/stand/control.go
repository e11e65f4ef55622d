package stand

import (
	"github.com/valyala/fasthttp"
)

// headerRequestID names a call, and its answer.
const headerRequestID = "Request-Id"

func (b *Backend) serveControl(ctx *fasthttp.RequestCtx, path string) {
	if id := ctx.Request.Header.Peek(headerRequestID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(headerRequestID, id)
	}
	switch path {
	case "/control/grant":
		b.serveGrant(ctx)
	case "/control/revoke":
		b.serveRevoke(ctx)
	case "/control/cancel":
		b.serveCancel(ctx)
	case "/control/drain":
		b.serveDrain(ctx)
	case "/control/health":
		b.serveHealth(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (b *Backend) serveGrant(ctx *fasthttp.RequestCtx) {
	var request grantRequest
	if !readJSON(ctx, &request) {
		return
	}
	spans, err := parseSpans(request.Spans)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	highest, ok := b.grant(request.NotAfter, spans)
	if !ok {
		writeJSON(ctx, map[string]any{"highest-fence": highest})
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, b.receipt())
}

func (b *Backend) grant(notAfter int64, spans []fencedSpan) (uint64, bool) {
	b.lock()
	defer b.mu.Unlock()
	highest, ok := b.grants.replace(notAfter, spans)
	if !ok {
		return highest, false
	}
	for j := range b.jobs {
		if j.running && b.grants.holds(j) {
			j.grantExpiry = notAfter
		}
	}
	return highest, true
}

func (b *Backend) serveRevoke(ctx *fasthttp.RequestCtx) {
	var request grantRequest
	if !readJSON(ctx, &request) {
		return
	}
	spans, err := parseSpans(request.Spans)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	b.revoke(spans)
	writeJSON(ctx, b.receipt())
}

// revoke withdraws the spans and waits for the runs that started under their grants.
func (b *Backend) revoke(spans []fencedSpan) {
	b.lock()
	defer b.mu.Unlock()
	b.grants.revoke(spans)
	for b.hasRunsIn(spans) && !b.killed {
		b.jobEnded.Wait()
	}
}

func (b *Backend) hasRunsIn(spans []fencedSpan) bool {
	for j := range b.jobs {
		for _, s := range spans {
			if j.running && j.fence <= s.fence && s.covers(j.service, j.hash) {
				return true
			}
		}
	}
	return false
}

func (b *Backend) serveCancel(ctx *fasthttp.RequestCtx) {
	var request struct {
		RequestID string `json:"request-id"`
	}
	if readJSON(ctx, &request) {
		writeJSON(ctx, map[string]any{"outcome": b.cancel(request.RequestID)})
	}
}

func (b *Backend) serveDrain(ctx *fasthttp.RequestCtx) {
	b.Drain()
	b.options.Log.Info().Str("server", b.options.Name).Msg("backend-draining")
	writeJSON(ctx, b.receipt())
}

func (b *Backend) receipt() map[string]any {
	return map[string]any{"server-clock": b.clock(), "incarnation": b.incarnation}
}

func (b *Backend) serveHealth(ctx *fasthttp.RequestCtx) {
	b.lock()
	defer b.mu.Unlock()
	health := b.receipt()
	status := "ok"
	busy, queued := b.busy, len(b.queue)
	switch {
	case b.fault.LieLoad:
		busy, queued = 0, 0
	case b.draining:
		status = "draining"
	case b.cold():
		status = "cold"
	}
	health["status"] = status
	health["busy"] = busy
	health["queued"] = queued
	health["load"] = float64(busy+queued) / float64(b.options.Slots)
	writeJSON(ctx, health)
}
