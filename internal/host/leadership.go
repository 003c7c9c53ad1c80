package host

import (
	"context"
	"errors"

	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/leadership"
	"github.com/cassiasill/cassiasill/internal/peer"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// leadershipService runs this host's witness and candidate.
type leadershipService struct{ elector *leadership.Elector }

func newLeadershipService(h *Host) *leadershipService {
	return &leadershipService{elector: leadership.New(leadership.Options{
		Self:      h.settings.Host.Name,
		Transport: electionTransport{client: h.topics.client, hosts: h.settings.Hosts},
		Store:     h.options.Store, Hosts: h.lister(), Log: h.log, Random: h.random(1),
	})}
}

func (l *leadershipService) Name() string       { return serviceLeadership }
func (l *leadershipService) Requires() []string { return []string{serviceTopics} }

// Start begins to take part in elections.
func (l *leadershipService) Start(_ context.Context, registry *kernel.Registry) error {
	registry.Go(l.Name(), l.elector.Run)
	return nil
}

// Stop resigns so that the next leader does not have to wait for the expiry of the
// promises.
func (l *leadershipService) Stop(context.Context) error {
	l.elector.Resign()
	return nil
}

// Promise handles the request of a candidate.
func (l *leadershipService) Promise(_ context.Context, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	return l.elector.HandlePromise(request), nil
}

// Seal handles the request of a leader that changes the set of witnesses.
func (l *leadershipService) Seal(_ context.Context, request *peerpb.SealRequest) (*peerpb.SealResponse, error) {
	return l.elector.HandleSeal(request), nil
}

// errUnknownHost is returned for a host that is not in the list of hosts.
var errUnknownHost = errors.New("host is not in the list of hosts")

// electionTransport sends election requests to hosts by name.
type electionTransport struct {
	client *peer.Client
	hosts  []topology.Host
}

func (t electionTransport) find(name topology.HostName) (topology.Host, error) {
	for _, h := range t.hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return topology.Host{}, &peer.CallError{Host: name, Method: "find", Err: errUnknownHost}
}

// Promise sends the request to the named host.
func (t electionTransport) Promise(ctx context.Context, name topology.HostName, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	host, err := t.find(name)
	if err != nil {
		return nil, err
	}
	return t.client.Promise(ctx, host, request)
}

// Seal sends the request to the named host.
func (t electionTransport) Seal(ctx context.Context, name topology.HostName, request *peerpb.SealRequest) (*peerpb.SealResponse, error) {
	host, err := t.find(name)
	if err != nil {
		return nil, err
	}
	return t.client.Seal(ctx, host, request)
}
