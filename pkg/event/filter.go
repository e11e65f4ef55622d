package event

import (
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

var namespace = errorx.NewNamespace("event")

// WrongFilter is the type of errors for filters that cannot be parsed. The message names the filter and
// says how to correct it.
var WrongFilter = namespace.NewType("wrong-filter")

// FilterNames lists the names of the filters that ParseFilters accepts, for flags and query
// parameters.
var FilterNames = []string{"key", "key-hash", "service", "server", "process", "kind", "from", "to"}

// ParseFilters parses the filters that an operator wrote. The function text returns the value of the
// filter with the given name, or "" if it is not set. The filters are:
//
//   - key: a key; selects events whose span covers its hash
//   - key-hash: the same for a hash, written as up to 16 hex digits
//   - service, server, process: a name
//   - kind: names of kinds, separated by commas
//   - from, to: times in RFC 3339; from is inclusive, to is exclusive
//
// The error is of type WrongFilter and names the filter.
func ParseFilters(text func(name string) string) ([]Filter, error) {
	var filters []Filter
	for _, name := range FilterNames {
		value := text(name)
		if value == "" {
			continue
		}
		f, err := parseFilter(name, value)
		if err != nil {
			return nil, err
		}
		filters = append(filters, f)
	}
	return filters, nil
}

func parseFilter(name, value string) (Filter, error) {
	switch name {
	case "key":
		return ByKey(assign.Hash(value)), nil
	case "key-hash":
		return parseHash(value)
	case "service":
		return ByService(assign.ServiceID(value)), nil
	case "server":
		return ByServer(assign.ServerID(value)), nil
	case "process":
		return ByProcess(assign.ProcessID(value)), nil
	case "kind":
		return parseKinds(value)
	default:
		return parseBound(name, value)
	}
}

func parseHash(value string) (Filter, error) {
	hash, err := strconv.ParseUint(value, 16, 64)
	if err != nil {
		return nil, WrongFilter.New("key-hash: %q is not a hash; write up to 16 hex digits", value)
	}
	return ByKey(hash), nil
}

func parseKinds(value string) (Filter, error) {
	var kinds []Kind
	for name := range strings.SplitSeq(value, ",") {
		k, err := KindString(strings.TrimSpace(name))
		if err != nil {
			return nil, WrongFilter.New("kind: %q is no kind of event; use %s", name, strings.Join(KindStrings(), ", "))
		}
		kinds = append(kinds, k)
	}
	return ByKinds(kinds...), nil
}

func parseBound(name, value string) (Filter, error) {
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return nil, WrongFilter.New("%s: %q is not a time; write it as 2026-01-31T15:04:05Z", name, value)
	}
	if name == "from" {
		return Between(t, time.Time{}), nil
	}
	return Between(time.Time{}, t), nil
}
