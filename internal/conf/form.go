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
	// maxServers bounds the servers of one service. A cell has at most 4,096 spans and starts with
	// 16 for each server.
	maxServers = 256
	// maxSegment bounds the path segment that may hold a key.
	maxSegment = 16
	// maxPrefixBytes bounds the path prefix of an operation.
	maxPrefixBytes = 256
)

// methods are the HTTP methods an operation may match.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// endpoint is a parsed peer without its name.
type endpoint struct {
	address netip.AddrPort
	domain  string
}

// route is the parsed match of an operation.
type route struct{ method, prefix string }

func parsePeer(text string) (any, *flaw) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return nil, &flaw{fmt.Sprintf("%q is no address with a failure domain", brief(text)), "write it as 10.0.0.1:9000 fd-1"}
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

// WrongKeySource is the kind of error of a key source that cannot be read.
var WrongKeySource = namespace.NewType("wrong-key-source")

// ParseKeySource reads a key source as it is written in a team file: "header:NAME", "query:NAME"
// or "path:N". The error is of kind WrongKeySource and names the remedy.
func ParseKeySource(text string) (KeySource, error) {
	source, f := parseKeySource(text)
	if f != nil {
		return nil, WrongKeySource.New("%s; %s", f.problem, f.remedy)
	}
	return source.(KeySource), nil
}

func parseKeySource(text string) (any, *flaw) {
	place, name, _ := strings.Cut(text, ":")
	switch {
	case place == "header" && httpguts.ValidHeaderFieldName(name):
		return HeaderKey{Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
	case place == "query" && validParameter(name):
		return QueryKey{Name: name}, nil
	case place == "path":
		return parseSegmentKey(text, name)
	}
	return nil, &flaw{fmt.Sprintf("%q is no key source", brief(text)), "write header:NAME, query:NAME or path:N"}
}

func parseSegmentKey(text, index string) (any, *flaw) {
	n, err := strconv.Atoi(index)
	if err != nil || n < 1 || n > maxSegment {
		return nil, &flaw{
			fmt.Sprintf("%q names no path segment", brief(text)),
			fmt.Sprintf("write path:N with N from 1 to %d", maxSegment),
		}
	}
	return SegmentKey{Index: n}, nil
}

// validParameter reports whether name is a query parameter that needs no encoding.
func validParameter(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, reservedInPath)
}

func parseServers(text string) (any, *flaw) {
	var servers []assign.Server
	for part := range strings.SplitSeq(text, ",") {
		s, f := parseServer(strings.TrimSpace(part))
		if f != nil {
			return nil, f
		}
		servers = append(servers, s)
	}
	if len(servers) > maxServers {
		return nil, &flaw{
			fmt.Sprintf("the service has %d servers, more than %d", len(servers), maxServers),
			"divide the service between cells",
		}
	}
	return servers, nil
}

func parseServer(text string) (assign.Server, *flaw) {
	name, rest, _ := strings.Cut(text, "@")
	address, domain, found := strings.Cut(rest, "/")
	if !found || !isName(name) || !isName(domain) {
		return assign.Server{}, &flaw{
			fmt.Sprintf("%q is no server", brief(text)),
			"write servers as name@10.0.0.1:9000/fd-1, separated by commas",
		}
	}
	a, f := parseAddress(addressKind{}, address)
	if f != nil {
		return assign.Server{}, f
	}
	return assign.Server{ID: assign.ServerID(name), Address: a.(netip.AddrPort), FailureDomain: domain}, nil
}

func parseMatch(text string) (any, *flaw) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return nil, &flaw{fmt.Sprintf("%q is no method with a path prefix", brief(text)), "write it as GET /balances"}
	}
	method, prefix := fields[0], fields[1]
	if !slices.Contains(methods, method) {
		return nil, &flaw{fmt.Sprintf("%q is no known method", brief(method)), "use one of " + strings.Join(methods, ", ")}
	}
	if len(prefix) > maxPrefixBytes || strings.ContainsFunc(prefix, reservedInPath) {
		return nil, &flaw{
			fmt.Sprintf("%q is no path prefix", brief(prefix)),
			fmt.Sprintf("use letters, digits and -._~/ only, at most %d, without encoding", maxPrefixBytes),
		}
	}
	clean, ok := cleanPath(prefix)
	if !ok {
		return nil, &flaw{
			fmt.Sprintf("%q never matches a call", brief(prefix)),
			"start with a slash, leave out dot and empty segments, and do not use /" + strings.Join(reserved, " or /"),
		}
	}
	if clean != "/" {
		clean = strings.TrimSuffix(clean, "/")
	}
	return route{method: method, prefix: clean}, nil
}

// reservedInPath reports whether a character needs encoding in a path.
func reservedInPath(c rune) bool {
	letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
	digit := c >= '0' && c <= '9'
	return !letter && !digit && !strings.ContainsRune("-._~/", c)
}
