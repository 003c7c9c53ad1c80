package host

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	routesTopicPrefix = "routes/"
	// refreshInterval is how often the age of the routes is carried over from
	// replication; it adds to the age that a snapshot may have.
	refreshInterval = 20 * time.Millisecond
)

// routesService keeps the routing table up to date with the leader's topics.
type routesService struct {
	host     *Host
	bus      *peersync.Replicator // set by Start
	table    *routing.Table
	services []topology.ServiceName
	applied  map[topology.ServiceName]topology.Version
}

func newRoutesService(h *Host) *routesService {
	r := &routesService{host: h, applied: make(map[topology.ServiceName]topology.Version)}
	var services []routing.Service
	for _, s := range h.settings.Services {
		if !s.DividedByKey {
			continue
		}
		service := routing.Service{Name: s.Name}
		if s.Fencing == settings.FencingUnchecked {
			service.Validity = topology.SnapshotValidity
		}
		services = append(services, service)
		r.services = append(r.services, s.Name)
	}
	r.table = routing.NewTable(services...)
	return r
}

func (r *routesService) Name() string       { return serviceRoutes }
func (r *routesService) Requires() []string { return []string{serviceTopics} }

// Start follows the routes.
func (r *routesService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	r.bus = bus
	registry.Go(r.Name(), r.follow)
	return nil
}

// Stop has nothing to finish.
func (r *routesService) Stop(context.Context) error { return nil }

// known reports whether every service divided by key has routes.
func (r *routesService) known() bool {
	for _, name := range r.services {
		if r.table.Version(name).IsZero() {
			return false
		}
	}
	return true
}

func (r *routesService) follow(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		changed := r.bus.Changed(routesTopicPrefix)
		r.update()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// update installs newer routes and extends the validity of current ones.
func (r *routesService) update() {
	// The age is read before the topics: routes read afterwards are at least
	// as new as it claims.
	age, known := r.bus.LeaderAge()
	for _, name := range r.services {
		topic, ok := r.bus.Get(routesTopicPrefix + string(name))
		if !ok {
			continue
		}
		if topic.Version == r.applied[name] {
			if known {
				r.table.Confirm(name, topic.Version, age.Since)
			}
			continue
		}
		var table topology.RouteTable
		if err := json.Unmarshal(topic.Payload, &table); err != nil {
			r.host.log.Error("routing: routes not decoded", zap.String("service", string(name)), zap.Error(err))
			continue
		}
		// An unset time makes the routes of an unchecked service stale until
		// their age is confirmed.
		if _, err := r.table.Update(table, age.Since); err != nil {
			r.host.log.Error("routing: routes refused", zap.String("service", string(name)), zap.Error(err))
			continue
		}
		r.applied[name] = topic.Version
		r.host.log.Debug("routing: routes installed", zap.String("service", string(name)),
			zap.Stringer("version", topic.Version), zap.Int("routes", len(table.Routes)))
	}
}
