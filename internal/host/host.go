package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/hostlist"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/gateway"
	"github.com/cassiasill/cassiasill/internal/telemetry"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// stopTimeout bounds how long each service may take to stop; the longest is the
// end of the requests in flight.
const stopTimeout = 30 * time.Second

// Options configure a Host.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	// Network replaces the machine's network if not nil.
	Network network.Network
	// Store replaces the store that the settings name if not nil.
	Store store.Store
	// Seed makes random choices repeatable; zero draws one.
	Seed uint64
	// WrapCallers wraps the handler of the callers' address if not nil.
	WrapCallers func(http.Handler) http.Handler
}

// Host is one entry host.
type Host struct {
	options    Options
	settings   *settings.Settings
	log        *zap.Logger
	kernel     *kernel.Kernel
	metrics    *telemetry.Metrics
	requests   *requestMetrics
	topics     *topicsService
	leader     *leadershipService
	loads      *loadsService
	owner      *ownershipService
	declare    *declarationsService
	routes     *routesService
	keeper     *keeper
	suspicions *suspicionsService
	health     *healthService
	restricted *restrictedService
	callers    *callersService
	admin      *adminService
}

// New assembles a host; Run starts it.
func New(options Options) (*Host, error) {
	if options.Network == nil {
		options.Network = network.OS{}
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	s := options.Settings
	h := &Host{
		options: options, settings: s, metrics: metrics,
		log: options.Log.With(zap.String("host", string(s.Host.Name))),
	}
	if options.Store == nil {
		h.options.Store = gateway.New(&http.Client{Transport: h.transport()}, time.Duration(s.Store.Timeout), s.Store.Endpoints...)
	}
	if h.requests, err = newRequestMetrics(metrics.Meter("proxy")); err != nil {
		return nil, err
	}
	h.keeper = newKeeper(h)
	if h.topics, err = newTopicsService(h); err != nil {
		return nil, err
	}
	h.leader = newLeadershipService(h)
	h.loads = newLoadsService(h)
	h.owner = newOwnershipService(h)
	h.declare = newDeclarationsService(h)
	h.routes = newRoutesService(h)
	h.suspicions = newSuspicionsService(h)
	h.health = newHealthService(h)
	h.restricted = newRestrictedService(h)
	h.callers = newCallersService(h)
	h.admin = newAdminService(h)
	if err := h.registerState(metrics.Meter("host")); err != nil {
		return nil, err
	}
	// The callers' service is last: it stops first, while the admin address
	// still answers that the host is not ready.
	h.kernel = kernel.New(h.log, stopTimeout, h.topics, h.leader, h.loads, h.owner, h.declare,
		h.routes, h.suspicions, h.health, h.restricted, h.admin, h.callers)
	return h, nil
}

// Run starts the host and returns when ctx ends and it has stopped, or when a
// service failed. The onReady function is called when all have started.
func (h *Host) Run(ctx context.Context, onReady func()) error { return h.kernel.Run(ctx, onReady) }

// Ready reports whether the host should get requests from the balancer, and if
// not, why.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.callers.draining.Load():
		return false, "shutting down"
	case !h.declare.follower.Fresh():
		return false, "neither the store nor a peer confirms the declarations"
	case !h.routes.known():
		return false, "no routes yet"
	}
	return true, ""
}

// self returns this host as others see it.
func (h *Host) self() topology.Host {
	s := h.settings.Host
	return topology.Host{Name: s.Name, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.Addresses.Peer}
}

// isRelay reports whether this host is a relay of its availability zone.
func (h *Host) isRelay() bool {
	return peersync.IsRelay(append(h.topics.replicator.Live(), h.self()), h.self())
}

// lister returns the list of hosts.
func (h *Host) lister() hostlist.Lister { return hostlist.Static(h.settings.Hosts) }

// transport returns an HTTP transport over the host's network.
func (h *Host) transport() *http.Transport {
	return &http.Transport{
		DialContext:         h.options.Network.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
}

// random returns a source that is different for each purpose.
func (h *Host) random(purpose uint64) rand.Source { return rand.NewPCG(h.options.Seed, purpose) }
