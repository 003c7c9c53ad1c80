// Package routes holds one configuration of the traffic: which service gets a
// request, within which limits, and how often it may be sent.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are safe and have large answers.
	Download
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k != Unsafe }

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	default:
		return "unsafe"
	}
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route sends the requests of one path prefix to services.
type Route struct {
	Name   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	Target time.Duration
	// Attempts is the largest number of servers that may get one request.
	Attempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Backends []Backend
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// KeyOwned is true if each key position has one owning server.
	KeyOwned bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the whole configuration. It is immutable.
type Config struct {
	Version  int64
	Revision int64 // of the store's entry
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// New returns a configuration with the routes of each host name.
func New(version, revision int64, services []Service, limits Limits, hosts map[string][]Route) *Config {
	c := &Config{Version: version, Revision: revision, Limits: limits,
		Services: make(map[string]Service, len(services)), hosts: make(map[string][]*Route, len(hosts))}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for host, list := range hosts {
		sorted := make([]*Route, 0, len(list))
		for _, r := range list {
			sorted = append(sorted, &r)
		}
		slices.SortStableFunc(sorted, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		c.hosts[strings.ToLower(host)] = sorted
	}
	return c
}

// Match returns the route of the host with the longest prefix of path, nil if
// there is none. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	list, ok := c.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		list = c.hosts[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
