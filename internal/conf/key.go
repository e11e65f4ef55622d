package conf

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

//go:generate enumer -type=KeyErrorKind -trimprefix=Key -transform=kebab -output=keyerror_enumer.go

// MaxKeyBytes is the length limit of a key in bytes. A longer value is treated as misuse.
const MaxKeyBytes = 512

// KeyErrorKind says why a call has no usable key.
type KeyErrorKind int

const (
	// KeyMissing means that the call has no value at the key source.
	KeyMissing KeyErrorKind = iota
	// KeyMalformed means that the value is not UTF-8, contains control characters, or is wrongly encoded.
	KeyMalformed
	// KeyTooLong means that the value is longer than MaxKeyBytes.
	KeyTooLong
)

// KeyError says why no key was extracted from a call. It has no stack trace because refusals are on
// the hot path. Callers distinguish errors by Kind.
type KeyError struct {
	Kind   KeyErrorKind
	Source KeySource
}

// Error returns the problem and the remedy.
func (e *KeyError) Error() string {
	switch e.Kind {
	case KeyMissing:
		return fmt.Sprintf("the call carries no key at %s; send the key there", e.Source)
	case KeyTooLong:
		return fmt.Sprintf("the key at %s is longer than %d bytes; send a shorter key", e.Source, MaxKeyBytes)
	default:
		return fmt.Sprintf("the key at %s is malformed; send UTF-8 text without control characters", e.Source)
	}
}

// KeySource is the place of the key in a call: a HeaderKey, QueryKey or SegmentKey.
type KeySource interface {
	// Extract returns the key of a call. The function header returns the value of a request header,
	// and query the decoded value of a query parameter; both return "" if there is none. The path is
	// the part after "/<team>/<service>" as it was sent, still percent-encoded and without the query.
	// The caller must refuse a call that has the header or the parameter more than once, because the
	// server may read another one of the values.
	//
	// The error is a *KeyError.
	Extract(header, query func(string) string, path string) (string, error)
	// String returns the source in the format of a team file.
	String() string
	keySource()
}

// HeaderKey is a key in a request header.
type HeaderKey struct {
	// Name is the canonical name of the header.
	Name string
}

// QueryKey is a key in a query parameter.
type QueryKey struct {
	// Name is the case-sensitive name of the parameter.
	Name string
}

// SegmentKey is a key in a path segment.
type SegmentKey struct {
	// Index is the position of the segment after "/<team>/<service>", from 1.
	Index int
}

// Extract implements KeySource. White space around the value is not part of the key.
func (h HeaderKey) Extract(header, _ func(string) string, _ string) (string, error) {
	key := strings.Trim(header(h.Name), " \t")
	if kind, ok := checkKey(key); !ok {
		return "", &KeyError{Kind: kind, Source: h}
	}
	return key, nil
}

// Extract implements KeySource.
func (q QueryKey) Extract(_, query func(string) string, _ string) (string, error) {
	key := query(q.Name)
	if kind, ok := checkKey(key); !ok {
		return "", &KeyError{Kind: kind, Source: q}
	}
	return key, nil
}

// Extract implements KeySource. The segment is percent-decoded, so that all encodings of a key have
// the same owner.
func (s SegmentKey) Extract(_, _ func(string) string, path string) (string, error) {
	raw, ok := segmentAt(path, s.Index)
	if !ok {
		return "", &KeyError{Kind: KeyMissing, Source: s}
	}
	key, ok := decodeSegment(raw)
	if !ok {
		return "", &KeyError{Kind: KeyMalformed, Source: s}
	}
	if kind, ok := checkKey(key); !ok {
		return "", &KeyError{Kind: kind, Source: s}
	}
	return key, nil
}

// String implements KeySource.
func (h HeaderKey) String() string { return "header:" + h.Name }

// String implements KeySource.
func (q QueryKey) String() string { return "query:" + q.Name }

// String implements KeySource.
func (s SegmentKey) String() string { return fmt.Sprintf("path:%d", s.Index) }

func (HeaderKey) keySource()  {}
func (QueryKey) keySource()   {}
func (SegmentKey) keySource() {}

// segmentAt returns the raw path segment at the index, from 1.
func segmentAt(path string, index int) (string, bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return "", false
	}
	for ; index > 1; index-- {
		_, rest, ok = strings.Cut(rest, "/")
		if !ok {
			return "", false
		}
	}
	segment, _, _ := strings.Cut(rest, "/")
	return segment, true
}

// checkKey reports whether a key is valid. If it is not, the kind says why.
func checkKey(key string) (KeyErrorKind, bool) {
	switch {
	case key == "":
		return KeyMissing, false
	case len(key) > MaxKeyBytes:
		return KeyTooLong, false
	case !utf8.ValidString(key) || strings.ContainsFunc(key, controlRune):
		return KeyMalformed, false
	}
	return 0, true
}

func controlRune(c rune) bool {
	return c < ' ' || c == 0x7f
}
