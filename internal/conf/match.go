package conf

import (
	"net/url"
	"slices"
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

// cleanPath decodes a path. It reports false where the path is unsafe to classify.
func cleanPath(path string) (string, bool) {
	if path == "" || path[0] != '/' {
		return "", false
	}
	segments := strings.Split(path[1:], "/")
	last := len(segments) - 1
	for i, raw := range segments {
		segment, ok := cleanSegment(raw)
		// An empty last segment is a trailing slash.
		if !ok || (segment == "" && i != last) {
			return "", false
		}
		segments[i] = segment
	}
	if slices.Contains(reserved, strings.ToLower(segments[0])) {
		return "", false
	}
	return "/" + strings.Join(segments, "/"), true
}

// cleanSegment decodes one path segment. It reports false for dot segments, separators, control
// characters and invalid encodings.
func cleanSegment(raw string) (string, bool) {
	if strings.ContainsAny(raw, "?#") {
		return "", false
	}
	segment, err := url.PathUnescape(raw)
	if err != nil || segment == "." || segment == ".." {
		return "", false
	}
	return segment, !strings.ContainsFunc(segment, unsafeRune)
}

func unsafeRune(c rune) bool {
	return c == '/' || c == '\\' || c < ' ' || c == 0x7f
}
