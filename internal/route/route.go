// Package route holds the routing configuration and finds the rule for a request.
//
// A Config is never changed once it is published, so that requests read it without a lock.
//
// # Usage
//
//	config := route.New(7, rules, services, limits)
//	rule := config.Match("yards.example", "/balance/17")
//	if rule != nil {
//		service := rule.Targets[0].Service
//	}
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Target is a service that a rule sends requests to, with its share.
type Target struct {
	Service assign.ServiceID
	// Weight is the target's share of the requests, relative to the other targets of the rule.
	Weight int
}

// Rule says where requests of one host and path prefix go.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports that a request may run more than once.
	Idempotent bool
	// Objective is the time within which an answer earns its full value.
	Objective time.Duration
	// Timeout is the longest time that a request is kept waiting, 0 for no bound.
	Timeout time.Duration
	// Attempts is the largest number of servers that may run one request, at least 1.
	Attempts int
	// Priority ranks the rule; 0 is the most urgent.
	Priority int
	// Targets is not empty.
	Targets []Target
}

// Service is what the configuration says of a service.
type Service struct {
	ID         assign.ServiceID
	HealthPath string
	// Connections is the largest number of connections that one server accepts from all callers.
	Connections int
	// Partitioned reports that each key of the service has one owning server.
	Partitioned bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the longest time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be unused.
	IdleTimeout time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Services map[assign.ServiceID]Service
	Limits   Limits
	// hosts has the rules of each host, those with the longest prefix first.
	hosts map[string][]*Rule
}

// New returns a Config with the rules.
func New(version uint64, rules []*Rule, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[assign.ServiceID]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]*Rule{},
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range rules {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the rule of the host whose prefix is the longest that begins the path, nil where
// there is none. A port in the host is ignored.
func (c *Config) Match(host, path string) *Rule {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
