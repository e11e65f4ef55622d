package admin

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/node"
)

// clientTime bounds a call of a Client. A change of the configuration takes the longest.
const clientTime = changeTime + time.Second

// Errors of a Client.
var (
	// ErrUnreachable is the type of errors of a process that does not answer.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrRefused is the type of errors of a call that the process refused. Nothing was changed.
	ErrRefused = namespace.NewType("refused")
	// ErrConflict is the type of errors of a lost race. Nothing was changed.
	ErrConflict = namespace.NewType("conflict")
	// ErrUndecided is the type of errors of a change whose outcome is not known yet.
	ErrUndecided = namespace.NewType("undecided")
)

// Client asks the admin address of one process.
type Client struct {
	address netip.AddrPort
	http    fasthttp.Client
}

// NewClient returns a Client of the process at address.
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

// Config returns a team's configuration and its version, 0 for a team without one.
func (c *Client) Config(team string) ([]byte, uint64, error) {
	version, body, err := c.do(fasthttp.MethodGet, "/config/"+team, nil, nil)
	return body, version, err
}

// SetConfig replaces a team's configuration and returns its new version. It returns ErrConflict
// for a lost race and ErrRefused for a text with faults; then nothing was changed.
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

// DrainServer drains a backend server, or uses it again.
func (c *Client) DrainServer(server string, cancel bool) error {
	path := "/drain/" + server
	if cancel {
		path += "?cancel=true"
	}
	_, _, err := c.do(fasthttp.MethodPost, path, nil, nil)
	return err
}

// do makes one call and returns the version header and the body of its answer.
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
	if err := c.http.DoTimeout(request, response, clientTime); err != nil {
		return 0, nil, ErrUnreachable.Wrap(err, "check that a process runs and has %s as its admin-address", c.address)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return 0, nil, problem(response)
	}
	// The header is absent where an answer has no version.
	version, _ := strconv.ParseUint(string(response.Header.Peek(HeaderVersion)), 10, 64)
	return version, append([]byte(nil), response.Body()...), nil
}

func problem(response *fasthttp.Response) error {
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

func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return ErrUnreachable.Wrap(err, "the process runs another version; use the program of that version")
	}
	return nil
}
