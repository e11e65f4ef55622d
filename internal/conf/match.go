package conf

import (
	"net/url"
	"strings"
)

// reserved are first path segments that servers use for their control and test interfaces. A call
// that reached one of them could drain a server or revoke its grant.
var reserved = []string{"control", "stand"}

// Match returns the operation of a call. The path is the part after "/<team>/<service>" as it was
// sent, still percent-encoded and without the query. The longest prefix wins; prefixes match whole
// segments.
//
// It reports false where no operation matches, and for a path that a server might read as another
// one: dot segments, empty segments, encoded separators, invalid encodings and control characters.
// Without that rule a booking could be taken for a repeatable lookup. Paths under /control and
// /stand never match.
func (s *Service) Match(method, path string) (Operation, bool) {
	clean, ok := cleanPath(path)
	if !ok {
		return Operation{}, false
	}
	for _, o := range s.Operations {
		if o.Method == method && hasPrefix(clean, o.Prefix) {
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

// cleanPath decodes a path. It reports false where the path is unsafe to classify. A path that
// needs no decoding is returned as it is, without allocation.
func cleanPath(path string) (string, bool) {
	if path == "" || path[0] != '/' || strings.ContainsAny(path, "?#") {
		return "", false
	}
	if strings.IndexByte(path, '%') < 0 {
		return path, safePath(path)
	}
	segments := strings.Split(path[1:], "/")
	for i, raw := range segments {
		segment, ok := cleanSegment(raw)
		if !ok {
			return "", false
		}
		segments[i] = segment
	}
	decoded := "/" + strings.Join(segments, "/")
	return decoded, safePath(decoded)
}

// safePath reports whether each segment of a decoded path is safe, none but the last is empty, and
// the first is not reserved. An empty last segment is a trailing slash.
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
	for _, r := range reserved {
		if strings.EqualFold(segment, r) {
			return true
		}
	}
	return false
}

// cleanSegment decodes one path segment. It reports false for dot segments, separators, control
// characters, query and fragment marks, and invalid encodings.
func cleanSegment(raw string) (string, bool) {
	if strings.ContainsAny(raw, "?#") {
		return "", false
	}
	segment, err := url.PathUnescape(raw)
	if err != nil {
		return "", false
	}
	return segment, safeSegment(segment)
}

// safeSegment reports whether no server takes a decoded segment for another path.
func safeSegment(segment string) bool {
	return segment != "." && segment != ".." && !strings.ContainsFunc(segment, unsafeRune)
}

func unsafeRune(c rune) bool {
	return c == '/' || c == '\\' || c < ' ' || c == 0x7f
}
