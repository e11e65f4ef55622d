package wire

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// header returns the header that checkHead accepts at the start of a text, "" if it accepts none.
func header(text string) string {
	r := bufio.NewReaderSize(strings.NewReader(text), readBufferSize)
	if checkHead(r) != nil {
		return ""
	}
	block, err := peekBlock(r, true)
	if err != nil {
		return ""
	}
	return strings.TrimLeft(string(block), "\r\n")
}

// FuzzJoinedHeaders guards against a header that is put together from the beginning of one response and another response.
func FuzzJoinedHeaders(f *testing.F) {
	heads := []string{
		"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: a\r\n\r\n", "HTTP/1.1 421 X: y\r\nRequest-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.0 204\nA: b\n\n",
		"\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	}
	for i, first := range heads {
		for cut := range len(first) {
			f.Add(first, heads[(i+1)%len(heads)], cut)
		}
	}
	f.Fuzz(func(t *testing.T, first, second string, cut int) {
		if header(first) == "" || header(second) == "" || cut <= 0 || cut >= len(first) || second[0] != 'H' {
			return
		}
		joined := header(first[:cut] + second)
		if joined != "" && joined != header(first) && joined != header(second) {
			t.Errorf("accepted %q from %q and %q", joined, first[:cut], second)
		}
	})
}

// FuzzResponse guards against a panic, and against a header that checkHead and the library understand differently.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nx\r\n0\r\nA: b\r\n\r\n")
	f.Add("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\nA: b\n\n")
	f.Add("HTTP/1.1 200 OK\r\n\r\nuntil the end")
	f.Fuzz(func(t *testing.T, text string) {
		c := &conn{options: Options{BodyBytes: 1 << 10, AllowCloseDelimited: true}}
		c.reader = bufio.NewReaderSize(strings.NewReader(text), readBufferSize)
		var request fasthttp.Request
		var response fasthttp.Response
		if c.receive(&request, &response, nil) != nil {
			return
		}
		if !strings.Contains(text, "HTTP/1.") {
			t.Errorf("accepted %q without a status line", text)
		}
		if len(response.Body()) > len(text) {
			t.Errorf("body of %d bytes from %q", len(response.Body()), text)
		}
	})
}
