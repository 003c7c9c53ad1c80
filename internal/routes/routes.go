// Package routes holds one version of the routing configuration: which service gets
// a request, within which limits, and how many attempts a request may have.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RequestKind classifies requests by whether they may be repeated.
type RequestKind uint8

// The kinds of requests.
const (
	// Unsafe requests must be executed at most once.
	Unsafe RequestKind = iota
	// Safe requests may be executed more than once.
	Safe
	// Download requests are safe and have large responses.
	Download
)

// Repeatable reports whether a request of the kind may be executed more than once.
func (k RequestKind) Repeatable() bool { return k != Unsafe }

// String returns the name of the kind in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	default:
		return "unsafe"
	}
}

// Backend is one service of a route and its share of the route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route directs requests with a path prefix to services.
type Route struct {
	Name   string
	Prefix string
	Kind   RequestKind
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Target is the time within which a response is of full use to the caller.
	Target time.Duration
	// MaxAttempts is the largest number of servers that one request may be sent to.
	MaxAttempts int
	// Priority ranks the requests of routes; 0 is the most urgent.
	Priority int
	Backends []Backend
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// HasKeyOwners is true if each key position is owned by one server.
	HasKeyOwners bool
	// HealthPath is the path at which its servers name themselves.
	HealthPath string
	// Warmup is what its servers bear while they are cold.
	Warmup Warmup
}

// Warmup describes the cold servers of a service: they are slow and fail under a rate
// that warm ones bear. The zero value sets no limit.
type Warmup struct {
	// Duration is the longest time that a server is cold; 0 if unknown.
	Duration time.Duration
	// Rate is how many requests per second of all hosts a cold server bears in the
	// long run; 0 if there is no limit.
	Rate float64
	// MaxPerSecond is how many requests of all hosts it bears in any one second.
	MaxPerSecond float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the routing configuration. It is immutable.
type Config struct {
	Version          int64
	Revision         int64 // of the entry in the store
	Services         map[string]Service
	Limits           Limits
	routesByHostname map[string][]*Route // by lowercase hostname, longest prefix first
}

// IsNewerThan reports whether c replaces the other configuration, which may be
// nil. Operators only raise the version, so it also orders configurations of
// which the store has lost some. Of two with the same version, the one written
// later is newer.
func (c *Config) IsNewerThan(other *Config) bool {
	return other == nil || c.Version > other.Version || c.Version == other.Version && c.Revision > other.Revision
}

// NewConfig returns a configuration with the given routes by hostname.
func NewConfig(version, revision int64, services []Service, limits Limits, routesByHostname map[string][]Route) *Config {
	c := &Config{Version: version, Revision: revision, Limits: limits,
		Services: make(map[string]Service, len(services)), routesByHostname: make(map[string][]*Route, len(routesByHostname))}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for hostname, list := range routesByHostname {
		sorted := make([]*Route, 0, len(list))
		for _, r := range list {
			sorted = append(sorted, &r)
		}
		slices.SortStableFunc(sorted, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		c.routesByHostname[strings.ToLower(hostname)] = sorted
	}
	return c
}

// Match returns the route of the hostname with the longest prefix that matches
// path, nil if there is none. A port in hostname is ignored.
func (c *Config) Match(hostname, path string) *Route {
	list, ok := c.routesByHostname[hostname]
	if !ok {
		if i := strings.LastIndexByte(hostname, ':'); i >= 0 {
			hostname = hostname[:i]
		}
		list = c.routesByHostname[strings.ToLower(hostname)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
