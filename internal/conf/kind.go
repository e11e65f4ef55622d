package conf

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// kind is the type and the bounds of a setting's value. It is one of the types below.
type kind interface{ kind() }

// textKind is text of any content, up to maxTextBytes.
type textKind struct{}

// nameKind is a kebab-case name.
type nameKind struct{}

// namesKind is a list of kebab-case names, separated by commas.
type namesKind struct{}

// durationKind is a duration with inclusive bounds.
type durationKind struct{ min, max time.Duration }

// numberKind is a whole number with inclusive bounds.
type numberKind struct {
	unit     string
	min, max int
}

// shareKind is a fraction with inclusive bounds.
type shareKind struct{ min, max float64 }

// flagKind is "true" or "false".
type flagKind struct{}

// choiceKind is one of several names.
type choiceKind struct{ names []string }

// addressKind is an IP address with a port.
type addressKind struct {
	// listen allows an unspecified address such as 0.0.0.0, which listens on all interfaces.
	listen bool
}

// peerKind is the address and the failure domain of an entry process.
type peerKind struct{}

// keyKind is a KeySource.
type keyKind struct{}

// serversKind is a list of servers.
type serversKind struct{}

// matchKind is the method and path prefix of an operation.
type matchKind struct{}

func (textKind) kind()     {}
func (nameKind) kind()     {}
func (namesKind) kind()    {}
func (durationKind) kind() {}
func (numberKind) kind()   {}
func (shareKind) kind()    {}
func (flagKind) kind()     {}
func (choiceKind) kind()   {}
func (addressKind) kind()  {}
func (peerKind) kind()     {}
func (keyKind) kind()      {}
func (serversKind) kind()  {}
func (matchKind) kind()    {}

// valueFault is an error in one value. The caller adds the file, line and key to make it a Fault.
type valueFault struct{ problem, remedy string }

// parseValue converts a text to the Go type of its kind, or returns what is wrong with it.
func parseValue(k kind, text string) (any, *valueFault) {
	switch k := k.(type) {
	case textKind:
		return parseText(text)
	case nameKind:
		return parseName(text)
	case namesKind:
		return parseNames(text)
	case durationKind:
		return parseDuration(k, text)
	case numberKind:
		return parseNumber(k, text)
	case shareKind:
		return parseShare(k, text)
	case flagKind:
		return parseFlag(text)
	case choiceKind:
		return parseChoice(k, text)
	case addressKind:
		return parseAddress(k, text)
	case peerKind:
		return parsePeer(text)
	case keyKind:
		return parseKeySource(text)
	case serversKind:
		return parseServers(text)
	case matchKind:
		return parseMatch(text)
	}
	return nil, &valueFault{"the key has no kind", "report this as an error of samphiredrum"}
}

const (
	maxTextBytes = 200
	maxNameBytes = 63
)

func parseText(text string) (any, *valueFault) {
	if len(text) > maxTextBytes {
		return nil, &valueFault{fmt.Sprintf("the text is longer than %d bytes", maxTextBytes), "shorten it"}
	}
	return text, nil
}

func parseName(text string) (any, *valueFault) {
	if !isName(text) {
		return nil, &valueFault{fmt.Sprintf("%q is no name", excerpt(text)), nameRemedy}
	}
	return text, nil
}

var nameRemedy = fmt.Sprintf("use lower-case letters, digits and hyphens, starting with a letter, at most %d", maxNameBytes)

// isName reports whether text is a kebab-case name.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes || text[0] < 'a' || text[0] > 'z' {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-'
	})
}

func parseNames(text string) (any, *valueFault) {
	var names []string
	seen := make(map[string]bool)
	for part := range strings.SplitSeq(text, ",") {
		name := strings.TrimSpace(part)
		if !isName(name) {
			return nil, &valueFault{fmt.Sprintf("%q is no name", excerpt(name)), nameRemedy}
		}
		if seen[name] {
			return nil, &valueFault{fmt.Sprintf("%q is listed twice", name), "list each name once"}
		}
		seen[name] = true
		names = append(names, name)
	}
	return names, nil
}

func parseDuration(k durationKind, text string) (any, *valueFault) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, &valueFault{fmt.Sprintf("%q is no duration", excerpt(text)), "write a number with a unit, such as 200ms, 2s or 10m"}
	}
	if d < k.min || d > k.max {
		return nil, outOfBounds(text, k)
	}
	return d, nil
}

func parseNumber(k numberKind, text string) (any, *valueFault) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return nil, &valueFault{fmt.Sprintf("%q is no whole number", excerpt(text)), "write digits only, without a unit"}
	}
	if n < k.min || n > k.max {
		return nil, outOfBounds(text, k)
	}
	return n, nil
}

func parseShare(k shareKind, text string) (any, *valueFault) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return nil, &valueFault{fmt.Sprintf("%q is no number", excerpt(text)), "write a decimal number, such as 0.1"}
	}
	// NaN fails this comparison and is reported as out of bounds.
	if f >= k.min && f <= k.max {
		return f, nil
	}
	return nil, outOfBounds(text, k)
}

func parseFlag(text string) (any, *valueFault) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return nil, &valueFault{fmt.Sprintf("%q is neither true nor false", excerpt(text)), "write true or false"}
}

func parseChoice(k choiceKind, text string) (any, *valueFault) {
	for _, name := range k.names {
		if name == text {
			return text, nil
		}
	}
	return nil, &valueFault{
		fmt.Sprintf("%q is not one of %s", excerpt(text), strings.Join(k.names, ", ")),
		fmt.Sprintf("the nearest known name is %q", nearest(text, k.names)),
	}
}

func parseAddress(k addressKind, text string) (any, *valueFault) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, &valueFault{fmt.Sprintf("%q is no IP address with a port", excerpt(text)), "write it as 10.0.0.1:9000 or [fd00::1]:9000"}
	}
	// An IPv4 address and the same address mapped to IPv6 must compare as equal.
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	switch {
	case a.Port() == 0:
		return nil, &valueFault{fmt.Sprintf("%q has port 0", excerpt(text)), "write a port from 1 to 65535"}
	case a.Addr().IsMulticast():
		return nil, &valueFault{fmt.Sprintf("%q is a multicast address", excerpt(text)), "write the address of one machine"}
	case a.Addr().IsUnspecified() && !k.listen:
		return nil, &valueFault{fmt.Sprintf("%q names no machine to connect to", excerpt(text)), "write the address of one machine"}
	}
	return a, nil
}

func outOfBounds(text string, k kind) *valueFault {
	return &valueFault{fmt.Sprintf("%q is out of bounds", excerpt(text)), "set a value " + bounds(k)}
}
