package host

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	serviceHealth     = "health"
	healthTopicPrefix = "health/"
	// healthInterval is short enough that two polls and the replication of
	// their result fit into the 3 s after which a leaving upstream must get no
	// new requests.
	healthInterval = 700 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
	// maxHealthBytes bounds the body of a response, which is a few numbers.
	maxHealthBytes = 64 << 10
	// healthRefresh is how often an unchanged report is published again for
	// hosts that missed it.
	healthRefresh = time.Minute
	// pollersPerServer is the number of hosts that poll one server, however many
	// hosts there are. With two, the loss of one host leaves one poller.
	pollersPerServer = 2
	// healthConcurrency bounds the polls in flight.
	healthConcurrency = 32
)

// serverHealth is the response of an upstream's load endpoint.
type serverHealth struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
}

// healthReport holds the health of the servers that one host polls.
type healthReport map[topology.ServiceName]map[topology.ServerName]serverHealth

// healthService polls the load endpoints of a share of the servers, publishes the
// results and applies the results of all hosts. The endpoints may lag or be
// wrong, so the results only mark servers as leaving and serve as input for the
// load policy, which gives its own observations more weight.
type healthService struct {
	host   *Host
	bus    *peersync.Replicator // set by Start
	client *http.Client
}

func newHealthService(h *Host) *healthService {
	return &healthService{host: h, client: &http.Client{Transport: h.transport(), Timeout: healthTimeout}}
}

func (s *healthService) Name() string       { return serviceHealth }
func (s *healthService) Requires() []string { return []string{serviceTopics, serviceDeclarations} }

// Start begins to poll servers and to apply reports.
func (s *healthService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	s.bus = bus
	registry.Go(s.Name(), s.poll)
	registry.Go(s.Name(), s.apply)
	return nil
}

// Stop does nothing.
func (s *healthService) Stop(context.Context) error { return nil }

func (s *healthService) poll(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var last []byte
	var publishedAt time.Time
	for {
		payload, err := json.Marshal(s.pollServers(ctx))
		if err != nil {
			return err
		}
		if !bytes.Equal(payload, last) || time.Since(publishedAt) >= healthRefresh {
			last, publishedAt = payload, time.Now()
			topic := healthTopicPrefix + string(s.host.settings.Host.Name)
			peersync.PublishOwn(s.bus, topic, publishedAt, payload)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollServers polls this host's share of the servers once.
func (s *healthService) pollServers(ctx context.Context) healthReport {
	hosts := s.host.claims.liveHosts()
	report := make(healthReport)
	var mu sync.Mutex
	workers := pool.New().WithMaxGoroutines(healthConcurrency)
	for _, service := range s.host.settings.Services {
		for _, server := range service.Servers {
			if !slices.Contains(pollers(hosts, server.Name), s.host.settings.Host.Name) {
				continue
			}
			workers.Go(func() {
				health, err := s.fetchHealth(ctx, server)
				if err != nil {
					return // requests show more reliably than a poll whether the server works
				}
				mu.Lock()
				defer mu.Unlock()
				if report[server.Service] == nil {
					report[server.Service] = make(map[topology.ServerName]serverHealth)
				}
				report[server.Service][server.Name] = health
			})
		}
	}
	workers.Wait()
	return report
}

// pollers returns the hosts that poll a server, chosen by rendezvous hashing.
func pollers(hosts []topology.HostName, server topology.ServerName) []topology.HostName {
	ranked := slices.Clone(hosts)
	score := func(h topology.HostName) uint64 {
		return xxhash.Sum64String("health/" + string(server) + "/" + string(h))
	}
	slices.SortFunc(ranked, func(a, b topology.HostName) int { return cmp.Compare(score(b), score(a)) })
	return ranked[:min(len(ranked), pollersPerServer)]
}

func (s *healthService) fetchHealth(ctx context.Context, server topology.Server) (serverHealth, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+"/load", nil)
	if err != nil {
		return serverHealth{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return serverHealth{}, err
	}
	defer response.Body.Close()
	var health serverHealth
	err = json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health)
	return health, err
}

// apply applies the published reports and the declarations whenever they change.
func (s *healthService) apply(ctx context.Context) error {
	seen := make(map[string]receivedReport)
	for {
		topics := s.bus.Changed(healthTopicPrefix)
		declared := s.host.declarations.follower.Changed()
		s.applyOnce(seen)
		select {
		case <-ctx.Done():
			return nil
		case <-topics:
		case <-declared:
		}
	}
}

// receivedReport records when the newest report of a host arrived.
type receivedReport struct {
	version topology.Version
	at      time.Time
}

func (s *healthService) applyOnce(seen map[string]receivedReport) {
	now := time.Now()
	leaving := make(map[topology.ServerName]bool)
	hosts := s.host.claims.liveHosts()
	for _, topic := range s.bus.List(healthTopicPrefix) {
		if seen[topic.Name].version != topic.Version {
			seen[topic.Name] = receivedReport{topic.Version, now}
		}
		from := topology.HostName(strings.TrimPrefix(topic.Name, healthTopicPrefix))
		var report healthReport
		if err := json.Unmarshal(topic.Payload, &report); err != nil {
			s.host.log.Error("health: cannot decode the report of a host", zap.String("from", string(from)), zap.Error(err))
			continue
		}
		for service, servers := range report {
			for name, health := range servers {
				// Only reports of the current pollers count: the report of a
				// host that was lost or no longer polls the server is stale.
				if !slices.Contains(pollers(hosts, name), from) {
					continue
				}
				leaving[name] = leaving[name] || health.Leaving
				s.host.callers.admission.ObserveLoad(service, admission.LoadReport{
					Server: name, InFlight: float64(health.Running + health.Queued), Age: now.Sub(seen[topic.Name].at),
				})
			}
		}
	}
	s.setStates(leaving)
}

// setStates marks leaving upstreams. Servers that own keys are not marked: they
// serve their keys until the ownership service has moved them, which starts at
// once.
func (s *healthService) setStates(leaving map[topology.ServerName]bool) {
	set := s.host.declarations.follower.Current()
	for _, service := range s.host.settings.Services {
		if service.DividedByKey {
			continue
		}
		for _, server := range service.Servers {
			state := admission.ServerReady
			if leaving[server.Name] || set.Drained(service.Name, server.Name) {
				state = admission.ServerLeaving
			}
			s.host.callers.admission.SetState(service.Name, server.Name, state)
		}
	}
}
