package host

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/proxy"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// A host that shuts down reports not ready and goes on accepting requests
	// for at least readinessDelay and until none has come for quietTime, so
	// that the balancer notices first: what waits in the listener's queue when
	// it is closed is cut off. Callers that never leave are given up after
	// balancerTimeout.
	readinessDelay  = 500 * time.Millisecond
	quietTime       = 250 * time.Millisecond
	balancerTimeout = 5 * time.Second
	// quietInterval is how often the end of the wait is looked for.
	quietInterval = 50 * time.Millisecond
	// hostsInterval is how often the live hosts are counted.
	hostsInterval = time.Second
)

// callersService answers callers.
type callersService struct {
	host      *Host
	admission *admission.Controller
	handler   *proxy.Handler
	server    *http.Server
	draining  atomic.Bool
	arrived   atomic.Int64 // time of the newest request while draining
}

func newCallersService(h *Host) *callersService {
	c := &callersService{host: h}
	c.admission = admission.New(admissionServices(h.settings), h.options.Seed)
	c.handler = proxy.New(proxy.Options{
		Services: proxyServices(h.settings), Resolver: countingResolver{h.routes.table, h.loads},
		Admitter:    eligibleAdmitter{c.admission, h.declare.follower, serverNames(h.settings)},
		Quarantine:  h.suspicions.table,
		Idempotency: idempotency.NewClient(h.keeper, h.keeper.liveHosts),
		Limits:      proxyLimits(h.settings.Limits), Logger: h.log, Metrics: h.requests, Keys: h.restricted, Dial: h.options.Network.Dial,
	})
	return c
}

// serverNames lists the servers of each service.
func serverNames(s *settings.Settings) map[topology.ServiceName][]topology.ServerName {
	out := make(map[topology.ServiceName][]topology.ServerName)
	for _, service := range s.Services {
		for _, server := range service.Servers {
			out[service.Name] = append(out[service.Name], server.Name)
		}
	}
	return out
}

func admissionServices(s *settings.Settings) []admission.ServiceConfig {
	var out []admission.ServiceConfig
	for _, service := range s.Services {
		config := admission.ServiceConfig{Name: service.Name, Slots: service.Slots, AvailabilityZone: s.Host.AvailabilityZone}
		for _, server := range service.Servers {
			config.Servers = append(config.Servers, admission.ServerConfig{Name: server.Name, AvailabilityZone: server.AvailabilityZone})
		}
		out = append(out, config)
	}
	return out
}

func proxyServices(s *settings.Settings) []proxy.Service {
	var out []proxy.Service
	for _, service := range s.Services {
		out = append(out, proxy.Service{
			Name: service.Name, Keyed: service.DividedByKey, KeyHeader: service.KeyHeader,
			CallerHeader: service.CallerHeader, FencingChecked: service.Fencing == settings.FencingChecked,
			Routes: proxyRoutes(service), Servers: service.Servers,
		})
	}
	return out
}

// classes maps the settings' classes to those of admission.
var classes = map[settings.Class]admission.Class{
	settings.ClassBooking:  admission.ClassBooking,
	settings.ClassLookup:   admission.ClassLookup,
	settings.ClassDownload: admission.ClassDownload,
}

// proxyRoutes returns the routes with the longest prefix first, because the
// proxy takes the first that matches. The last route is the settings' default.
func proxyRoutes(service settings.Service) []proxy.Route {
	routes := slices.Clone(service.Routes)
	slices.SortStableFunc(routes, func(a, b settings.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	var out []proxy.Route
	for _, r := range routes {
		path := strings.TrimPrefix(r.PathPrefix, "/"+string(service.Name))
		if path == "/" {
			path = ""
		}
		out = append(out, proxy.Route{
			Methods: r.Methods, Path: path, Class: classes[r.Class],
			Repeatable: r.Repeatable, Timeout: time.Duration(r.Timeout),
		})
	}
	return append(out, proxy.Route{Class: admission.ClassLookup})
}

func proxyLimits(l settings.Limits) proxy.Limits {
	return proxy.Limits{
		DefaultTimeout: time.Duration(l.DefaultTimeout), RequestBytes: int64(l.MaxBody),
		HeaderBytes: int(l.MaxHeader), WaitBytes: int64(l.Buffer),
	}
}

func (c *callersService) Name() string       { return serviceCallers }
func (c *callersService) Requires() []string { return []string{serviceRoutes, serviceDeclarations} }

// Start accepts callers.
func (c *callersService) Start(ctx context.Context, registry *kernel.Registry) error {
	address := c.host.settings.Host.Addresses.Callers
	listener, err := c.host.options.Network.Listen(ctx, address)
	if err != nil {
		return err
	}
	handler := http.Handler(c)
	if wrap := c.host.options.WrapCallers; wrap != nil {
		handler = wrap(handler)
	}
	c.server = c.handler.NewServer()
	c.server.Handler = handler
	registry.Go(c.Name(), func(context.Context) error { return serve(c.server, listener) })
	c.countHosts()
	registry.Every(c.Name(), hostsInterval, c.countHosts)
	c.host.log.Info("proxy: serving callers", zap.String("address", listener.Addr().String()))
	return nil
}

// ServeHTTP refuses requests that this host must not route under old rules.
func (c *callersService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.draining.Load() {
		c.arrived.Store(time.Now().UnixNano())
		// Callers that are told to leave do not send another request on a
		// connection just when the shutdown closes it.
		w.Header().Set("Connection", "close")
	}
	if !c.host.declare.follower.Fresh() {
		apierror.Write(w, "", apierror.New(apierror.KindStaleHost, "this host hears neither the store nor a peer"))
		return
	}
	c.handler.ServeHTTP(w, r)
}

// countHosts tells admission how many hosts share the servers' slots.
func (c *callersService) countHosts() {
	names := c.host.keeper.liveHosts()
	slices.Sort(names)
	c.admission.SetHosts(slices.Index(names, c.host.settings.Host.Name), len(names))
}

// Stop reports not ready, waits for the balancer, ends the requests in flight
// and closes the connections.
func (c *callersService) Stop(ctx context.Context) error {
	c.draining.Store(true)
	c.awaitQuiet(ctx)
	// Shutdown of the server first: it stops accepting and lets requests that
	// are on the way in be answered; the handler then has only running ones.
	err := c.server.Shutdown(ctx)
	if handlerErr := c.handler.Shutdown(ctx); err == nil {
		err = handlerErr
	}
	c.admission.Close()
	return err
}

// awaitQuiet returns when the balancer has stopped sending requests.
func (c *callersService) awaitQuiet(ctx context.Context) {
	begin := time.Now()
	for time.Since(begin) < balancerTimeout {
		if pause.For(ctx, quietInterval) != nil {
			return
		}
		quiet := time.Since(time.Unix(0, c.arrived.Load())) >= quietTime
		if quiet && time.Since(begin) >= readinessDelay {
			return
		}
	}
}
