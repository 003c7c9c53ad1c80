package entryhost

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/connlimit"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/detour"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/entry"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/placing"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/telemetry"
)

// controlService runs the host's control node and serves the calls of other hosts.
type controlService struct {
	options Options
	node    *control.Node
	detours *detour.Server
	server  *connlimit.Server
}

func newControlService(options Options, limits *ratelimit.Table) *controlService {
	return &controlService{options: options, node: control.NewNode(control.Options{
		Host: options.Name, Address: options.PeerAddress, DispatchAddress: options.DispatchAddress, Capacity: options.CapacityCores,
		Seeds: options.Seeds, Store: options.Store, Schema: options.Schema, GrantClient: options.GrantClient,
		Reports: control.NewReports(), RateLimits: limits, PeerClient: exchange.NewClient(options.Dial), CutOff: options.Reach.IsCut, EvacuationLimit: options.EvacuationLimit, Clock: options.Clock, Log: options.Log,
	})}
}

func (s *controlService) Name() string       { return nameControl }
func (s *controlService) Requires() []string { return nil }

// Node returns the host's control node to the services that look it up.
func (s *controlService) Node() *control.Node { return s.node }

func (s *controlService) Start(ctx context.Context, registry *kernel.Registry) error {
	listener, err := s.options.Listen(ctx, s.options.PeerAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(fleetpbconnect.NewFleetServiceHandler(s.node))
	s.detours = detour.NewServer(s.options.Reach, s.options.Dial, s.isServer, s.options.Metrics.countServedDetour, s.options.Log.Named("detour"))
	mux.Handle(detour.Path, s.detours)
	s.server = s.options.boundPeers(mux)
	registry.Go(nameControl+" server", func(context.Context) error { return s.server.Serve(listener, nil) })
	registry.Go(nameControl, s.node.Run)
	return nil
}

// isServer reports whether a listed server that takes new requests has the address.
func (s *controlService) isServer(address string) bool {
	return s.node.View().Load().TakesNewRequestsAt(address)
}

// BeginStop makes the host resign if it leads, and asks other hosts to leave the connections
// that it carries for them.
func (s *controlService) BeginStop() {
	s.node.Retire()
	s.detours.Stop()
}

// Stop waits for the connections that the host carries for others, which a former service's
// stop has left, and ends the calls of other hosts.
func (s *controlService) Stop(ctx context.Context) error {
	_ = s.detours.Shutdown(ctx) // has logged what it had to abort, which is no failure of the process
	return s.server.Close()
}

// controlProvider is the part of controlService that entryService uses.
type controlProvider interface {
	Node() *control.Node
	BeginStop()
}

// dispatchService chooses servers for requests: for this host's own, and for those
// of all hosts to the services that the leader assigned to this host.
type dispatchService struct {
	options        Options
	local, central *dispatch.Dispatcher
	placer         *placing.Placer
	limits         *ratelimit.Table
}

func newDispatchService(options Options, limits *ratelimit.Table) *dispatchService {
	local, central := dispatch.NewDispatcher(), dispatch.NewDispatcher()
	s := &dispatchService{options: options, local: local, central: central, limits: limits,
		placer: placing.NewPlacer(options.DispatchAddress, options.Dial, local, central, limits)}
	central.OnWarmup(s.logWarmup)
	return s
}

func (s *dispatchService) Name() string       { return nameDispatch }
func (s *dispatchService) Requires() []string { return nil }

// Placement returns the placer and the dispatchers to the services that look them
// up.
func (s *dispatchService) Placement() (placer *placing.Placer, local, central *dispatch.Dispatcher) {
	return s.placer, s.local, s.central
}

func (s *dispatchService) Start(ctx context.Context, registry *kernel.Registry) error {
	listener, err := s.options.Listen(ctx, s.options.DispatchAddress)
	if err != nil {
		return err
	}
	listener = connlimit.Counted(listener, s.options.MaxPeerConns, s.options.countPeerLimit)
	registry.Go(nameDispatch+" local", s.local.Run)
	registry.Go(nameDispatch+" central", s.central.Run)
	server := placing.NewServer(s.central, s.limits)
	registry.Go(nameDispatch+" server", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	return nil
}

func (s *dispatchService) Stop(context.Context) error {
	s.placer.Close()
	return nil
}

// placementProvider is the part of dispatchService that entryService uses.
type placementProvider interface {
	Placement() (placer *placing.Placer, local, central *dispatch.Dispatcher)
}

// entryService accepts and forwards callers' requests.
type entryService struct {
	options Options
	metrics *entry.Metrics
	budget  *entry.RetryBudget
	memory  *membudget.Budget
	limits  *ratelimit.Table
	// controls and node are set by Start.
	controls controlProvider
	node     *control.Node
	servers  *registry.List // the list last passed to limits
	// reachList is the list last passed to the judgement about a cut.
	reachList *registry.List
	server    *entry.Server
	dialer    *detour.Dialer
	stopping  atomic.Bool
}

func (s *entryService) Name() string       { return nameEntry }
func (s *entryService) Requires() []string { return []string{nameControl, nameDispatch, nameAdmin} }

func (s *entryService) Start(ctx context.Context, registry *kernel.Registry) error {
	controls, err := kernel.Lookup[controlProvider](registry, nameControl)
	if err != nil {
		return err
	}
	dispatchers, err := kernel.Lookup[placementProvider](registry, nameDispatch)
	if err != nil {
		return err
	}
	placer, local, central := dispatchers.Placement()
	admin, err := kernel.Lookup[interface{ SetReady(func() bool) }](registry, nameAdmin)
	if err != nil {
		return err
	}
	s.controls, s.node = controls, controls.Node()
	s.dialer = detour.NewDialer(s.options.Reach, s.options.Dial, s.node.DetourPeers, s.options.Metrics.countUsedDetour)
	pools := entry.NewServerPools(&s.options.HeaderNames, s.dialer.Dial, local, central, s.metrics.CountConnection, s.options.Clock)
	if s.memory != nil {
		pools.SetBudget(s.memory)
	}
	s.options.Reach.OnChange(func(cut bool, failed int) {
		s.logCut(cut, failed)
		pools.CloseIdleConns()
	})
	s.node.View().OnChange(func(snapshot *control.Snapshot) {
		if snapshot.Servers != nil {
			s.updateReach(snapshot.Servers)
		}
		s.budget.SetHosts(snapshot.HostCount)
		s.updateRateLimits(snapshot)
		pools.Update(snapshot)
		placer.SetDispatchers(snapshot.Dispatchers)
	})
	handler := entry.NewHandler(entry.Options{AvailabilityZone: s.options.AvailabilityZone, HeaderNames: s.options.HeaderNames,
		View: s.node.View(), Reports: s.node.Reports, Placer: placer, ServerPools: pools,
		RetryBudget: s.budget, RateLimits: s.limits, Reach: s.options.Reach, Metrics: s.metrics, Log: s.options.Log,
		PipelineDepth: s.options.PipelineDepth, ReadAheadBudget: s.memory, Budget: s.memory, CallerLimits: s.options.Callers.Limits, Limits: s.options.limitEvents})
	s.server = entry.NewServer(handler, s.options.Callers.MaxConns)
	if err := registerCallerGauges(s.options.Metrics.Meter("entry"), s.memory, s.server.ConnCount); err != nil {
		return err
	}
	listener, err := s.options.Listen(ctx, s.options.CallersAddress)
	if err != nil {
		return err
	}
	if err := s.options.Callers.setBuffers(listener); err != nil {
		return err
	}
	registry.Go(nameEntry, func(context.Context) error { return s.server.Serve(listener) })
	registry.Every(nameEntry+" sweep", time.Second, func() {
		now := time.Now()
		pools.CloseExpiredConns(now)
		s.server.CloseExpiredConns(now)
		s.node.StopUsingLeavingServers()
	})
	admin.SetReady(s.ready)
	return nil
}

// updateReach tells the judgement about a cut which servers should be reachable.
func (s *entryService) updateReach(list *registry.List) {
	if list == s.reachList {
		return
	}
	s.reachList = list
	addresses := make(map[string]bool, len(list.Servers))
	for _, server := range list.Servers {
		if !server.Draining {
			addresses[server.Address] = true
		}
	}
	s.options.Reach.SetAddresses(addresses)
}

// logCut logs the beginning or the end of a cut from the servers.
func (s *entryService) logCut(cut bool, failed int) {
	log := s.options.Log.Named("detour")
	if cut {
		log.Warn("detour: cut off from all servers, requests go by other hosts", zap.Int("servers_failed", failed), zap.Int("peers", len(s.node.DetourPeers())))
		return
	}
	log.Info("detour: servers are reached again", zap.Int("servers_failed", failed))
}

// updateRateLimits drops the rate limits of servers that have left or restarted.
func (s *entryService) updateRateLimits(snapshot *control.Snapshot) {
	if snapshot.Servers == nil || snapshot.Servers == s.servers {
		return
	}
	s.servers = snapshot.Servers
	s.limits.SetServers(func(id string) (int64, bool) {
		server, listed := s.servers.Servers[id]
		return server.Incarnation, listed
	})
}

// ready reports whether the load balancer should send requests to this host.
func (s *entryService) ready() bool { return !s.stopping.Load() && s.node.View().Load().CanRoute() }

func (s *entryService) Stop(ctx context.Context) error {
	s.options.Log.Info("entry: stopping")
	s.stopping.Store(true)
	s.controls.BeginStop()
	defer s.dialer.Wait()
	return s.server.Shutdown(ctx)
}

// adminService serves the load balancer's readiness probe and the metrics.
type adminService struct {
	options Options
	metrics *telemetry.Metrics
	ready   atomic.Pointer[func() bool]
	servers []*connlimit.Server
}

func (s *adminService) Name() string       { return nameAdmin }
func (s *adminService) Requires() []string { return nil }

// SetReady sets the function that reports whether the host is ready.
func (s *adminService) SetReady(ready func() bool) { s.ready.Store(&ready) }

func (s *adminService) Start(ctx context.Context, registry *kernel.Registry) error {
	readiness := httprouter.New()
	readiness.GET(s.options.ReadinessPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if ready := s.ready.Load(); ready == nil || !(*ready)() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := httprouter.New()
	metrics.Handler(http.MethodGet, "/metrics", s.metrics.Handler())
	for address, handler := range map[string]http.Handler{s.options.ReadinessAddress: readiness, s.options.MetricsAddress: metrics} {
		listener, err := s.options.Listen(ctx, address)
		if err != nil && address == s.options.MetricsAddress {
			s.options.Log.Warn("admin: metrics are not served", zap.String("address", address), zap.Error(err))
			continue
		}
		if err != nil {
			return err
		}
		server := s.options.boundAdmin(handler)
		s.servers = append(s.servers, server)
		registry.Go(nameAdmin, func(context.Context) error { return server.Serve(listener, nil) })
	}
	return nil
}

func (s *adminService) Stop(ctx context.Context) error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	if err := s.metrics.Shutdown(ctx); err != nil {
		s.options.Log.Debug("admin: metrics not shut down", zap.Error(err))
	}
	return errors.Join(errs...)
}
