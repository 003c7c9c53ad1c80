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
	// refreshInterval is how often the age of the routes is copied from the
	// replicator. It adds to the age of a snapshot.
	refreshInterval = 20 * time.Millisecond
)

// routesService updates the routing table from the leader's topics.
type routesService struct {
	host            *Host
	bus             *peersync.Replicator // set by Start
	table           *routing.Table
	services        []topology.ServiceName
	appliedVersions map[topology.ServiceName]topology.Version
}

func newRoutesService(h *Host) *routesService {
	r := &routesService{host: h, appliedVersions: make(map[topology.ServiceName]topology.Version)}
	var services []routing.Service
	for _, s := range h.settings.Services {
		if !s.DividedByKey {
			continue
		}
		service := routing.Service{Name: s.Name}
		if s.Fencing == settings.FencingUnchecked {
			service.Validity = topology.RouteTableValidity
		}
		services = append(services, service)
		r.services = append(r.services, s.Name)
	}
	r.table = routing.NewTable(services...)
	return r
}

func (r *routesService) Name() string       { return serviceRoutes }
func (r *routesService) Requires() []string { return []string{serviceTopics} }

// Start begins to follow the routes.
func (r *routesService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	r.bus = bus
	registry.Go(r.Name(), r.follow)
	return nil
}

// Stop does nothing.
func (r *routesService) Stop(context.Context) error { return nil }

// hasRoutes reports whether every service that is divided by key has routes.
func (r *routesService) hasRoutes() bool {
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

// update installs newer routes and confirms the age of current ones.
func (r *routesService) update() {
	// The age is read before the topics, so that the routes read afterwards are
	// at least as new as the age indicates.
	age, known := r.bus.LeaderAge()
	for _, name := range r.services {
		topic, ok := r.bus.Get(routesTopicPrefix + string(name))
		if !ok {
			continue
		}
		if topic.Version == r.appliedVersions[name] {
			if known {
				r.table.Confirm(name, topic.Version, age.Since)
			}
			continue
		}
		var table topology.RouteTable
		if err := json.Unmarshal(topic.Payload, &table); err != nil {
			r.host.log.Error("routing: cannot decode routes", zap.String("service", string(name)), zap.Error(err))
			continue
		}
		// A zero time makes the routes of a service with unchecked fencing stale
		// until their age is confirmed.
		if _, err := r.table.Update(table, age.Since); err != nil {
			r.host.log.Error("routing: routes rejected", zap.String("service", string(name)), zap.Error(err))
			continue
		}
		r.appliedVersions[name] = topic.Version
		r.host.log.Debug("routing: routes installed", zap.String("service", string(name)),
			zap.Stringer("version", topic.Version), zap.Int("routes", len(table.Routes)))
	}
}
