package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// isDisconnect reports whether the error means that a connection was closed by the peer or by this process.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
