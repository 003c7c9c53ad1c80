package host

import (
	"context"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/settings"
)

// declarationsService follows and writes the operators' declarations.
type declarationsService struct {
	host     *Host
	follower *configsync.Follower
	writer   *configsync.Writer
}

func newDeclarationsService(h *Host) *declarationsService {
	d := &declarationsService{host: h}
	inventory := inventoryOf(h.settings)
	// Only the relays of each availability zone watch the store, so that the
	// number of watches does not grow with the number of hosts.
	d.follower = configsync.NewFollower(configsync.FollowerConfig{
		Host: h.settings.Host.Name, Store: h.options.Store, Bus: h.topics.replicator, Inventory: inventory,
		Watching: h.isRelay, PeerHeard: h.topics.replicator.LastContact, Log: h.log,
	})
	d.writer = configsync.NewWriter(h.options.Store, inventory, d.follower.Install, h.log)
	return d
}

// inventoryOf lists the services and servers that declarations may name.
func inventoryOf(s *settings.Settings) declaration.Inventory {
	var out declaration.Inventory
	for _, service := range s.Services {
		out.Services = append(out.Services, declaration.Service{Name: service.Name, Partitioned: service.DividedByKey, Servers: service.Servers})
	}
	return out
}

func (d *declarationsService) Name() string       { return serviceDeclarations }
func (d *declarationsService) Requires() []string { return []string{serviceTopics} }

// Start follows the store and the peers.
func (d *declarationsService) Start(_ context.Context, registry *kernel.Registry) error {
	registry.Go(d.Name(), d.follower.Run)
	registry.Go(d.Name(), d.writer.Run)
	return nil
}

// Stop does nothing: an accepted change is already in the store.
func (d *declarationsService) Stop(context.Context) error { return nil }
