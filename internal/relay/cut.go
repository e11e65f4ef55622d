package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// isCut reports whether the error is the end of a connection.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
