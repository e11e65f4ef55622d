// Package body reads the bodies of HTTP messages within a memory budget.
//
// All bodies that a process holds at once share one Budget. A body reserves memory before its buffer grows, and is
// refused if the Budget has none left. Requests may take only a part of the Budget: a request that is refused has not
// run, but a response that is refused belongs to work that has run. A response may take at most half of what the other
// bodies leave, so that many large ones leave room for small ones.
//
// # Usage
//
//	budget := body.NewBudget(128 << 20)
//	memory := budget.Response()
//	defer memory.Release()
//	content, err := body.Read(reader, header.ContentLength(), nil, body.Limit{Bytes: 8 << 20, Reserve: memory.Resize})
package body

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"slices"
)

// Values of the length of a body that does not have a Content-Length, as fasthttp represents them.
const (
	// Chunked is the length of a body with chunked encoding.
	Chunked = -1
	// CloseDelimited is the length of a body that ends with its connection.
	CloseDelimited = -2
)

// PooledBytes is the size in bytes of the largest buffer that is left to a pool of buffers. A larger one would stay in use for
// small bodies.
const PooledBytes = 64 << 10

// minGrowth is the smallest size in bytes to which the buffer of a body of unknown length grows.
const minGrowth = 4 << 10

// Errors of Read.
var (
	ErrTooLarge = errors.New("the body is larger than allowed")
	ErrNoMemory = errors.New("the memory for bodies is in use")
)

// Limit bounds the size of a body.
type Limit struct {
	// Bytes is the largest size of the body.
	Bytes int
	// Reserve is called before the buffer grows to the given size, and reports whether it may. If Reserve is nil, it may.
	Reserve func(bytes int) bool
}

func (l Limit) reserve(bytes int) bool { return l.Reserve == nil || l.Reserve(bytes) }

// Read reads a body of a known length, or one that is Chunked or CloseDelimited, into the buffer dst, which it replaces
// if it is too small. The trailer after a chunked body is left in r. A body that ends early is an error, except for a
// CloseDelimited one.
func Read(r *bufio.Reader, length int, dst []byte, l Limit) ([]byte, error) {
	switch {
	case length >= 0:
		return readSized(r, length, dst, l)
	case length == Chunked:
		return readStream(httputil.NewChunkedReader(r), dst, l)
	}
	return readStream(r, dst, l)
}

func readSized(r io.Reader, length int, dst []byte, l Limit) ([]byte, error) {
	if length > l.Bytes {
		return dst, ErrTooLarge
	}
	if !l.reserve(length) {
		return dst, ErrNoMemory
	}
	dst = slices.Grow(dst[:0], length)[:length]
	if _, err := io.ReadFull(r, dst); err != nil {
		if errors.Is(err, io.EOF) && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		return dst, err
	}
	return dst, nil
}

// readStream reads until the end of r. The buffer doubles when it is full.
func readStream(r io.Reader, dst []byte, l Limit) ([]byte, error) {
	dst = dst[:0]
	for {
		if len(dst) == cap(dst) {
			size := min(max(minGrowth, 2*cap(dst)), l.Bytes+1)
			if len(dst) >= size {
				return dst, ErrTooLarge
			}
			if !l.reserve(size) {
				return dst, ErrNoMemory
			}
			dst = append(make([]byte, 0, size), dst...)
		}
		n, err := r.Read(dst[len(dst):cap(dst)])
		dst = dst[:len(dst)+n]
		switch {
		case len(dst) > l.Bytes:
			return dst, ErrTooLarge
		case errors.Is(err, io.EOF):
			return dst, nil
		case err != nil:
			return dst, err
		}
	}
}
