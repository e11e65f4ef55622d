package relay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

const (
	// maxHeadText is the largest length of a response's header in a log line, in bytes.
	maxHeadText = 300
	// maxErrorText is the largest length of an error in a log line, in bytes.
	maxErrorText = 500
)

// sending is one attempt to send the request that wrote bytes of it, with what proved its outcome.
type sending struct {
	backend *backend
	trip    wire.RoundTrip
	proof   Proof
	// head is the header of a response that says that the request has not run, and err is why there is no proof.
	head string
	err  error
}

// String returns the server, the start of its run, the connection, the position of the request on it, the number of responses
// to other requests that were skipped, and what was proved by what.
func (s sending) String() string {
	text := fmt.Sprintf("%s/%d@%d/%d+%d:%s", s.backend.server.ID, s.backend.server.Born, s.trip.Connection, s.trip.Position, s.trip.Skipped, s.proof)
	switch {
	case s.err != nil:
		return fmt.Sprintf("%s:%q", text, shorten(s.err.Error(), maxErrorText))
	case s.head != "":
		return fmt.Sprintf("%s:%q", text, s.head)
	}
	return text
}

// recordSending remembers an attempt that wrote bytes of the request.
func (x *exchange) recordSending(b *backend, trip wire.RoundTrip, p Proof, err error) {
	s := sending{backend: b, trip: trip, proof: p, err: err}
	if p == ProofNotRun {
		s.head = headText(x.response)
	}
	x.sendings = append(x.sendings, s)
}

// runs returns the number of attempts in which a server may have run the request.
func (x *exchange) runs() int {
	n := 0
	for _, s := range x.sendings {
		if s.proof != ProofNotRun {
			n++
		}
	}
	return n
}

// rejectedBy reports whether a run of a server has rejected the request, which must not be sent to it again: a late copy of
// its rejection could not be told from the answer.
func (x *exchange) rejectedBy(b *backend) bool {
	return !x.rule.Idempotent && slices.ContainsFunc(x.sendings, func(s sending) bool { return s.backend == b && s.proof == ProofNotRun })
}

// describeSendings returns the sendings of the request for a log line.
func (x *exchange) describeSendings() string {
	texts := make([]string, len(x.sendings))
	for i, s := range x.sendings {
		texts[i] = s.String()
	}
	return strings.Join(texts, "; ")
}

// headText returns the beginning of the header of a response.
func headText(r *fasthttp.Response) string { return shorten(string(r.Header.Header()), maxHeadText) }

func shorten(text string, length int) string { return text[:min(len(text), length)] }
