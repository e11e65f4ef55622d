package conf

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// maxServers limits the servers of one service. A cell has at most 4,096 spans and starts with 16
	// spans per server.
	maxServers = 256
	// maxSegment is the highest index of a path segment that may hold a key.
	maxSegment = 16
	// maxPrefixBytes is the length limit of an operation's path prefix in bytes.
	maxPrefixBytes = 256
)

// methods are the HTTP methods an operation may match.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// endpoint is the parsed value of a line in section [peers], whose key is the name of the peer.
type endpoint struct {
	address netip.AddrPort
	domain  string
}

// route is the parsed match setting of an operation.
type route struct{ method, prefix string }

func parsePeer(text string) (any, *valueFault) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return nil, &valueFault{fmt.Sprintf("%q is no address with a failure domain", excerpt(text)), "write it as 10.0.0.1:9000 fd-1"}
	}
	address, f := parseAddress(addressKind{}, fields[0])
	if f != nil {
		return nil, f
	}
	if _, f := parseName(fields[1]); f != nil {
		return nil, f
	}
	return endpoint{address: address.(netip.AddrPort), domain: fields[1]}, nil
}

var namespace = errorx.NewNamespace("settings")

// WrongKeySource is the type of the errors that ParseKeySource returns.
var WrongKeySource = namespace.NewType("wrong-key-source")

// ParseKeySource parses a key source in the format of a team file: "header:NAME", "query:NAME" or
// "path:N". The error is of type WrongKeySource and includes the remedy.
func ParseKeySource(text string) (KeySource, error) {
	source, f := parseKeySource(text)
	if f != nil {
		return nil, WrongKeySource.New("%s; %s", f.problem, f.remedy)
	}
	return source.(KeySource), nil
}

func parseKeySource(text string) (any, *valueFault) {
	location, name, _ := strings.Cut(text, ":")
	switch {
	case location == "header" && httpguts.ValidHeaderFieldName(name):
		return HeaderKey{Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
	case location == "query" && validParameter(name):
		return QueryKey{Name: name}, nil
	case location == "path":
		return parseSegmentKey(text, name)
	}
	return nil, &valueFault{fmt.Sprintf("%q is no key source", excerpt(text)), "write header:NAME, query:NAME or path:N"}
}

func parseSegmentKey(text, index string) (any, *valueFault) {
	n, err := strconv.Atoi(index)
	if err != nil || n < 1 || n > maxSegment {
		return nil, &valueFault{
			fmt.Sprintf("%q names no path segment", excerpt(text)),
			fmt.Sprintf("write path:N with N from 1 to %d", maxSegment),
		}
	}
	return SegmentKey{Index: n}, nil
}

// validParameter reports whether name is a valid query parameter that needs no percent-encoding.
func validParameter(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, needsEncoding)
}

func parseServers(text string) (any, *valueFault) {
	var servers []assign.Server
	for part := range strings.SplitSeq(text, ",") {
		s, f := parseServer(strings.TrimSpace(part))
		if f != nil {
			return nil, f
		}
		servers = append(servers, s)
	}
	if len(servers) > maxServers {
		return nil, &valueFault{
			fmt.Sprintf("the service has %d servers, more than %d", len(servers), maxServers),
			"divide the service between cells",
		}
	}
	return servers, nil
}

func parseServer(text string) (assign.Server, *valueFault) {
	name, rest, _ := strings.Cut(text, "@")
	address, domain, found := strings.Cut(rest, "/")
	if !found || !isName(name) || !isName(domain) {
		return assign.Server{}, &valueFault{
			fmt.Sprintf("%q is no server", excerpt(text)),
			"write servers as name@10.0.0.1:9000/fd-1, separated by commas",
		}
	}
	a, f := parseAddress(addressKind{}, address)
	if f != nil {
		return assign.Server{}, f
	}
	return assign.Server{ID: assign.ServerID(name), Address: a.(netip.AddrPort), FailureDomain: domain}, nil
}

func parseMatch(text string) (any, *valueFault) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return nil, &valueFault{fmt.Sprintf("%q is no method with a path prefix", excerpt(text)), "write it as GET /balances"}
	}
	method, prefix := fields[0], fields[1]
	if !slices.Contains(methods, method) {
		return nil, &valueFault{fmt.Sprintf("%q is no known method", excerpt(method)), "use one of " + strings.Join(methods, ", ")}
	}
	if len(prefix) > maxPrefixBytes || strings.ContainsFunc(prefix, needsEncoding) {
		return nil, &valueFault{
			fmt.Sprintf("%q is no path prefix", excerpt(prefix)),
			fmt.Sprintf("use letters, digits and -._~/ only, at most %d, without encoding", maxPrefixBytes),
		}
	}
	decoded, ok := decodePath(prefix)
	if !ok {
		return nil, &valueFault{
			fmt.Sprintf("%q never matches a call", excerpt(prefix)),
			"start with a slash, leave out dot and empty segments, and do not use /" + strings.Join(reservedSegments, " or /"),
		}
	}
	if decoded != "/" {
		decoded = strings.TrimSuffix(decoded, "/")
	}
	return route{method: method, prefix: decoded}, nil
}

// needsEncoding reports whether a character needs percent-encoding in a path.
func needsEncoding(c rune) bool {
	letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
	digit := c >= '0' && c <= '9'
	return !letter && !digit && !strings.ContainsRune("-._~/", c)
}
