package entryhost

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/detour"
	"github.com/cassiasill/cassiasill/internal/entry"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/telemetry"
)

// Metrics are the instruments of one host.
type Metrics struct {
	*telemetry.Metrics
	entry        *entry.Metrics
	storeCalls   metric.Int64Counter
	linesOmitted metric.Int64Counter
	usedDetours  metric.Int64Counter
	// servedDetours counts the connections that this host opened for others.
	servedDetours metric.Int64Counter
}

// NewMetrics creates the instruments of a host.
func NewMetrics() (*Metrics, error) {
	set, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	m := &Metrics{Metrics: set}
	if m.entry, err = entry.NewMetrics(set.Meter("entry")); err != nil {
		return nil, err
	}
	if m.storeCalls, err = set.Meter("control").Int64Counter("control.store_calls", metric.WithDescription("Calls to the store by kind and result.")); err != nil {
		return nil, err
	}
	if m.usedDetours, err = set.Meter("detour").Int64Counter("detour.used", metric.WithDescription("Connections to servers by way of other hosts.")); err != nil {
		return nil, err
	}
	if m.servedDetours, err = set.Meter("detour").Int64Counter("detour.served", metric.WithDescription("Connections to servers for other hosts.")); err != nil {
		return nil, err
	}
	m.linesOmitted, err = set.Meter("log").Int64Counter("log.lines_omitted", metric.WithDescription("Log lines left out because their message came too often."))
	return m, err
}

// CountStoreCall counts a call to the store.
func (m *Metrics) CountStoreCall(call string, err error) {
	result := "ok"
	var storeErr *store.Error
	switch {
	case errors.As(err, &storeErr):
		result = storeErr.Kind.String()
	case err != nil:
		result = "failed"
	}
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

func (m *Metrics) countUsedDetour() { m.usedDetours.Add(context.Background(), 1) }

func (m *Metrics) countServedDetour() { m.servedDetours.Add(context.Background(), 1) }

// registerReachGauges registers gauges of a cut from the servers.
func registerReachGauges(meter metric.Meter, reach *detour.Tracker) error {
	_, err := meter.Float64ObservableGauge("detour.cut_seconds", metric.WithDescription("Time since this host is cut off from all servers; 0 if it is not."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			seconds := 0.0
			if since, _ := reach.CutSince(); !since.IsZero() {
				seconds = time.Since(since).Seconds()
			}
			o.Observe(seconds)
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("detour.servers_failed", metric.WithDescription("Servers that this host could not reach since it last reached one."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			_, failed := reach.CutSince()
			o.Observe(float64(failed))
			return nil
		}))
	return err
}

// CountOmittedLine counts a log line that the rate limit dropped.
func (m *Metrics) CountOmittedLine() { m.linesOmitted.Add(context.Background(), 1) }

// registerRateLimitGauges registers gauges of the limits that servers announce. They
// cover only limits in force, so the number of series is bounded.
func registerRateLimitGauges(meter metric.Meter, table *ratelimit.Table) error {
	gauges := []struct {
		name, description string
		value             func(ratelimit.Status) float64
	}{
		{"ratelimit.limit", "Requests per second that the server accepts from all hosts together.", func(s ratelimit.Status) float64 { return s.Rate }},
		{"ratelimit.in_force_seconds", "Time since the server first announced a limit.", func(s ratelimit.Status) float64 { return table.Now().Sub(s.Since).Seconds() }},
		{"ratelimit.allowed", "Requests that this host was allowed to send to the server since then.", func(s ratelimit.Status) float64 { return float64(s.Allowed) }},
		{"ratelimit.sent", "Requests that this host sent to the server since then.", func(s ratelimit.Status) float64 { return float64(s.Sent) }},
	}
	for _, g := range gauges {
		_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				for _, s := range table.Statuses() {
					o.Observe(g.value(s), metric.WithAttributes(attribute.String("server", s.ID), attribute.String("service", s.Service)))
				}
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// registerGauges registers gauges of the host's snapshot and leadership.
func registerGauges(meter metric.Meter, node *control.Node) error {
	gauges := []struct {
		name, description string
		value             func(*control.Snapshot) float64
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
			return node.Clock().Sub(s.ConfigConfirmedAt).Seconds()
		}},
		{"control.servers_age_seconds", "Time since the store last confirmed the list of servers.", func(s *control.Snapshot) float64 {
			return node.Clock().Sub(s.ServersConfirmedAt).Seconds()
		}},
		{"control.store_era", "Latest era of the store; it rises when the store is restored from an older copy.", func(*control.Snapshot) float64 {
			return float64(node.StoreEra())
		}},
		{"control.invalid_entries", "Entries of servers and operators that this host has read last and can't decode.", func(*control.Snapshot) float64 {
			return float64(len(node.InvalidEntries()))
		}},
		{"control.evacuated_zones", "Evacuated availability zones that this host knows.", func(s *control.Snapshot) float64 {
			return float64(len(s.Evacuations.Zones()))
		}},
		{"control.evacuations_age_seconds", "Time since the store last confirmed the evacuated zones.", func(s *control.Snapshot) float64 {
			return node.Clock().Sub(s.EvacuationsConfirmedAt).Seconds()
		}},
		{"control.hosts", "Hosts that share the work.", func(s *control.Snapshot) float64 { return float64(s.HostCount) }},
	}
	for _, g := range gauges {
		_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.value(node.View().Load()))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	if err := registerZoneGauges(meter, node); err != nil {
		return err
	}
	_, err := meter.Int64ObservableCounter("control.misdirected_calls", metric.WithDescription("Grants and releases withheld because who was at the server's address was not proven to be the server."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(node.MisdirectedCalls())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("control.invalid_entry", metric.WithDescription("1 for each of the first entries that this host can't decode."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			keys := node.InvalidEntries()
			for _, key := range keys[:min(len(keys), maxNamedEntries)] {
				o.Observe(1, metric.WithAttributes(attribute.String("key", key)))
			}
			return nil
		}))
	return err
}

// registerZoneGauges registers gauges of each evacuated zone, whose number is bounded.
func registerZoneGauges(meter metric.Meter, node *control.Node) error {
	gauges := []struct {
		name, description string
		value             func(s *control.Snapshot, zone string) float64
	}{
		{"control.evacuation_seconds", "Time since this host learned of the evacuation of the zone.", func(s *control.Snapshot, zone string) float64 {
			state, _ := s.Evacuations.Get(zone)
			return node.Clock().Sub(state.KnownSince).Seconds()
		}},
		{"control.evacuated_servers_with_keys", "Servers of the evacuated zone that still hold keys.", func(s *control.Snapshot, zone string) float64 {
			return float64(s.EvacuatedServersWithKeys(zone))
		}},
	}
	for _, g := range gauges {
		_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				snapshot := node.View().Load()
				for _, zone := range snapshot.Evacuations.Zones() {
					o.Observe(g.value(snapshot, zone), metric.WithAttributes(attribute.String("zone", zone)))
				}
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// maxNamedEntries bounds the invalid entries that are named in the metrics.
const maxNamedEntries = 20
