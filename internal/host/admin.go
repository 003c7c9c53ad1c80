package host

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/operator"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// adminService serves health, metrics and the operators' interface.
type adminService struct {
	host   *Host
	server *http.Server
}

func newAdminService(h *Host) *adminService { return &adminService{host: h} }

func (a *adminService) Name() string       { return serviceAdmin }
func (a *adminService) Requires() []string { return []string{serviceDeclarations, serviceRoutes} }

// Start serves the admin address. The service stops after the callers' service,
// so that the load balancer can read until the end that this host is not ready.
func (a *adminService) Start(ctx context.Context, registry *kernel.Registry) error {
	access := operatorSettings(a.host.settings)
	operators, err := operator.New(operator.Config{
		Host: a.host.settings.Host.Name, Settings: access, Inventory: inventoryOf(a.host.settings),
		Writer: a.host.declarations.writer, Follower: a.host.declarations.follower, Bus: a.host.topics.replicator,
		Owners: a.host.routes.table, Hosts: liveHosts{a.host}, Effects: effects{a.host}, Log: a.host.log,
	})
	if err != nil {
		return err
	}
	listener, err := access.Open(ctx, a.host.options.Network.Listen, a.host.log)
	if err != nil {
		return err
	}
	router := httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { reply(w, http.StatusOK, "ok") })
	router.GET("/readyz", a.ready)
	router.Handler(http.MethodGet, "/metrics", a.host.metrics.Handler())
	router.NotFound = operators
	a.server = &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}
	registry.Go(a.Name(), func(context.Context) error { return serve(a.server, listener) })
	a.host.log.Info("admin: serving", zap.String("address", listener.Addr().String()))
	return nil
}

// operatorSettings returns how the admin address is secured.
func operatorSettings(s *settings.Settings) operator.Settings {
	return operator.Settings{
		Listen: s.Host.Addresses.Admin, TokenFile: s.Operator.TokensFile,
		CertFile: s.Operator.TLS.Cert, KeyFile: s.Operator.TLS.Key, ClientCAFile: s.Operator.TLS.ClientCA,
	}
}

// liveHosts lists this host and the hosts that it can reach.
type liveHosts struct{ host *Host }

// Hosts returns the live hosts.
func (l liveHosts) Hosts(context.Context) ([]topology.Host, error) {
	return append(l.host.topics.replicator.Live(), l.host.self()), nil
}

func (a *adminService) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if ok, why := a.host.Ready(); !ok {
		reply(w, http.StatusServiceUnavailable, why)
		return
	}
	reply(w, http.StatusOK, "ok")
}

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the client disconnected; there is no one else to
	// report it to.
	_, _ = io.WriteString(w, text+"\n")
}

// Stop shuts the admin server and the metrics down.
func (a *adminService) Stop(ctx context.Context) error {
	if err := a.server.Shutdown(ctx); err != nil {
		return err
	}
	return a.host.metrics.Shutdown(ctx)
}
