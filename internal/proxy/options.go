// Package proxy forwards callers' requests to upstreams. It tells apart what an
// upstream can have seen of a failed request, retries only what is provably not
// executed or may be repeated, and never passes a broken answer as whole.
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

// Service describes one service as the settings give it.
type Service struct {
	Name topology.ServiceName
	// Keyed is set for a service divided by key: the resolver names the only
	// server that may run a request.
	Keyed bool
	// KeyHeader names the header that holds the key; if empty, the key is the
	// path segment after the service.
	KeyHeader string
	// CallerHeader names the header that identifies the caller; if empty or
	// absent from a request, the caller is the address of the connection.
	CallerHeader string
	// FencingChecked is set if the servers check fencing tokens.
	FencingChecked bool
	// Routes are matched in order.
	Routes  []Route
	Servers []topology.Server
}

// Route gives the properties of the requests that it matches.
type Route struct {
	// Methods limits the route to these methods; empty matches all.
	Methods []string
	// Path is a prefix of the path after the service (and the key, if the key
	// is in the path), starting with a slash; empty matches all.
	Path  string
	Class admission.Class
	// Repeatable is set if running a request twice does no harm.
	Repeatable bool
	// Timeout is the deadline of requests that state none; zero takes the
	// default of the limits.
	Timeout time.Duration
}

// Limits bound what one host spends on requests. Zero fields take defaults.
type Limits struct {
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout time.Duration
	// DefaultTimeout is the deadline of a route that gives none.
	DefaultTimeout time.Duration
	// WaitTime bounds how long a request waits for an owner.
	WaitTime time.Duration
	// WaitBytes bounds the memory of the requests that wait for an owner.
	WaitBytes int64
	// BodyBytes is the largest request body that is buffered for retries.
	BodyBytes int64
	// BufferBytes bounds the memory of all buffered request bodies.
	BufferBytes int64
	// RequestBytes is the largest request body; longer ones are refused.
	RequestBytes int64
	// HeaderBytes and HeaderFields bound the headers of a request.
	HeaderBytes  int
	HeaderFields int
	// AnswerHeaderBytes bounds the headers of an answer.
	AnswerHeaderBytes int64
	// StallTime is how long a body may make no progress in either direction.
	StallTime time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes unused connections to upstreams. It should be below
	// that of the upstreams: a request sent on a connection that the upstream
	// closes at that moment has an unknown outcome.
	IdleTimeout time.Duration
	// Connections bounds this host's connections to one upstream, which
	// accepts about 120 from up to 12 hosts.
	Connections int
	// Attempts bounds how often one request is sent.
	Attempts int
}

// Defaults returns l with its zero fields set.
func (l Limits) Defaults() Limits {
	set(&l.MaxTimeout, 30*time.Second)
	set(&l.DefaultTimeout, 10*time.Second)
	set(&l.WaitTime, 3*time.Second)
	set(&l.WaitBytes, 16<<20)
	set(&l.BodyBytes, 64<<10)
	set(&l.BufferBytes, 64<<20)
	set(&l.RequestBytes, 64<<20)
	set(&l.HeaderBytes, 32<<10)
	set(&l.HeaderFields, 100)
	set(&l.AnswerHeaderBytes, 64<<10)
	set(&l.StallTime, 10*time.Second)
	set(&l.DialTimeout, 500*time.Millisecond)
	set(&l.IdleTimeout, 20*time.Second)
	set(&l.Connections, 10)
	set(&l.Attempts, 6)
	return l
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Metrics receives what the handler measures. Its methods must not block.
type Metrics interface {
	// Attempt reports one attempt to send a request.
	Attempt(service topology.ServiceName, server topology.ServerName, seen Seen, latency time.Duration)
	// Request reports one finished request; kind is empty if the upstream's
	// answer was passed on.
	Request(service topology.ServiceName, class admission.Class, status int, kind apierror.Kind, latency time.Duration)
	// Waiting reports how many requests wait for an owner.
	Waiting(service topology.ServiceName, requests int64)
}

// KeyObserver learns which keys are in use. Its method must not block.
type KeyObserver interface {
	Key(service topology.ServiceName, key string, position topology.Hash)
}

type noMetrics struct{}

func (noMetrics) Attempt(topology.ServiceName, topology.ServerName, Seen, time.Duration) {}
func (noMetrics) Request(topology.ServiceName, admission.Class, int, apierror.Kind, time.Duration) {
}
func (noMetrics) Waiting(topology.ServiceName, int64) {}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Handler. Services, Resolver and Admitter are required.
type Options struct {
	Services []Service
	Resolver routing.Resolver
	Admitter admission.Admitter
	// Quarantine and Idempotency switch their checks off if nil.
	Quarantine  *quarantine.Table
	Idempotency *idempotency.Client
	Limits      Limits
	Logger      *zap.Logger
	Metrics     Metrics
	// Keys learns the key of each request to a keyed service, if not nil.
	Keys KeyObserver
	// Dial replaces the dialer, for simulated latency between zones.
	Dial DialFunc
}
