package admin

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/node"
)

// clientTimeout bounds each call of a Client. It is longer than a change of the configuration, the slowest call.
const clientTimeout = changeTimeout + time.Second

// Errors of a Client.
var (
	// ErrUnreachable is the error type for a process that does not answer or whose answer cannot be read.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrRefused is the error type for a call that the process refused. The call changed nothing.
	ErrRefused = namespace.NewType("refused")
	// ErrConflict is the error type for a change that lost against a concurrent change. The call changed nothing.
	ErrConflict = namespace.NewType("conflict")
	// ErrUndecided is the error type for a change whose outcome is not known yet.
	ErrUndecided = namespace.NewType("undecided")
)

// Client calls the admin API of one process.
type Client struct {
	address netip.AddrPort
	http    fasthttp.Client
}

// NewClient returns a Client of the process with the given admin address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{address: address}
}

// Status returns the control state of the process.
func (c *Client) Status() (node.Status, error) {
	var status node.Status
	_, body, err := c.do(fasthttp.MethodGet, "/status", nil, nil)
	if err != nil {
		return status, err
	}
	return status, decode(body, &status)
}

// Timeline returns the control events of all processes.
func (c *Client) Timeline() (Timeline, error) {
	var timeline Timeline
	_, body, err := c.do(fasthttp.MethodGet, "/timeline", nil, nil)
	if err != nil {
		return timeline, err
	}
	return timeline, decode(body, &timeline)
}

// Config returns the configuration of a team and its version, 0 for a team without a configuration.
func (c *Client) Config(team string) ([]byte, uint64, error) {
	version, body, err := c.do(fasthttp.MethodGet, "/config/"+team, nil, nil)
	return body, version, err
}

// SetConfig replaces the configuration of a team and returns its new version. It returns ErrConflict if the stored
// version is not ifVersion, and ErrRefused if the text has faults; neither changes anything.
func (c *Client) SetConfig(team string, text []byte, ifVersion uint64) (uint64, error) {
	headers := map[string]string{HeaderIfVersion: strconv.FormatUint(ifVersion, 10)}
	version, _, err := c.do(fasthttp.MethodPut, "/config/"+team, headers, text)
	return version, err
}

// Drain begins the planned stop of the process.
func (c *Client) Drain() error {
	_, _, err := c.do(fasthttp.MethodPost, "/drain", nil, nil)
	return err
}

// DrainServer drains a backend server, or cancels its drain.
func (c *Client) DrainServer(server string, cancel bool) error {
	path := "/drain/" + server
	if cancel {
		path += "?cancel=true"
	}
	_, _, err := c.do(fasthttp.MethodPost, path, nil, nil)
	return err
}

// do sends one request and returns the version header and the body of the response.
func (c *Client) do(method, path string, headers map[string]string, body []byte) (uint64, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address.String() + path)
	request.Header.SetMethod(method)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, clientTimeout); err != nil {
		return 0, nil, ErrUnreachable.Wrap(err, "check that a process runs and has %s as its admin-address", c.address)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return 0, nil, problemError(response)
	}
	// A response without the header leaves the version at 0.
	version, _ := strconv.ParseUint(string(response.Header.Peek(HeaderVersion)), 10, 64)
	return version, append([]byte(nil), response.Body()...), nil
}

func problemError(response *fasthttp.Response) error {
	var p Problem
	if err := json.Unmarshal(response.Body(), &p); err != nil {
		return ErrUnreachable.New("the address is not the admin-address of a process; check it")
	}
	switch p.Kind {
	case "conflict":
		return ErrConflict.New("%s", p.Remedy)
	case "undecided":
		return ErrUndecided.New("%s", p.Remedy)
	}
	return ErrRefused.New("%s", p.Remedy)
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return ErrUnreachable.Wrap(err, "the process runs another version; use the program of that version")
	}
	return nil
}
