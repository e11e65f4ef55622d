package conf

import (
	"net/url"
	"strings"
)

// reservedSegments are first path segments that servers use for their control and test interfaces. A
// caller's request to one of them could drain a server or revoke its grant.
var reservedSegments = []string{"control", "stand"}

// Match returns the operation of a call. The path is the part after "/<team>/<service>" as it was
// sent, still percent-encoded and without the query. Prefixes match whole segments, and the longest
// matching prefix wins.
//
// It reports false if no operation matches, and for a path that a server might resolve to another
// one: with dot segments, empty segments, encoded separators, invalid encodings or control characters.
// Otherwise a booking could be classified as a repeatable lookup. Paths under /control and /stand
// never match.
func (s *Service) Match(method, path string) (Operation, bool) {
	decoded, ok := decodePath(path)
	if !ok {
		return Operation{}, false
	}
	for _, o := range s.Operations {
		if o.Method == method && hasPrefix(decoded, o.Prefix) {
			return o, true
		}
	}
	return Operation{}, false
}

// hasPrefix reports whether prefix covers whole leading segments of path.
func hasPrefix(path, prefix string) bool {
	if prefix == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// decodePath percent-decodes a path. It reports false if a server might resolve the path to another
// one. A path without percent-encoding is returned as it is, without allocation.
func decodePath(path string) (string, bool) {
	if path == "" || path[0] != '/' || strings.ContainsAny(path, "?#") {
		return "", false
	}
	if strings.IndexByte(path, '%') < 0 {
		return path, safePath(path)
	}
	segments := strings.Split(path[1:], "/")
	for i, raw := range segments {
		segment, ok := decodeSegment(raw)
		if !ok {
			return "", false
		}
		segments[i] = segment
	}
	decoded := "/" + strings.Join(segments, "/")
	return decoded, safePath(decoded)
}

// safePath reports whether each segment of a decoded path is safe, no segment but the last is empty,
// and the first is not reserved. An empty last segment comes from a trailing slash.
func safePath(path string) bool {
	rest, more := path[1:], true
	for first := true; more; first = false {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		if !safeSegment(segment) || (segment == "" && more) || (first && isReserved(segment)) {
			return false
		}
	}
	return true
}

func isReserved(segment string) bool {
	for _, r := range reservedSegments {
		if strings.EqualFold(segment, r) {
			return true
		}
	}
	return false
}

// decodeSegment percent-decodes one path segment. It reports false for dot segments, encoded
// separators, control characters, unencoded "?" and "#", and invalid encodings.
func decodeSegment(raw string) (string, bool) {
	if strings.ContainsAny(raw, "?#") {
		return "", false
	}
	segment, err := url.PathUnescape(raw)
	if err != nil {
		return "", false
	}
	return segment, safeSegment(segment)
}

// safeSegment reports whether a decoded segment cannot change the path when a server resolves it.
func safeSegment(segment string) bool {
	return segment != "." && segment != ".." && !strings.ContainsFunc(segment, unsafeRune)
}

func unsafeRune(c rune) bool {
	return c == '/' || c == '\\' || c < ' ' || c == 0x7f
}
