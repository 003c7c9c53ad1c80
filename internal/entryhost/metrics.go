package entryhost

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/control"
)

// registerState makes gauges of what the host knows.
func registerState(meter metric.Meter, node *control.Node) error {
	gauges := []struct {
		name, help string
		value      func(*control.Snapshot) float64
	}{
		{"control.leading", "1 if this host leads.", func(*control.Snapshot) float64 {
			if node.Leading() {
				return 1
			}
			return 0
		}},
		{"control.config_version", "Version of the configuration in force.", func(s *control.Snapshot) float64 {
			if s.Config == nil {
				return 0
			}
			return float64(s.Config.Version)
		}},
		{"control.config_age_seconds", "Time since the store last confirmed the configuration.", func(s *control.Snapshot) float64 {
			return node.Clock().Sub(s.ConfigAt).Seconds()
		}},
		{"control.servers_age_seconds", "Time since the store last confirmed the list of servers.", func(s *control.Snapshot) float64 {
			return node.Clock().Sub(s.ServersAt).Seconds()
		}},
		{"control.hosts", "Hosts that share the work.", func(s *control.Snapshot) float64 { return float64(s.Hosts) }},
	}
	for _, g := range gauges {
		_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.value(node.View().Load()))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}
