package host

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const serviceSuspicions = "suspicions"

// suspicionsService exchanges with the peers which requests crash upstreams.
type suspicionsService struct {
	host  *Host
	table *quarantine.Table
}

func newSuspicionsService(h *Host) *suspicionsService {
	return &suspicionsService{host: h, table: quarantine.New(topology.NextTerm(0, time.Now()), 0)}
}

func (s *suspicionsService) Name() string       { return serviceSuspicions }
func (s *suspicionsService) Requires() []string { return []string{serviceTopics} }

// Start exchanges entries.
func (s *suspicionsService) Start(_ context.Context, registry *kernel.Registry) error {
	registry.Go(s.Name(), s.export)
	registry.Go(s.Name(), s.learn)
	return nil
}

// Stop has nothing to finish.
func (s *suspicionsService) Stop(context.Context) error { return nil }

// export publishes this host's entries at each change.
func (s *suspicionsService) export(ctx context.Context) error {
	topic := quarantine.TopicPrefix + string(s.host.settings.Host.Name)
	for {
		changed := s.table.Changed()
		version, payload, err := s.table.Export(time.Now())
		if err != nil {
			s.host.log.Error("quarantine: entries not encoded", zap.Error(err))
		} else {
			s.host.topics.replicator.Publish(peersync.Topic{Name: topic, Version: version, Payload: payload})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// learn takes over the peers' entries.
func (s *suspicionsService) learn(ctx context.Context) error {
	replicator := s.host.topics.replicator
	for {
		changed := replicator.Changed(quarantine.TopicPrefix)
		for _, topic := range replicator.List(quarantine.TopicPrefix) {
			name := topology.HostName(strings.TrimPrefix(topic.Name, quarantine.TopicPrefix))
			if name == s.host.settings.Host.Name {
				continue
			}
			if err := s.table.Import(name, topic.Version, topic.Payload, time.Now()); err != nil {
				s.host.log.Error("quarantine: a peer's entries not taken over", zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
