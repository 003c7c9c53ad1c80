package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/credentials"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peer"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// The names by which the services of a host look each other up.
const (
	serviceTopics       = "topics"
	serviceLeadership   = "leadership"
	serviceOwnership    = "ownership"
	serviceDeclarations = "declarations"
	serviceRoutes       = "routes"
	serviceCallers      = "callers"
	serviceAdmin        = "admin"
)

const (
	// checkedWait is how long a pull is held open when all servers check fencing
	// tokens, so that routes need no confirmed age. It is half of the time after
	// which a host without contact to a peer stops serving.
	checkedWait = 1500 * time.Millisecond
	// uncheckedWait is how long a pull is held open otherwise. The age of routes
	// adds up over three pulls and must stay well below
	// topology.RouteTableValidity.
	uncheckedWait = 75 * time.Millisecond
)

// topicsService runs the peer server and the replication of topics.
type topicsService struct {
	host       *Host
	client     *peer.Client
	replicator *peersync.Replicator
	server     *http.Server
	serverTLS  *tls.Config // nil without TLS
}

func newTopicsService(h *Host) (*topicsService, error) {
	t := &topicsService{host: h}
	var clientTLS *tls.Config
	if s := h.settings.PeerTLS; s.Enabled() {
		files := credentials.TLSFiles{Cert: s.Cert, Key: s.Key, CA: s.ClientCA}
		var err error
		// A host accepts only hosts that present a certificate signed by the CA.
		if t.serverTLS, err = files.ServerConfig(h.log, tls.RequireAndVerifyClientCert); err != nil {
			return nil, fmt.Errorf("peerTLS: %w", err)
		}
		if clientTLS, err = files.ClientConfig(h.log); err != nil {
			return nil, fmt.Errorf("peerTLS: %w", err)
		}
	}
	t.client = peer.NewClient(h.options.Network.Dial, clientTLS)
	t.replicator = peersync.NewReplicator(peersync.Options{
		Self: h.self(), Hosts: func() []topology.Host { return h.settings.Hosts },
		PullWait: syncWait(h.settings), Puller: t.client, Log: h.log, ExcludedTopics: t.excludedTopics,
	})
	return t, nil
}

// excludedTopics returns the prefixes of the topics that this host does not need.
// Only the leader reads load topics, and relays pass them on. The other hosts
// exclude them, because otherwise their traffic would grow with the square of the
// number of hosts.
func (t *topicsService) excludedTopics() []string {
	if _, _, leads := t.host.leadership.elector.LeaderLease(time.Now()); leads || t.host.isRelay() {
		return nil
	}
	return []string{loadTopicPrefix}
}

func syncWait(s *settings.Settings) time.Duration {
	for _, service := range s.Services {
		if service.DividedByKey && service.Fencing == settings.FencingUnchecked {
			return uncheckedWait
		}
	}
	return checkedWait
}

func (t *topicsService) Name() string       { return serviceTopics }
func (t *topicsService) Requires() []string { return nil }

// Start serves peers and begins to pull.
func (t *topicsService) Start(ctx context.Context, registry *kernel.Registry) error {
	listener, err := t.host.options.Network.Listen(ctx, t.host.settings.Host.Addresses.Peer)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(t.host.leadership, t.replicator, claimServer{t.host.claims.table}))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	if t.serverTLS != nil {
		listener = tls.NewListener(listener, t.serverTLS)
	}
	t.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: 5 * time.Second}
	registry.Go(t.Name(), func(context.Context) error { return serve(t.server, listener) })
	registry.Go(t.Name(), t.replicator.Run)
	t.host.log.Info("peersync: serving peers", zap.String("address", listener.Addr().String()))
	return nil
}

// Bus returns the replicated topics.
func (t *topicsService) Bus() *peersync.Replicator { return t.replicator }

// busProvider is the interface of the topics service for other services.
type busProvider interface{ Bus() *peersync.Replicator }

// lookupBus returns the replicated topics of the registered topics service.
func lookupBus(registry *kernel.Registry) (*peersync.Replicator, error) {
	provider, err := kernel.Lookup[busProvider](registry, serviceTopics)
	if err != nil {
		return nil, err
	}
	return provider.Bus(), nil
}

// Stop closes the peer server without waiting: peers pull from another host.
func (t *topicsService) Stop(context.Context) error {
	t.client.Close()
	return t.server.Close()
}

// serve runs server until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
