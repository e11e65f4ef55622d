package stand

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func (b *Backend) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, "/control/"):
		b.serveControl(ctx, path)
	case path == "/stand/fault":
		b.serveFault(ctx)
	case path == "/stand/history":
		writeJSON(ctx, map[string]any{"runs": b.History()})
	default:
		b.serveCall(ctx)
	}
}

// reply is a complete answer to a call. Its identifier belongs to it, so that crossed answers
// carry the identifier of the wrong call.
type reply struct {
	id      string
	status  int
	reason  string
	outcome string
}

func (b *Backend) serveCall(ctx *fasthttp.RequestCtx) {
	j, err := b.readJob(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reason, outcome := b.perform(j)
	r := reply{id: j.id, status: fasthttp.StatusOK, reason: reason, outcome: outcome}
	switch {
	case reason != "":
		r.status = fasthttp.StatusServiceUnavailable
	case outcome != RunFinished:
		r.status = fasthttp.StatusInternalServerError
	}
	b.reply(ctx, r)
}

// reply writes an answer with the faults in force.
func (b *Backend) reply(ctx *fasthttp.RequestCtx, r reply) {
	fault := b.Fault()
	sleepMs(fault.AnswerLateMs)
	if fault.CrossAnswers {
		r = b.crossing.swap(r)
	}
	b.thawed()
	b.write(ctx, r)
	if fault.Truncate {
		cut(ctx, half(&ctx.Response))
	}
}

func (b *Backend) write(ctx *fasthttp.RequestCtx, r reply) {
	h := &ctx.Response.Header
	h.Set("Request-Id", r.id)
	h.Set("Server-Clock", strconv.FormatInt(b.clock(), 10))
	h.Set("Incarnation", b.incarnation)
	if r.reason != "" {
		h.Set("Not-Run", "true")
		h.Set("Reason", r.reason)
	}
	writeJSON(ctx, map[string]any{
		"request-id": r.id,
		"server":     b.options.Name,
		"reason":     r.reason,
		"outcome":    r.outcome,
	})
	ctx.SetStatusCode(r.status)
}

// half returns the encoded answer without the second half of its body.
func half(r *fasthttp.Response) []byte {
	var encoded bytes.Buffer
	w := bufio.NewWriter(&encoded)
	// A buffer takes every write.
	_ = r.Write(w)
	_ = w.Flush()
	return encoded.Bytes()[:encoded.Len()-len(r.Body())/2-1]
}

func (b *Backend) readJob(ctx *fasthttp.RequestCtx) (*job, error) {
	h := &ctx.Request.Header
	j := &job{
		id:       string(h.Peek("Request-Id")),
		service:  string(h.Peek("Service")),
		hashText: string(h.Peek("Key-Hash")),
		work:     b.options.Run,
		turn:     make(chan struct{}),
		wake:     make(chan struct{}),
	}
	if j.service == "" {
		j.service = string(b.options.Service)
	}
	j.keyed = j.hashText != ""
	f := fieldReader{header: h}
	j.hash = f.number("Key-Hash", 16)
	j.fence = f.number("Grant-Fence", 10)
	j.notAfter = int64(f.number("Not-After", 10))
	if ms := f.number("Timeout-Ms", 10); ms > 0 {
		j.deadline = b.clock() + (time.Duration(ms) * time.Millisecond).Microseconds()
	}
	if len(h.Peek("Run-Ms")) > 0 {
		j.work = time.Duration(f.number("Run-Ms", 10)) * time.Millisecond
	}
	return j, f.err
}

// fieldReader reads optional numbers and keeps the first error.
type fieldReader struct {
	header *fasthttp.RequestHeader
	err    error
}

func (f *fieldReader) number(name string, base int) uint64 {
	text := string(f.header.Peek(name))
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, base, 64)
	if err != nil && f.err == nil {
		f.err = err
	}
	return n
}

// serveFault changes the faults that the body names and leaves the others. A freeze in progress is
// not repeated unless the body names it. A freeze begins right after the answer has been written,
// so that it does not hold its own answer back.
func (b *Backend) serveFault(ctx *fasthttp.RequestCtx) {
	fault := b.Fault()
	fault.FreezeMs = 0
	if !readJSON(ctx, &fault) {
		return
	}
	if fault.FreezeMs == 0 {
		b.SetFault(fault)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// An error means that the client has gone; the freeze begins all the same.
		_, _ = c.Write([]byte(emptyAnswer))
		b.SetFault(fault)
	})
}
