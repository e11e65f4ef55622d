package relay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// maxHeadText is the largest length of a response's header in a log line, in bytes.
const maxHeadText = 300

// rejection is the response of a server that says that it has not run the request, for the log.
type rejection struct {
	backend *backend
	server  assign.ServerID
	trip    wire.RoundTrip
	head    string
}

// String returns the server, the connection, the position of the request on it, the number of responses that were skipped
// before the rejection, and its header.
func (r rejection) String() string {
	return fmt.Sprintf("%s@%d/%d+%d %q", r.server, r.trip.Connection, r.trip.Position, r.trip.Skipped, r.head)
}

// headText returns the beginning of the header of a response.
func headText(r *fasthttp.Response) string {
	head := r.Header.Header()
	return string(head[:min(len(head), maxHeadText)])
}

// rejectedBy reports whether a run of a server has rejected the request, which must not be sent to it again: a late copy of
// its rejection could not be told from the answer.
func (x *exchange) rejectedBy(b *backend) bool {
	return !x.rule.Idempotent && slices.ContainsFunc(x.rejections, func(r rejection) bool { return r.backend == b })
}

// describeRejections returns the rejections of the request for a log line.
func (x *exchange) describeRejections() string {
	texts := make([]string, len(x.rejections))
	for i, r := range x.rejections {
		texts[i] = r.String()
	}
	return strings.Join(texts, "; ")
}
