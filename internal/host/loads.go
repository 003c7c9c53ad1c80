package host

import (
	"bytes"
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/sketch"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	serviceLoads    = "loads"
	loadTopicPrefix = "load/"
	// loadInterval is how often a host publishes its counts. The planner runs at
	// the same interval.
	loadInterval = time.Second
	// maxLoadPayloadBytes bounds the published counts of one service of one host.
	maxLoadPayloadBytes = 16 << 10
)

// loadsService counts this host's requests by key position and publishes the
// counts.
type loadsService struct {
	host     *Host
	bus      *peersync.Replicator // set by Start
	counters map[topology.ServiceName]*sketch.Counter
	// published holds the payloads that were published last. Unchanged counts,
	// such as those of an idle service, are not published again.
	published map[topology.ServiceName][]byte
}

func newLoadsService(h *Host) *loadsService {
	l := &loadsService{host: h, counters: make(map[topology.ServiceName]*sketch.Counter), published: make(map[topology.ServiceName][]byte)}
	for _, s := range h.settings.Services {
		if s.DividedByKey {
			l.counters[s.Name] = sketch.NewCounter(sketch.DefaultConfig(), time.Now())
		}
	}
	return l
}

func (l *loadsService) Name() string       { return serviceLoads }
func (l *loadsService) Requires() []string { return []string{serviceTopics} }

// Start begins to publish the counts periodically.
func (l *loadsService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	l.bus = bus
	registry.Every(l.Name(), loadInterval, l.publish)
	return nil
}

// Stop does nothing.
func (l *loadsService) Stop(context.Context) error { return nil }

func loadTopic(service topology.ServiceName, host topology.HostName) string {
	return loadTopicPrefix + string(service) + "/" + string(host)
}

func (l *loadsService) publish() {
	now := time.Now()
	for service, counter := range l.counters {
		payload, err := counter.Encode(now, maxLoadPayloadBytes)
		if err != nil {
			l.host.log.Error("placement: cannot encode the load counts", zap.Error(err))
			continue
		}
		if bytes.Equal(payload, l.published[service]) {
			continue
		}
		l.published[service] = payload
		peersync.PublishOwn(l.bus, loadTopic(service, l.host.settings.Host.Name), now, payload)
	}
}

// merged returns the merged counts of all hosts for a service.
func (l *loadsService) merged(service topology.ServiceName) *sketch.View {
	config := sketch.DefaultConfig()
	sum := sketch.New(config)
	for _, topic := range l.bus.List(loadTopic(service, "")) {
		counts, err := sketch.Decode(topic.Payload, config.HalfLife)
		if err != nil {
			l.host.log.Error("placement: cannot decode the load counts of a host",
				zap.String("host", topic.Name[strings.LastIndexByte(topic.Name, '/')+1:]), zap.Error(err))
			continue
		}
		sum.Merge(counts)
	}
	return sum.View()
}

// countingResolver counts each lookup of a served key as one request.
type countingResolver struct {
	routing.Resolver
	loads *loadsService
}

// Owner returns the owner of a key position and counts the request.
func (r countingResolver) Owner(service topology.ServiceName, h topology.Hash) routing.Owner {
	owner := r.Resolver.Owner(service, h)
	if counter := r.loads.counters[service]; counter != nil && owner.State == routing.StateServed {
		counter.Add(h, 1)
	}
	return owner
}
