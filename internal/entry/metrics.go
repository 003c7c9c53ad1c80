package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// latencyBuckets are the bounds of latency histograms in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5}

// Metrics are the instruments of the request path.
type Metrics struct {
	requests    metric.Int64Counter
	results     metric.Int64Counter
	latency     metric.Float64Histogram
	tries       metric.Int64Counter
	tryLatency  metric.Float64Histogram
	connections metric.Int64Counter
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
		h, herr := meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if herr != nil {
			err = herr
		}
		return h
	}
	m.requests = counter("entry.requests", "Requests accepted on a route.")
	m.results = counter("entry.results", "Requests by how they ended.")
	m.latency = histogram("entry.latency", "Time from a request's arrival to its end.")
	m.tries = counter("entry.tries", "Requests sent to servers by how that ended.")
	m.tryLatency = histogram("entry.try_latency", "Time from sending to the end of a try.")
	m.connections = counter("entry.connections_opened", "Connections opened to servers.")
	return m, err
}

func (m *Metrics) began(route *routes.Route) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(routeAttribute(route)))
}

func (m *Metrics) ended(route *routes.Route, result string, after time.Duration) {
	attributes := metric.WithAttributes(routeAttribute(route), attribute.String("result", result))
	m.results.Add(context.Background(), 1, attributes)
	m.latency.Record(context.Background(), after.Seconds(), metric.WithAttributes(routeAttribute(route)))
}

func (m *Metrics) tried(result exchange.Result, took time.Duration) {
	m.tries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", result.Outcome.String())))
	m.tryLatency.Record(context.Background(), took.Seconds())
}

// ConnectionOpened counts a new connection to a server.
func (m *Metrics) ConnectionOpened() { m.connections.Add(context.Background(), 1) }

// routeAttribute labels by kind and priority: route names change with each
// configuration and would make the number of series grow without bound.
func routeAttribute(route *routes.Route) attribute.KeyValue {
	if route == nil {
		return attribute.String("kind", "none")
	}
	return attribute.String("kind", route.Kind.String())
}
