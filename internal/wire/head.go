package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// statusLineLength is the length of a status line up to the status, such as "HTTP/1.1 200".
	statusLineLength = len("HTTP/1.1 200")
	// maxHeadExcerpt is the largest length of a header in an error, in bytes.
	maxHeadExcerpt = 300
)

// ErrMalformed is returned for a response whose header or trailer is not strictly in the form of HTTP. It may be put
// together from the beginning of one response and the next response, so that it proves nothing.
var ErrMalformed = errors.New("the response has a malformed header")

// ErrHeadTooLarge is returned for a response whose header or trailer does not fit in the read buffer.
var ErrHeadTooLarge = errors.New("the header or trailer of the response is too large")

// checkHead waits until the reader has buffered the whole header of a response, and returns an error if it is malformed. It
// does not consume the header.
//
// A peer may send the beginning of one response and then another one. Its status line then stands in the middle of what looks
// like one header: as a line of its own, or in the status line or a field of the first. Neither is a form of a status line
// or a field.
func checkHead(r *bufio.Reader) error {
	head, err := peekBlock(r, true)
	if err != nil {
		return err
	}
	lines := blockLines{rest: bytes.TrimLeft(head, "\r\n")}
	if line := lines.next(); !isStatusLine(line) {
		return malformed(head)
	}
	return checkFields(head, lines)
}

// skipTrailer consumes the trailer after a body in chunks. Its fields are not used, since what a response says counts only
// in its header.
func skipTrailer(r *bufio.Reader) error {
	trailer, err := peekBlock(r, false)
	if err != nil {
		return err
	}
	if err := checkFields(trailer, blockLines{rest: trailer}); err != nil {
		return err
	}
	_, err = r.Discard(len(trailer))
	return err
}

// checkFields returns an error if one of the lines of a header or trailer is not a field.
func checkFields(block []byte, lines blockLines) error {
	for line := lines.next(); len(line) > 0; line = lines.next() {
		if !isField(line) {
			return malformed(block)
		}
	}
	return nil
}

func malformed(block []byte) error {
	return fmt.Errorf("%w: %q", ErrMalformed, block[:min(len(block), maxHeadExcerpt)])
}

// peekBlock waits until the reader has buffered a header or trailer with its last, empty line, and returns it. The empty
// lines before a header are part of it if skipEmpty is set.
func peekBlock(r *bufio.Reader, skipEmpty bool) ([]byte, error) {
	// end is the end of the last complete line.
	end := 0
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		buffered, _ := r.Peek(r.Buffered())
		for length := lineLength(buffered[end:]); length > 0; length = lineLength(buffered[end:]) {
			empty := len(trimLineEnd(buffered[end:end+length])) == 0
			end += length
			if empty && !skipEmpty {
				return buffered[:end], nil
			}
			skipEmpty = skipEmpty && empty
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeadTooLarge
		}
		if errors.Is(err, io.EOF) && len(buffered) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// lineLength returns the length of the first line with its end, 0 if it is not complete.
func lineLength(b []byte) int { return bytes.IndexByte(b, '\n') + 1 }

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}

// blockLines iterates over the lines of a header or trailer.
type blockLines struct{ rest []byte }

// next returns the next line without its end, or an empty line after the last one.
func (l *blockLines) next() []byte {
	length := lineLength(l.rest)
	line := trimLineEnd(l.rest[:length])
	l.rest = l.rest[length:]
	return line
}

// isStatusLine reports whether a line is a status line with a valid status and holds no second one.
func isStatusLine(line []byte) bool {
	if !beginsStatusLine(line) || !isStatus(line[statusLineLength-3:statusLineLength]) {
		return false
	}
	reason := line[statusLineLength:]
	return len(reason) == 0 || reason[0] == ' ' && isFieldValue(reason)
}

// isStatus reports whether three digits are a status that a response may have here. HTTP defines 100 to 599, and no request asks
// to switch protocols. The header of fasthttp takes 000 for 200, so that such a response would count as a success.
func isStatus(digits []byte) bool {
	return '1' <= digits[0] && digits[0] <= '5' && string(digits) != "101"
}

// beginsStatusLine reports whether b begins like a status line of HTTP/1.x.
func beginsStatusLine(b []byte) bool {
	return len(b) >= statusLineLength && bytes.HasPrefix(b, []byte("HTTP/1.")) && isDigit(b[7]) && b[8] == ' ' &&
		isDigit(b[9]) && isDigit(b[10]) && isDigit(b[11])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isField reports whether a line is a field: a name, a colon and a value (RFC 9112, 5).
func isField(line []byte) bool {
	name, value, found := bytes.Cut(line, []byte{':'})
	return found && isToken(name) && isFieldValue(value)
}

func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(b byte) bool {
	letter := 'a' <= b|0x20 && b|0x20 <= 'z'
	return letter || isDigit(b) || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}

// isFieldValue reports whether a value has no control characters and no status line of another response.
func isFieldValue(value []byte) bool {
	for i, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f || b == 'H' && beginsStatusLine(value[i:]) {
			return false
		}
	}
	return true
}
