package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/headers"
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

// stopTimeout bounds the time that all services together may take to stop; finishing the
// requests in flight takes longest.
const stopTimeout = 30 * time.Second

// Options configures a Host.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	// Network, if not nil, replaces the network of the operating system.
	Network network.Network
	// Store, if not nil, replaces the store that the settings name.
	Store store.Store
	// Seed seeds random choices so that they can be reproduced; zero means a
	// random seed.
	Seed uint64
	// WrapCallers, if not nil, wraps the handler of the callers' address.
	WrapCallers func(http.Handler) http.Handler
}

// Host is one entry host.
type Host struct {
	options        Options
	settings       *settings.Settings
	log            *zap.Logger
	kernel         *kernel.Kernel
	metrics        *telemetry.Metrics
	requestMetrics *requestMetrics
	topics         *topicsService
	leadership     *leadershipService
	loads          *loadsService
	ownership      *ownershipService
	declarations   *declarationsService
	routes         *routesService
	claims         *claimReserver
	suspicions     *suspicionsService
	health         *healthService
	restricted     *restrictedService
	callers        *callersService
	admin          *adminService
}

// New assembles a host without starting it.
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
	if h.requestMetrics, err = newRequestMetrics(metrics.Meter("proxy")); err != nil {
		return nil, err
	}
	h.claims = newClaimReserver(h)
	if h.topics, err = newTopicsService(h); err != nil {
		return nil, err
	}
	h.leadership = newLeadershipService(h)
	h.loads = newLoadsService(h)
	h.ownership = newOwnershipService(h)
	h.declarations = newDeclarationsService(h)
	h.routes = newRoutesService(h)
	h.suspicions = newSuspicionsService(h)
	h.health = newHealthService(h)
	h.restricted = newRestrictedService(h)
	h.callers = newCallersService(h)
	h.admin = newAdminService(h)
	if err := h.registerState(metrics.Meter("host")); err != nil {
		return nil, err
	}
	// Services stop in reverse order. The callers' service stops first, while the
	// admin address still reports that the host is not ready.
	h.kernel = kernel.New(h.log, stopTimeout, h.topics, h.leadership, h.loads, h.ownership, h.declarations,
		h.routes, h.suspicions, h.health, h.restricted, h.admin, h.callers)
	return h, nil
}

// Run starts the host. It returns when ctx is done and the host has stopped, or
// when a service fails. It calls onReady when all services have started.
func (h *Host) Run(ctx context.Context, onReady func()) error { return h.kernel.Run(ctx, onReady) }

// Ready reports whether the load balancer should send requests to the host, and if
// not, the reason.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.callers.draining.Load():
		return false, "shutting down"
	case !h.declarations.follower.Fresh():
		return false, "neither the store nor a peer confirms the declarations"
	case !h.routes.hasRoutes():
		return false, "no routes yet"
	}
	return true, ""
}

// self returns the description of this host for other hosts.
func (h *Host) self() topology.Host {
	s := h.settings.Host
	return topology.Host{Name: s.Name, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.Addresses.Peer}
}

// isRelay reports whether this host is a relay of its availability zone.
func (h *Host) isRelay() bool {
	return peersync.IsRelay(append(h.topics.replicator.Live(), h.self()), h.self())
}

// lister returns a lister of the configured hosts.
func (h *Host) lister() hostlist.Lister { return hostlist.Static(h.settings.Hosts) }

// transport returns an HTTP transport over the host's network.
func (h *Host) transport() http.RoundTripper {
	return headers.CheckResponses(&http.Transport{
		DialContext:            h.options.Network.Dial,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
	})
}

// random returns a random source that differs for each purpose.
func (h *Host) random(purpose uint64) rand.Source { return rand.NewPCG(h.options.Seed, purpose) }
