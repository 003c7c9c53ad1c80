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
	"github.com/cassiasill/cassiasill/internal/connlimit"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/proxy"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// A host that shuts down reports not ready and continues to accept requests
	// for at least readinessDelay and until none has arrived for quietDuration,
	// so that the load balancer notices first: closing the listener drops the
	// connections in its accept queue. The host waits at most balancerTimeout
	// for callers that keep sending requests.
	readinessDelay  = 500 * time.Millisecond
	quietDuration   = 250 * time.Millisecond
	balancerTimeout = 5 * time.Second
	// quietCheckInterval is how often the host checks whether requests have
	// stopped arriving.
	quietCheckInterval = 50 * time.Millisecond
	// hostCountInterval is how often the live hosts are counted.
	hostCountInterval = time.Second
)

// callersService serves the requests of callers.
type callersService struct {
	host        *Host
	admission   *admission.Controller
	handler     *proxy.Handler
	server      *connlimit.Server
	draining    atomic.Bool
	lastArrival atomic.Int64 // Unix nanoseconds of the newest request while draining
}

func newCallersService(h *Host) *callersService {
	c := &callersService{host: h}
	c.admission = admission.New(admissionServices(h.settings), h.options.Seed)
	c.handler = proxy.New(proxy.Options{
		Services: proxyServices(h.settings), Resolver: countingResolver{h.routes.table, h.loads},
		Admitter:    eligibleAdmitter{c.admission, h.declarations.follower, serverNames(h.settings)},
		Quarantine:  h.suspicions.table,
		Idempotency: idempotency.NewClient(h.claims, h.claims.liveHosts),
		Limits:      proxyLimits(h.settings.Limits), Logger: h.log, Metrics: h.requestMetrics, KeyObserver: h.restricted, Dial: h.options.Network.Dial,
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
			Name: service.Name, HasKeyOwners: service.DividedByKey, KeyHeader: service.KeyHeader,
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

// proxyRoutes returns the routes with the longest prefix first because the proxy
// uses the first match. The last route is the default of the settings.
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
			Methods: r.Methods, PathPrefix: path, Class: classes[r.Class],
			Repeatable: r.Repeatable, Timeout: time.Duration(r.Timeout),
		})
	}
	return append(out, proxy.Route{Class: admission.ClassLookup})
}

func proxyLimits(l settings.Limits) proxy.Limits {
	return proxy.Limits{
		DefaultTimeout: time.Duration(l.DefaultTimeout), MaxBodyBytes: int64(l.MaxBody),
		MaxHeaderBytes: int(l.MaxHeader), MaxWaitingBytes: int64(l.Buffer),
	}
}

func (c *callersService) Name() string       { return serviceCallers }
func (c *callersService) Requires() []string { return []string{serviceRoutes, serviceDeclarations} }

// Start begins to serve callers.
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
	server := c.handler.NewServer()
	server.Handler = handler
	c.server = connlimit.NewServer(server, 0, func(bool) {})
	registry.Go(c.Name(), func(context.Context) error { return c.server.Serve(listener, nil) })
	c.updateHostCount()
	registry.Every(c.Name(), hostCountInterval, c.updateHostCount)
	c.host.log.Info("proxy: serving callers", zap.String("address", listener.Addr().String()))
	return nil
}

// ServeHTTP rejects requests while the declarations of this host are stale, and
// passes all others to the proxy.
func (c *callersService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.draining.Load() {
		c.lastArrival.Store(time.Now().UnixNano())
		// Closing the connection after the response keeps a caller from sending
		// another request just when the shutdown closes the connection.
		w.Header().Set("Connection", "close")
	}
	if !c.host.declarations.follower.Fresh() {
		apierror.Write(w, "", apierror.New(apierror.KindStaleHost, "this host hears neither the store nor a peer"))
		return
	}
	c.handler.ServeHTTP(w, r)
}

// updateHostCount tells admission the number of hosts that share the servers'
// slots and the rank of this host among them.
func (c *callersService) updateHostCount() {
	names := c.host.claims.liveHosts()
	slices.Sort(names)
	c.admission.SetHosts(slices.Index(names, c.host.settings.Host.Name), len(names))
}

// Stop reports not ready, waits until the load balancer sends no more requests,
// finishes the requests in flight and closes the connections.
func (c *callersService) Stop(ctx context.Context) error {
	c.draining.Store(true)
	c.awaitQuiet(ctx)
	// The server is shut down first: it stops accepting connections and finishes
	// requests that have already arrived. The handler then waits only for
	// running requests.
	err := c.server.Shutdown(ctx)
	if handlerErr := c.handler.Shutdown(ctx); err == nil {
		err = handlerErr
	}
	c.admission.Close()
	return err
}

// awaitQuiet returns when the load balancer has stopped sending requests.
func (c *callersService) awaitQuiet(ctx context.Context) {
	begin := time.Now()
	for time.Since(begin) < balancerTimeout {
		if pause.For(ctx, quietCheckInterval) != nil {
			return
		}
		quiet := time.Since(time.Unix(0, c.lastArrival.Load())) >= quietDuration
		if quiet && time.Since(begin) >= readinessDelay {
			return
		}
	}
}
