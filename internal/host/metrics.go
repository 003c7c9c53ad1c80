package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/proxy"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// latencyBuckets are in seconds. The goal is a p99 of 10 ms, so that value is a
// bound and has bounds on both sides.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// requestMetrics implements proxy.Metrics.
type requestMetrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	latency  metric.Float64Histogram
	waiting  metric.Int64Gauge

	// options caches the attributes of each combination of labels. Their number
	// is bounded by the numbers of services, servers, kinds and classes.
	options sync.Map
}

var _ proxy.Metrics = (*requestMetrics)(nil)

func newRequestMetrics(meter metric.Meter) (*requestMetrics, error) {
	requests, err1 := meter.Int64Counter("cassiasill.requests", metric.WithDescription("Finished requests of callers"))
	attempts, err2 := meter.Int64Counter("cassiasill.attempts", metric.WithDescription("Attempts to send a request to an upstream, by what the upstream can have seen"))
	latency, err3 := meter.Float64Histogram("cassiasill.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its end"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	waiting, err4 := meter.Int64Gauge("cassiasill.requests.waiting", metric.WithDescription("Requests that wait for an owner"))
	return &requestMetrics{requests: requests, attempts: attempts, latency: latency, waiting: waiting},
		errors.Join(err1, err2, err3, err4)
}

// attemptKey and requestKey are the keys of cached attributes.
type attemptKey struct {
	service topology.ServiceName
	server  topology.ServerName
	seen    proxy.AttemptResult
}

type requestKey struct {
	service topology.ServiceName
	class   admission.Class
	kind    apierror.Kind
}

// cachedAttributes returns the attributes for key, which it creates only once.
func (m *requestMetrics) cachedAttributes(key any, attributes func() []attribute.KeyValue) metric.MeasurementOption {
	if option, ok := m.options.Load(key); ok {
		return option.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes()...))
	m.options.Store(key, option)
	return option
}

// CountAttempt counts one attempt.
func (m *requestMetrics) CountAttempt(service topology.ServiceName, server topology.ServerName, seen proxy.AttemptResult, _ time.Duration) {
	m.attempts.Add(context.Background(), 1, m.cachedAttributes(attemptKey{service, server, seen}, func() []attribute.KeyValue {
		return []attribute.KeyValue{
			attribute.String("service", string(service)), attribute.String("server", string(server)),
			attribute.String("seen", seen.String()),
		}
	}))
}

// CountRequest counts one finished request.
func (m *requestMetrics) CountRequest(service topology.ServiceName, class admission.Class, _ int, kind apierror.Kind, latency time.Duration) {
	option := m.cachedAttributes(requestKey{service, class, kind}, func() []attribute.KeyValue {
		return []attribute.KeyValue{
			attribute.String("service", string(service)), attribute.String("class", class.String()),
			attribute.String("kind", string(kind)),
		}
	})
	m.requests.Add(context.Background(), 1, option)
	m.latency.Record(context.Background(), latency.Seconds(), option)
}

// SetWaiting records the number of requests that wait for an owner.
func (m *requestMetrics) SetWaiting(service topology.ServiceName, requests int64) {
	m.waiting.Record(context.Background(), requests, m.cachedAttributes(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String("service", string(service))}
	}))
}

// registerState registers gauges that read the state of the services when metrics
// are collected.
func (h *Host) registerState(meter metric.Meter) error {
	leading, err1 := meter.Int64ObservableGauge("cassiasill.leading", metric.WithDescription("1 while this host is the leader"))
	ready, err2 := meter.Int64ObservableGauge("cassiasill.ready", metric.WithDescription("1 while this host should get requests"))
	revision, err3 := meter.Int64ObservableGauge("cassiasill.declarations.revision", metric.WithDescription("Revision of the declarations in force"))
	unheld, err4 := meter.Int64ObservableGauge("cassiasill.ranges.unheld", metric.WithDescription("Ranges without an owner, as the leader knows them"))
	moving, err5 := meter.Int64ObservableGauge("cassiasill.moves", metric.WithDescription("Moves in progress, as the leader knows them"))
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		_, _, leads := h.leadership.elector.LeaderLease(time.Now())
		o.ObserveInt64(leading, boolToInt(leads))
		ok, _ := h.Ready()
		o.ObserveInt64(ready, boolToInt(ok))
		o.ObserveInt64(revision, int64(h.declarations.follower.Current().Revision()))
		for _, s := range h.ownership.controller.Status() {
			service := metric.WithAttributes(attribute.String("service", string(s.Service)))
			o.ObserveInt64(unheld, int64(len(s.Unheld)), service)
			o.ObserveInt64(moving, int64(len(s.Moves)), service)
		}
		return nil
	}, leading, ready, revision, unheld, moving)
	return err
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
