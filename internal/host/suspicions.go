package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const serviceSuspicions = "suspicions"

// suspicionsService exchanges with the peers the fingerprints of requests that
// crash upstreams.
type suspicionsService struct {
	host  *Host
	bus   *peersync.Replicator // set by Start
	table *quarantine.Table
}

func newSuspicionsService(h *Host) *suspicionsService {
	return &suspicionsService{host: h, table: quarantine.New(topology.NextTerm(0, time.Now()), 0)}
}

func (s *suspicionsService) Name() string       { return serviceSuspicions }
func (s *suspicionsService) Requires() []string { return []string{serviceTopics} }

// Start begins to exchange entries.
func (s *suspicionsService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	s.bus = bus
	registry.Go(s.Name(), func(ctx context.Context) error {
		s.table.SyncWithPeers(ctx, s.host.settings.Host.Name, s.bus, func(err error) {
			s.host.log.Error("quarantine: cannot exchange entries with peers", zap.Error(err))
		})
		return nil
	})
	return nil
}

// Stop does nothing.
func (s *suspicionsService) Stop(context.Context) error { return nil }
