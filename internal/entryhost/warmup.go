package entryhost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/dispatch"
)

// logWarmup logs a server's turn to cold or to warm if this host dispatches its service.
func (s *dispatchService) logWarmup(t dispatch.WarmupTransition) {
	if !s.placer.Dispatches(t.Service) {
		return
	}
	log := s.options.Log.Named("dispatch").With(zap.String("server", t.Server), zap.String("service", t.Service), zap.Float64("rate", t.Rate))
	if t.Cold {
		log.Info("dispatch: server is cold, its requests are paced")
		return
	}
	log.Info("dispatch: server is warm", zap.Int64("sent_while_cold", t.Sent))
}

// registerWarmupMetrics registers a gauge of the cold servers and counters of the requests
// that concern them, as chosen by this host for itself and for all hosts.
func registerWarmupMetrics(meter metric.Meter, local, central *dispatch.Dispatcher) error {
	_, err := meter.Int64ObservableGauge("dispatch.cold_servers", metric.WithDescription("Servers whose requests are paced because they are cold."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(central.WarmupCounts().Cold)
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("dispatch.cold_requests", metric.WithDescription("Requests for cold servers: sent, those of them that were queued before, and rejected because of the pace."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for chooser, d := range map[string]*dispatch.Dispatcher{"local": local, "dispatcher": central} {
				counts := d.WarmupCounts()
				for result, count := range map[string]int64{"sent": counts.Sent, "delayed": counts.Delayed, "rejected": counts.Rejected} {
					o.Observe(count, metric.WithAttributes(attribute.String("by", chooser), attribute.String("result", result)))
				}
			}
			return nil
		}))
	return err
}
