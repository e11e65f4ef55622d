package wire_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

var _ = Describe("an answer that is cut", func() {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n"

	// Guards against a success that the peer did not send: the connection ends somewhere in an answer.
	DescribeTable("at any byte is an error, not a shorter answer",
		func(answer string, wholeFrom int) {
			for cut := range len(answer) {
				p := newPeer(func(p *peer, _ int, c net.Conn) {
					p.readRequest(c)
					c.Write([]byte(answer[:cut]))
				})
				request, response := &fasthttp.Request{}, &fasthttp.Response{}
				request.SetRequestURI("http://peer/")
				pool := p.newPool(wire.Options{AllowCloseDelimited: true})
				_, err := pool.Do(withTimeout(2*time.Second), request, response, wire.Hooks{})
				pool.Close()
				if cut < wholeFrom {
					Expect(err).To(HaveOccurred(), "after %q", answer[:cut])
					continue
				}
				Expect(err).NotTo(HaveOccurred(), "after %q", answer[:cut])
			}
		},
		Entry("with a length", head+"Content-Length: 5\r\n\r\nhello", len(head+"Content-Length: 5\r\n\r\nhello")),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
			len(head+"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")),
		// A body that ends with the connection can't show that it was cut. Its head can.
		Entry("until the connection closes", head+"\r\nhello", len(head+"\r\n")),
		Entry("without a body", "HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n", len("HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n")),
		Entry("with bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", len("HTTP/1.1 200 OK\nContent-Length: 5\n\nhello")),
		Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n"+head+"Content-Length: 5\r\n\r\nhello",
			len("HTTP/1.1 103 Early Hints\r\n\r\n"+head+"Content-Length: 5\r\n\r\nhello")),
	)

	DescribeTable("or whose length is not certain is an error",
		func(answer string) {
			p := newPeer(func(p *peer, _ int, c net.Conn) {
				p.readRequest(c)
				c.Write([]byte(answer))
			})
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://peer/")
			_, err := p.newPool(wire.Options{AllowCloseDelimited: true}).Do(withTimeout(2*time.Second), request, response, wire.Hooks{})
			Expect(err).To(HaveOccurred(), "%d %q", response.StatusCode(), response.Body())
		},
		Entry("two lengths", head+"Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello"),
		Entry("two equal lengths", head+"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("a negative length", head+"Content-Length: -5\r\n\r\nhello"),
		Entry("a length that is no number", head+"Content-Length: five\r\n\r\nhello"),
		Entry("an empty length", head+"Content-Length: \r\n\r\nhello"),
		Entry("a huge length", head+"Content-Length: 99999999999999999999\r\n\r\nhello"),
		Entry("an unknown encoding", head+"Transfer-Encoding: gzip\r\n\r\nhello"),
		Entry("a chunk size that is no number", head+"Transfer-Encoding: chunked\r\n\r\nx\r\nhello\r\n0\r\n\r\n"),
		Entry("a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("no status", "HTTP/1.1 \r\nContent-Length: 5\r\n\r\nhello"),
	)

	// Chunks delimit a body also if there is a length beside them (RFC 9112, 6.3). The length of the body that the caller gets
	// is that of the chunks.
	DescribeTable("in chunks with a length beside them has the length of the chunks",
		func(fields string) {
			_, content, err := do(withTimeout(2*time.Second), newPeer(respondWith(head+fields+"\r\n5\r\nhello\r\n0\r\n\r\n")).newPool(wire.Options{}), wire.Hooks{})
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal("hello"))
		},
		Entry("before them", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
		Entry("after them", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
	)
})
