// Package proxy forwards callers' requests to upstreams. It classifies failed
// attempts by how much of the request the upstream can have received, retries
// only requests that were provably not executed or are repeatable, and never
// passes on a truncated response as complete.
package proxy

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Service is the configuration of one service.
type Service struct {
	Name topology.ServiceName
	// HasKeyOwners is set if the service is divided by key: the resolver then names the
	// only server that may execute a request.
	HasKeyOwners bool
	// KeyHeader names the header that holds the key; if empty, the key is the
	// path segment after the service.
	KeyHeader string
	// CallerHeader names the header that identifies the caller; if empty or
	// absent from a request, the caller is the address of the connection.
	CallerHeader string
	// FencingChecked is set if the servers check fencing tokens.
	FencingChecked bool
	// Routes are matched in order; the first match applies.
	Routes  []Route
	Servers []topology.Server
}

// Route sets the properties of the requests that it matches.
type Route struct {
	// Methods limits the route to these methods; empty matches all.
	Methods []string
	// PathPrefix is a prefix of the path after the service (and the key, if the key
	// is in the path), starting with a slash; empty matches all.
	PathPrefix string
	Class      admission.Class
	// Repeatable is set if executing a request twice does no harm.
	Repeatable bool
	// Timeout applies to requests that set none; zero means
	// Limits.DefaultTimeout.
	Timeout time.Duration
}

// Limits bounds the resources that one host uses for requests. Zero fields get
// default values.
type Limits struct {
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration
	// DefaultTimeout is the timeout of a route that sets none.
	DefaultTimeout time.Duration
	// OwnerWaitTimeout bounds how long a request waits for an owner.
	OwnerWaitTimeout time.Duration
	// MaxWaitingBytes bounds the memory of the requests that wait for an owner.
	MaxWaitingBytes int64
	// MaxReplayBodyBytes is the largest request body that is buffered for retries.
	MaxReplayBodyBytes int64
	// MaxBufferedBytes bounds the memory of all buffered request bodies.
	MaxBufferedBytes int64
	// MaxBodyBytes is the largest request body; longer ones are rejected.
	MaxBodyBytes int64
	// MaxHeaderBytes and MaxHeaderFields bound the headers of a request.
	MaxHeaderBytes  int
	MaxHeaderFields int
	// MaxResponseHeaderBytes bounds the headers of a response.
	MaxResponseHeaderBytes int64
	// StallTimeout is how long the transfer of a body in either direction may make
	// no progress.
	StallTimeout time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection to an upstream stays open. It
	// should be shorter than the upstream's own idle timeout: a request sent on
	// a connection that the upstream closes at that moment has an unknown
	// outcome.
	IdleTimeout time.Duration
	// MaxConnsPerUpstream bounds this host's connections to one upstream, which
	// accepts about 120 from up to 12 hosts.
	MaxConnsPerUpstream int
	// MaxAttempts bounds the number of attempts for one request.
	MaxAttempts int
}

// WithDefaults returns l with its zero fields set to their defaults.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.MaxTimeout, 30*time.Second)
	setDefault(&l.DefaultTimeout, 10*time.Second)
	setDefault(&l.OwnerWaitTimeout, 3*time.Second)
	setDefault(&l.MaxWaitingBytes, 16<<20)
	setDefault(&l.MaxReplayBodyBytes, 64<<10)
	setDefault(&l.MaxBufferedBytes, 64<<20)
	setDefault(&l.MaxBodyBytes, 64<<20)
	setDefault(&l.MaxHeaderBytes, 32<<10)
	setDefault(&l.MaxHeaderFields, 100)
	setDefault(&l.MaxResponseHeaderBytes, 64<<10)
	setDefault(&l.StallTimeout, 10*time.Second)
	setDefault(&l.DialTimeout, 500*time.Millisecond)
	setDefault(&l.IdleTimeout, 20*time.Second)
	setDefault(&l.MaxConnsPerUpstream, 10)
	setDefault(&l.MaxAttempts, 6)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Metrics receives the handler's measurements. Its methods must not block.
type Metrics interface {
	// CountAttempt reports one attempt to send a request.
	CountAttempt(service topology.ServiceName, server topology.ServerName, seen AttemptResult, latency time.Duration)
	// CountRequest reports one finished request; kind is empty if an upstream's
	// response was passed on.
	CountRequest(service topology.ServiceName, class admission.Class, status int, kind apierror.Kind, latency time.Duration)
	// SetWaiting reports the number of requests that wait for an owner.
	SetWaiting(service topology.ServiceName, requests int64)
}

// KeyObserver receives the keys in use. Its method must not block.
type KeyObserver interface {
	ObserveKey(service topology.ServiceName, key string, position topology.Hash)
}

type noMetrics struct{}

func (noMetrics) CountAttempt(topology.ServiceName, topology.ServerName, AttemptResult, time.Duration) {
}
func (noMetrics) CountRequest(topology.ServiceName, admission.Class, int, apierror.Kind, time.Duration) {
}
func (noMetrics) SetWaiting(topology.ServiceName, int64) {}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Handler. Services, Resolver and Admitter are required.
type Options struct {
	Services []Service
	Resolver routing.Resolver
	Admitter admission.Admitter
	// Quarantine and Idempotency are optional; if nil, their checks are disabled.
	Quarantine  *quarantine.Table
	Idempotency *idempotency.Client
	Limits      Limits
	Logger      *zap.Logger
	Metrics     Metrics
	// KeyObserver, if not nil, receives the key of each request to a keyed service.
	KeyObserver KeyObserver
	// Dial, if not nil, replaces net.Dialer, for example to simulate latency
	// between zones.
	Dial DialFunc
}
