package stand

import (
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	objectPrefix      = "/objects/"
	maxWaitMs         = 60_000
	stallPollInterval = 10 * time.Millisecond
)

type vmEntry struct {
	Name          string           `json:"name"`
	Address       netip.AddrPort   `json:"address"`
	Role          store.Role       `json:"role"`
	Service       assign.ServiceID `json:"service"`
	FailureDomain string           `json:"failure-domain"`
	State         store.State      `json:"state"`
}

type vmEntries struct {
	VMs []vmEntry `json:"vms"`
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	switch path {
	case "/stand/fault":
		p.serveFault(ctx)
	case "/stand/vms":
		p.serveSetVMs(ctx)
	case "/stand/calls":
		writeJSON(ctx, p.Calls())
	default:
		p.serveCall(ctx, path)
	}
}

// serveCall handles a call of the platform's API and applies the rate limits and the faults that affect all calls.
func (p *Platform) serveCall(ctx *fasthttp.RequestCtx, path string) {
	kind, limit, handle := p.route(ctx, path)
	if handle == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	p.count(kind)
	if !limit.allow(time.Now()) {
		p.count("limited")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	fault := p.Fault()
	sleepMs(fault.SlowMs / 2)
	if fault.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	handle(ctx, fault)
	sleepMs(fault.SlowMs / 2)
}

type platformHandler func(ctx *fasthttp.RequestCtx, f PlatformFault)

func (p *Platform) route(ctx *fasthttp.RequestCtx, path string) (string, *rateLimiter, platformHandler) {
	switch {
	case path == "/vms":
		return "vms", p.readLimiter, p.serveVMs
	case path == "/watch":
		return "watch", p.readLimiter, p.serveWatch
	case path == "/objects":
		return "list", p.readLimiter, p.serveList
	case !strings.HasPrefix(path, objectPrefix):
		return "", nil, nil
	case ctx.IsPut():
		return "put", p.writeLimiter, p.servePut
	case ctx.IsDelete():
		return "delete", p.writeLimiter, p.serveDelete
	}
	return "get", p.readLimiter, p.serveGet
}

func objectName(ctx *fasthttp.RequestCtx) string {
	escaped := strings.TrimPrefix(string(ctx.URI().PathOriginal()), objectPrefix)
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return name
}

func (p *Platform) serveGet(ctx *fasthttp.RequestCtx, _ PlatformFault) {
	o, ok := p.objects.get(objectName(ctx))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	setVersion(ctx, o.Version)
	ctx.SetBody(o.Value)
}

func (p *Platform) servePut(ctx *fasthttp.RequestCtx, f PlatformFault) {
	ifVersion, err := ifVersion(ctx)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	value := append([]byte(nil), ctx.PostBody()...)
	sleepMs(f.LateWriteMs)
	version, ok := p.objects.put(objectName(ctx), value, ifVersion)
	answerWrite(ctx, f, version, ok)
}

func (p *Platform) serveDelete(ctx *fasthttp.RequestCtx, f PlatformFault) {
	ifVersion, err := ifVersion(ctx)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	sleepMs(f.LateWriteMs)
	version, ok := p.objects.remove(objectName(ctx), ifVersion)
	if !ok && version == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	answerWrite(ctx, f, version, ok)
}

func answerWrite(ctx *fasthttp.RequestCtx, f PlatformFault, version uint64, ok bool) {
	if f.LoseAnswers {
		cutConnection(ctx, nil)
		return
	}
	setVersion(ctx, version)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
}

func (p *Platform) serveList(ctx *fasthttp.RequestCtx, _ PlatformFault) {
	found, revision := p.objects.list(string(ctx.QueryArgs().Peek("prefix")))
	writeJSON(ctx, map[string]any{"revision": revision, "objects": found})
}

func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx, _ PlatformFault) {
	q := ctx.QueryArgs()
	after, err := strconv.ParseUint(string(q.Peek("after")), 10, 64)
	waitMs, waitErr := strconv.ParseInt(string(q.Peek("wait-ms")), 10, 64)
	if err != nil || waitErr != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(min(waitMs, maxWaitMs)) * time.Millisecond
	found, revision, ok := p.objects.watch(string(q.Peek("prefix")), after, wait, p.stopped)
	p.waitWhileStalled()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	writeJSON(ctx, map[string]any{"revision": revision, "changes": found})
}

// waitWhileStalled blocks while the StallWatches fault is set and the platform is not stopped.
func (p *Platform) waitWhileStalled() {
	for p.Fault().StallWatches {
		select {
		case <-p.stopped:
			return
		case <-time.After(stallPollInterval):
		}
	}
}

func (p *Platform) serveVMs(ctx *fasthttp.RequestCtx, _ PlatformFault) {
	entries := vmEntries{VMs: []vmEntry{}}
	for _, v := range p.VMs() {
		entries.VMs = append(entries.VMs, vmEntry(v))
	}
	writeJSON(ctx, entries)
}

func (p *Platform) serveSetVMs(ctx *fasthttp.RequestCtx) {
	var entries vmEntries
	if !readJSON(ctx, &entries) {
		return
	}
	vms := make([]store.VM, len(entries.VMs))
	for i, v := range entries.VMs {
		vms[i] = store.VM(v)
	}
	p.SetVMs(vms)
}

// serveFault changes the faults that the body contains and keeps the others.
func (p *Platform) serveFault(ctx *fasthttp.RequestCtx) {
	fault := p.Fault()
	if readJSON(ctx, &fault) {
		p.SetFault(fault)
	}
}

func ifVersion(ctx *fasthttp.RequestCtx) (uint64, error) {
	return strconv.ParseUint(string(ctx.Request.Header.Peek("If-Version")), 10, 64)
}

func setVersion(ctx *fasthttp.RequestCtx, version uint64) {
	ctx.Response.Header.Set("Version", strconv.FormatUint(version, 10))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// readJSON decodes the body. If that fails, it answers with 400 and reports false.
func readJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// cutConnection writes the given bytes instead of an answer and closes the connection.
func cutConnection(ctx *fasthttp.RequestCtx, data []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// An error means that the client has closed the connection.
		_, _ = c.Write(data)
	})
}
