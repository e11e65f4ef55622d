// Package route holds the routing configuration and finds the rule for a request.
//
// A Config must not be changed after it is published, because requests read it without a lock.
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

// Target is a service that a rule sends requests to, with its weight.
type Target struct {
	Service assign.ServiceID
	// Weight is the target's share of the requests, relative to the other targets of the rule.
	Weight int
}

// Rule says how requests with one host and path prefix are routed.
type Rule struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Idempotent reports that the requests are idempotent: each may run more than once.
	Idempotent bool
	// Objective is the target latency: the time within which a response has its full value.
	Objective time.Duration
	// Timeout bounds the time that a request may take, 0 for no bound.
	Timeout time.Duration
	// Attempts is the largest number of attempts that servers may have run, at least 1. Refused attempts do
	// not count.
	Attempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Targets are the services that share the requests, at least one.
	Targets []Target
}

// Service is the configuration of a service.
type Service struct {
	ID         assign.ServiceID
	HealthPath string
	// Connections is the largest number of connections that one server accepts in total.
	Connections int
	// Partitioned reports that each key of the service has one owning server.
	Partitioned bool
	// WarmUp is how long a server is cold after it starts. While it is cold, it tolerates WarmUpRate requests per second
	// from all processes together, 0 for no bound.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Limits bound the size and the duration of requests from callers.
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
	// hosts holds the rules of each lower-case host name, ordered from the longest prefix to the shortest.
	hosts map[string][]*Rule
}

// New returns a Config with the given rules, services and limits.
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

// Match returns the rule of the host with the longest prefix of the path, nil if no rule matches. It ignores
// the case and the port of the host.
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
