package store

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

type wireObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func (o wireObject) object() Object {
	return Object(o)
}

type wireChange struct {
	wireObject
	Deleted bool `json:"deleted"`
}

type wireVM struct {
	Name          string           `json:"name"`
	Address       netip.AddrPort   `json:"address"`
	Role          Role             `json:"role"`
	Service       assign.ServiceID `json:"service"`
	FailureDomain string           `json:"failure-domain"`
	State         State            `json:"state"`
}

// call is one call to the platform.
type call struct {
	operation Operation
	name      string
	method    string
	path      string
	body      []byte
	ifVersion uint64
}

type result struct {
	version uint64
	body    []byte
}

// objectPath escapes each part of a name, so that a name may hold any character.
func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

func (k call) writes() bool {
	return k.operation == Put || k.operation == Delete
}

func (k call) fill(r *fasthttp.Request, host string) {
	r.Header.SetMethod(k.method)
	r.Header.SetHost(host)
	r.SetRequestURI(k.path)
	if k.writes() {
		r.Header.Set("If-Version", strconv.FormatUint(k.ifVersion, 10))
		r.SetBody(k.body)
	}
}

// failed maps a transport error. A write of which any byte was sent may take effect.
func (k call) failed(trip wire.RoundTrip, cause error) error {
	if k.writes() && trip.Wrote {
		return NewError(Unknown, k.operation, k.name, cause)
	}
	return NewError(Down, k.operation, k.name, cause)
}

func (k call) parse(r *fasthttp.Response) (result, error) {
	version, versionErr := strconv.ParseUint(string(r.Header.Peek("Version")), 10, 64)
	switch r.StatusCode() {
	case fasthttp.StatusOK:
		if k.versioned() && versionErr != nil {
			return result{}, k.doubt(versionErr)
		}
		return result{version: version, body: append([]byte(nil), r.Body()...)}, nil
	case fasthttp.StatusNotFound:
		return result{}, NewError(NotFound, k.operation, k.name, nil)
	case fasthttp.StatusConflict:
		e := NewError(Conflict, k.operation, k.name, nil)
		e.Current = version
		return result{}, e
	case fasthttp.StatusTooManyRequests:
		return result{}, NewError(Limited, k.operation, k.name, nil)
	case fasthttp.StatusGone:
		return result{}, NewError(TooOld, k.operation, k.name, nil)
	case fasthttp.StatusServiceUnavailable:
		return result{}, NewError(Down, k.operation, k.name, nil)
	}
	return result{}, k.doubt(fmt.Errorf("unexpected status %d", r.StatusCode()))
}

func (k call) versioned() bool {
	return k.operation == Get || k.operation == Put
}

// doubt maps an answer that says neither that a call succeeded nor that nothing was done.
func (k call) doubt(cause error) error {
	if k.writes() {
		return NewError(Unknown, k.operation, k.name, cause)
	}
	return NewError(Down, k.operation, k.name, cause)
}
