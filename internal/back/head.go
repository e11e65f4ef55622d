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

// reserved are the header fields of a caller that are not sent on: those that this package sets,
// and those that belong to one connection.
var reserved = fields(
	headerRequestID, headerKeyHash, headerService, headerFence, headerNotAfter, headerTimeout,
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
)

// private are the header fields of an answer that are not handed on: those of one connection, and
// those between a server and this package.
var private = fields(
	headerRequestID, headerServerClock, headerIncarnation,
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade",
)

// controlPaths are the paths of the server that a caller must not reach through Send.
var controlPaths = []string{"/control", "/stand"}

var (
	errNoID        = errors.New("the call has no request identifier")
	errPath        = errors.New("the path is not an escaped absolute path")
	errControlPath = errors.New("the path is reserved for the control of the server")
)

func fields(names ...string) map[string]struct{} {
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
	return publicPath(k.Path)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// publicPath checks the path in the forms a server may reduce it to.
func publicPath(escaped string) error {
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return errPath
	}
	clean := path.Clean("/" + strings.ToLower(plain))
	for _, p := range controlPaths {
		if clean == p || strings.HasPrefix(clean, p+"/") {
			return errControlPath
		}
	}
	return nil
}

// fill writes the call to a request, except for the time that is left.
func (k Call) fill(r *fasthttp.Request, host string) {
	for _, h := range k.Headers {
		if _, skip := reserved[strings.ToLower(h.Name)]; !skip {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.Header.SetMethod(k.Method)
	r.Header.SetHost(host)
	r.SetRequestURI(k.target())
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

func (k Call) target() string {
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

// readClock returns the zero time where the server gave no valid reading.
func readClock(text []byte) time.Time {
	micros, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || micros <= 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}

func readHeaders(r *fasthttp.Response) []Header {
	var headers []Header
	for name, value := range r.Header.All() {
		if _, skip := private[strings.ToLower(string(name))]; !skip {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
