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

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

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

// reply is a complete answer to a call. It includes the request identifier, so that swapped answers
// carry the identifier of the other call.
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
	b.sendReply(ctx, r)
}

// sendReply sends an answer and applies the current faults to it.
func (b *Backend) sendReply(ctx *fasthttp.RequestCtx, r reply) {
	fault := b.Fault()
	sleepMs(fault.AnswerLateMs)
	if fault.CrossAnswers {
		r = b.swapper.swap(r)
	}
	b.waitUnfrozen()
	b.write(ctx, r)
	if fault.Truncate {
		cutConnection(ctx, truncated(&ctx.Response))
	}
}

func (b *Backend) write(ctx *fasthttp.RequestCtx, r reply) {
	h := &ctx.Response.Header
	h.Set(headerRequestID, r.id)
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

// truncated returns the encoded answer without the second half of its body.
func truncated(r *fasthttp.Response) []byte {
	var encoded bytes.Buffer
	w := bufio.NewWriter(&encoded)
	// Writing to a bytes.Buffer does not fail.
	_ = r.Write(w)
	_ = w.Flush()
	return encoded.Bytes()[:encoded.Len()-len(r.Body())/2-1]
}

func (b *Backend) readJob(ctx *fasthttp.RequestCtx) (*job, error) {
	h := &ctx.Request.Header
	j := &job{
		id:           string(h.Peek(headerRequestID)),
		service:      string(h.Peek("Service")),
		hashText:     string(h.Peek("Key-Hash")),
		work:         b.options.Run,
		slotGranted:  make(chan struct{}),
		cancelSignal: make(chan struct{}),
	}
	if j.service == "" {
		j.service = string(b.options.Service)
	}
	j.keyed = j.hashText != ""
	r := headerReader{header: h}
	j.hash = r.number("Key-Hash", 16)
	j.fence = r.number("Grant-Fence", 10)
	j.notAfter = int64(r.number("Not-After", 10))
	if ms := r.number("Timeout-Ms", 10); ms > 0 {
		j.deadline = b.clock() + (time.Duration(ms) * time.Millisecond).Microseconds()
	}
	if len(h.Peek("Run-Ms")) > 0 {
		j.work = time.Duration(r.number("Run-Ms", 10)) * time.Millisecond
	}
	return j, r.err
}

// headerReader parses optional numeric headers and keeps the first error.
type headerReader struct {
	header *fasthttp.RequestHeader
	err    error
}

func (r *headerReader) number(name string, base int) uint64 {
	text := string(r.header.Peek(name))
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, base, 64)
	if err != nil && r.err == nil {
		r.err = err
	}
	return n
}

// serveFault changes the faults that the body contains and keeps the others. An earlier freeze is not repeated
// unless the body contains it again. A freeze begins after the answer has been written, so that it does not delay
// the answer to its own request.
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
		// An error means that the client has closed the connection. The freeze begins anyway.
		_, _ = c.Write([]byte(emptyResponse))
		b.SetFault(fault)
	})
}
