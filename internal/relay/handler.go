package relay

import (
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/body"
)

// handler processes one request of a connection.
type handler struct {
	exchange
	conn *conn
	// id is the ID of the request in the pipeline of its connection.
	id uint64
}

// newHandler returns a handler for the next request of a connection, whose body uses the memory.
func newHandler(c *conn, memory *body.Reservation) *handler {
	return &handler{conn: c, exchange: exchange{
		relay: c.server.relay, caller: c.caller, connections: c.server.connectionsFrom(c.caller),
		request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(),
		requestMemory: memory, responseMemory: c.server.relay.options.Memory.Response(),
	}}
}

func (h *handler) run() {
	finished := false
	defer func() {
		// Without a response, no later one could be written.
		if !finished {
			h.conn.abort()
		}
	}()
	h.serve(h.conn.ctx)
	h.record()
	h.conn.finish(h)
	finished = true
}

// writeResponse writes the response, and tells the caller if it is the last one on the connection.
func (h *handler) writeResponse(last bool) error {
	if last {
		h.response.SetConnectionClose()
	}
	h.tellRetryTime()
	h.response.SkipBody = h.request.Header.IsHead()
	return h.conn.write(h.response)
}

// release frees the request and the response with their memory. The connection may be idle for long afterwards, and must not
// hold memory then.
func (h *handler) release() {
	h.resetResponse()
	h.request.ReleaseBody(body.PooledBytes)
	h.requestMemory.Release()
	fasthttp.ReleaseRequest(h.request)
	fasthttp.ReleaseResponse(h.response)
}
