package back

import (
	"errors"
	"fmt"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

const (
	headerRequestID   = "Request-Id"
	headerKeyHash     = "Key-Hash"
	headerService     = "Service"
	headerFence       = "Grant-Fence"
	headerNotAfter    = "Not-After"
	headerTimeout     = "Timeout-Ms"
	headerServerClock = "Server-Clock"
	headerIncarnation = "Incarnation"
	headerNotRun      = "Not-Run"
	headerReason      = "Reason"
)

// skippedRequestHeaders are the header fields of a caller that are not forwarded: those that this
// package sets and the hop-by-hop fields.
var skippedRequestHeaders = headerSet(
	headerRequestID, headerKeyHash, headerService, headerFence, headerNotAfter, headerTimeout,
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
)

// skippedAnswerHeaders are the header fields of an answer that are not forwarded: the hop-by-hop
// fields and those that only this package reads.
var skippedAnswerHeaders = headerSet(
	headerRequestID, headerServerClock, headerIncarnation,
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade",
)

// controlPaths are the prefixes of the server's control interface, which Send rejects.
var controlPaths = []string{"/control", "/stand"}

var (
	errNoID        = errors.New("the call has no request identifier")
	errPath        = errors.New("the path is not an escaped absolute path")
	errControlPath = errors.New("the path belongs to the server's control interface")
)

func headerSet(names ...string) map[string]struct{} {
	set := make(map[string]struct{}, len(names))
	for _, n := range names {
		set[strings.ToLower(n)] = struct{}{}
	}
	return set
}

func (k Call) validate() error {
	if k.RequestID == "" {
		return errNoID
	}
	if !strings.HasPrefix(k.Path, "/") || !printable(k.Path) || strings.ContainsAny(k.Path, "?#") || !printable(k.Query) {
		return errPath
	}
	return checkPublicPath(k.Path)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// checkPublicPath rejects control paths, also if they are escaped, in upper case or not normalized.
func checkPublicPath(escapedPath string) error {
	unescaped, err := url.PathUnescape(escapedPath)
	if err != nil {
		return errPath
	}
	clean := path.Clean("/" + strings.ToLower(unescaped))
	for _, p := range controlPaths {
		if clean == p || strings.HasPrefix(clean, p+"/") {
			return errControlPath
		}
	}
	return nil
}

// writeTo fills the request from the call. Client.beforeSend adds the timeout header later.
func (k Call) writeTo(r *fasthttp.Request, host string) {
	for _, h := range k.Headers {
		if _, skip := skippedRequestHeaders[strings.ToLower(h.Name)]; !skip {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.Header.SetMethod(k.Method)
	r.Header.SetHost(host)
	r.SetRequestURI(k.requestURI())
	r.SetBody(k.Body)
	r.Header.Set(headerRequestID, k.RequestID)
	if k.Service != "" {
		r.Header.Set(headerService, string(k.Service))
	}
	if k.Keyed {
		r.Header.Set(headerKeyHash, formatHash(k.KeyHash))
		r.Header.Set(headerFence, strconv.FormatUint(uint64(k.Fence), 10))
	}
	if !k.NotAfter.IsZero() {
		r.Header.Set(headerNotAfter, strconv.FormatInt(k.NotAfter.UnixMicro(), 10))
	}
}

func (k Call) requestURI() string {
	if k.Query == "" {
		return k.Path
	}
	return k.Path + "?" + k.Query
}

func formatHash(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}

func readReceipt(r *fasthttp.Response, trip wire.RoundTrip) Receipt {
	return Receipt{
		ServerClock: readClock(r.Header.Peek(headerServerClock)),
		Incarnation: string(r.Header.Peek(headerIncarnation)),
		Trip:        trip,
	}
}

// readClock returns the zero time if the value is not a valid clock reading.
func readClock(value []byte) time.Time {
	micros, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || micros <= 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}

func readHeaders(r *fasthttp.Response) []Header {
	var headers []Header
	for name, value := range r.Header.All() {
		if _, skip := skippedAnswerHeaders[strings.ToLower(string(name))]; !skip {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
