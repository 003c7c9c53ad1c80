package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// latencyBucketSeconds are the bucket bounds of the latency histograms.
var latencyBucketSeconds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5}

// Metrics are the instruments of the request path.
type Metrics struct {
	requests          metric.Int64Counter
	results           metric.Int64Counter
	latency           metric.Float64Histogram
	attempts          metric.Int64Counter
	attemptLatency    metric.Float64Histogram
	connectionsOpened metric.Int64Counter
	invalidRateLimits metric.Int64Counter
	departures        metric.Int64Counter
	lateSends         metric.Int64Counter
	departureLag      metric.Float64Histogram
	readAhead         metric.Int64Counter
	startedAhead      metric.Int64Counter
	canceledAhead     metric.Int64Counter
	pipelineDepth     metric.Int64Histogram
}

// NewMetrics creates the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	var err error
	counter := func(name, help string) metric.Int64Counter {
		c, cerr := meter.Int64Counter(name, metric.WithDescription(help))
		if cerr != nil {
			err = cerr
		}
		return c
	}
	histogram := func(name, help string) metric.Float64Histogram {
		h, herr := meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBucketSeconds...))
		if herr != nil {
			err = herr
		}
		return h
	}
	m.requests = counter("entry.requests", "Requests accepted on a route.")
	m.results = counter("entry.results", "Requests by how they ended.")
	m.latency = histogram("entry.latency", "Time from a request's arrival to its end.")
	m.attempts = counter("entry.tries", "Requests sent to servers by how that ended.")
	m.attemptLatency = histogram("entry.try_latency", "Time from sending to the end of a try.")
	m.connectionsOpened = counter("entry.connections_opened", "Connections opened to servers.")
	m.invalidRateLimits = counter("ratelimit.invalid", "Responses with an invalid rate limit, which was ignored.")
	m.departures = counter("entry.departures", "Requests whose callers left, by the stage in which they were.")
	m.lateSends = counter("entry.late_sends", "Requests sent to a server although their callers had left.")
	m.departureLag = histogram("entry.departure_lag", "Longest possible time from the end of a caller's connection to that of its request at the server.")
	m.readAhead = counter("entry.read_ahead", "Complete requests without a body that were read while another was served.")
	m.startedAhead = counter("entry.started_ahead", "Requests that were started before their turn.")
	m.canceledAhead = counter("entry.canceled_ahead", "Requests started before their turn whose turn never came.")
	var derr error
	m.pipelineDepth, derr = meter.Int64Histogram("entry.pipeline_depth", metric.WithDescription("Requests of a connection in progress when one is started before its turn."),
		metric.WithExplicitBucketBoundaries(2, 4, 8, 12, 16, 32, 64))
	return m, errors.Join(err, derr)
}

func (m *Metrics) countReadAhead() { m.readAhead.Add(context.Background(), 1) }

// recordStart counts a request that is started before its turn, with the number of its
// connection's requests in progress.
func (m *Metrics) recordStart(depth int) {
	m.startedAhead.Add(context.Background(), 1)
	m.pipelineDepth.Record(context.Background(), int64(depth))
}

func (m *Metrics) countCanceledAhead() { m.canceledAhead.Add(context.Background(), 1) }

// recordDeparture counts a caller that left. Unseen is the time since it was last
// known to be there, which bounds how long a server has worked on.
func (m *Metrics) recordDeparture(s stage, unseen time.Duration) {
	m.departures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("stage", string(s))))
	if s.occupiesServer() {
		m.departureLag.Record(context.Background(), unseen.Seconds())
	}
}

func (m *Metrics) countLateSend() { m.lateSends.Add(context.Background(), 1) }

func (m *Metrics) countRequest(route *routes.Route) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(routeAttribute(route)))
}

func (m *Metrics) recordResult(route *routes.Route, result string, latency time.Duration) {
	attributes := metric.WithAttributes(routeAttribute(route), attribute.String("result", result))
	m.results.Add(context.Background(), 1, attributes)
	m.latency.Record(context.Background(), latency.Seconds(), metric.WithAttributes(routeAttribute(route)))
}

func (m *Metrics) recordAttempt(result exchange.Result, took time.Duration) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", result.Outcome.String())))
	m.attemptLatency.Record(context.Background(), took.Seconds())
}

// CountConnection counts a new connection to a server.
func (m *Metrics) CountConnection() { m.connectionsOpened.Add(context.Background(), 1) }

func (m *Metrics) countInvalidRateLimit() { m.invalidRateLimits.Add(context.Background(), 1) }

// routeAttribute labels a series by the kind of the route. Route names change
// with each configuration and would make the number of series grow without bound.
func routeAttribute(route *routes.Route) attribute.KeyValue {
	if route == nil {
		return attribute.String("kind", "none")
	}
	return attribute.String("kind", route.Kind.String())
}
