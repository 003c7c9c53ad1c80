package telemetry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics collects the metrics of one host and exports them to Prometheus.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns a Metrics without instruments.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	return &Metrics{provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)), registry: registry}, nil
}

// Meter returns the meter of a component.
func (m *Metrics) Meter(component string) metric.Meter {
	return m.provider.Meter("cassiasill/" + component)
}

// Handler returns a handler that serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown stops the collection of metrics.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }
