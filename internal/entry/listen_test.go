package entry

import (
	"errors"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exhaustedListener fails to accept for lack of file descriptors a few times.
type exhaustedListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (e *exhaustedListener) Accept() (net.Conn, error) {
	if e.failures > 0 {
		e.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

var _ = Describe("the listener for callers", func() {
	// Guards against a process that accepts no more connections after it ran out of file descriptors once.
	It("accepts again after a lack of file descriptors, and ends when it is closed", func() {
		bound, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := newListener(&exhaustedListener{Listener: bound, failures: 3})
		dialed, err := net.Dial("tcp", bound.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer dialed.Close()
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(bound.Close()).To(Succeed())
		_, err = l.Accept()
		Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
	})
})
