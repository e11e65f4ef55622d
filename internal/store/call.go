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
	return Object{Name: o.Name, Version: o.Version, Value: o.Value}
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

// call describes one HTTP call to the platform. Its name is an object's name or, for lists and watches, a prefix.
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

// objectPath returns the URL path of an object. It escapes each segment of the name, so that the name may
// contain any character.
func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

func (cl call) isWrite() bool {
	return cl.operation == Put || cl.operation == Delete
}

func (cl call) fill(r *fasthttp.Request, host string) {
	r.Header.SetMethod(cl.method)
	r.Header.SetHost(host)
	r.SetRequestURI(cl.path)
	if cl.isWrite() {
		r.Header.Set("If-Version", strconv.FormatUint(cl.ifVersion, 10))
		r.SetBody(cl.body)
	}
}

// transportError returns the error for a call that failed before a valid response arrived. A write of which any
// byte was sent may still take effect, so its kind is Unknown.
func (cl call) transportError(trip wire.RoundTrip, cause error) error {
	if cl.isWrite() && trip.Wrote {
		return NewError(Unknown, cl.operation, cl.name, cause)
	}
	return NewError(Down, cl.operation, cl.name, cause)
}

func (cl call) parse(r *fasthttp.Response) (result, error) {
	version, versionErr := strconv.ParseUint(string(r.Header.Peek("Version")), 10, 64)
	switch r.StatusCode() {
	case fasthttp.StatusOK:
		if cl.returnsVersion() && versionErr != nil {
			return result{}, cl.ambiguousError(versionErr)
		}
		return result{version: version, body: append([]byte(nil), r.Body()...)}, nil
	case fasthttp.StatusNotFound:
		return result{}, NewError(NotFound, cl.operation, cl.name, nil)
	case fasthttp.StatusConflict:
		e := NewError(Conflict, cl.operation, cl.name, nil)
		e.Current = version
		return result{}, e
	case fasthttp.StatusTooManyRequests:
		return result{}, NewError(Limited, cl.operation, cl.name, nil)
	case fasthttp.StatusGone:
		return result{}, NewError(TooOld, cl.operation, cl.name, nil)
	case fasthttp.StatusServiceUnavailable:
		return result{}, NewError(Down, cl.operation, cl.name, nil)
	}
	return result{}, cl.ambiguousError(fmt.Errorf("unexpected status %d", r.StatusCode()))
}

func (cl call) returnsVersion() bool {
	return cl.operation == Get || cl.operation == Put
}

// ambiguousError returns the error for a response that shows neither that the call succeeded nor that nothing was
// done: Unknown for a write, Down for a read.
func (cl call) ambiguousError(cause error) error {
	if cl.isWrite() {
		return NewError(Unknown, cl.operation, cl.name, cause)
	}
	return NewError(Down, cl.operation, cl.name, cause)
}
