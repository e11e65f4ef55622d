package back_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/back"
)

// serveCancels answers cancel calls on a connection, one for each outcome in turn, with a copy of the answer before each
// later one.
func serveCancels(c net.Conn, named bool, outcomes []string) {
	reader := bufio.NewReader(c)
	earlier := ""
	for _, outcome := range outcomes {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := ""
		if named {
			id = "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
		}
		content := fmt.Sprintf(`{"outcome":%q}`, outcome)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(content), content)
		fmt.Fprint(c, earlier, answer)
		earlier = answer
	}
}

var _ = Describe("a late copy of an answer to a cancel call", func() {
	// Guards against a call that is sent again although it runs: the answer about another call said that it never will.
	DescribeTable("says nothing about another call",
		func(named bool) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { l.Close() })
			outcomes := strings.Fields("not-run running")
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					serveCancels(c, named, outcomes)
					c.Close()
					outcomes = outcomes[1:]
				}
			}()
			client := back.NewClient("s", l.Addr().(*net.TCPAddr).AddrPort(), back.Options{})
			DeferCleanup(client.Close)
			outcome, err := client.Cancel(timeoutContext(time.Second), "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome).To(Equal(back.CancelNotRun))
			outcome, _ = client.Cancel(timeoutContext(time.Second), "b")
			Expect(outcome).To(Equal(back.CancelRunning))
		},
		Entry("if it names the call", true),
		Entry("if it does not", false),
	)
})
