package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/operator/api"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// defaultHistory is how many changes are listed unless the request says more.
const defaultHistory = 20

func (s *Server) history(c call) (any, error) {
	limit := defaultHistory
	if text := c.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, apierror.New(apierror.KindBadRequest, "limit must be a positive number, found %q", text)
		}
		limit = n
	}
	changes, err := s.config.Writer.History(c.Context())
	if err != nil {
		return nil, err
	}
	slices.Reverse(changes)
	reply := api.History{Changes: changes[:min(limit, len(changes))]}
	if reply.Changes == nil {
		reply.Changes = []configsync.Accepted{}
	}
	return reply, nil
}

// outcome is a POST because it closes an id that was not accepted yet.
func (s *Server) outcome(c call) (any, error) {
	return s.config.Writer.Outcome(c.Context(), c.params.ByName("id"))
}

func (s *Server) labels(c call) (any, error) {
	query := c.URL.Query()
	service, set := topology.ServiceName(query.Get("service")), s.config.Follower.Current()
	reply := api.Labels{Revision: set.Revision()}
	if key := query.Get("key"); key != "" {
		if !slices.Contains(set.Services(true), service) {
			return nil, apierror.New(apierror.KindNotFound, "no service %q is partitioned by key", service)
		}
		reply.Key = &api.KeyLabels{Service: service, Key: key, Labels: set.KeyLabels(service, key)}
		return reply, nil
	}
	for _, name := range append(set.Services(true), set.Services(false)...) {
		if service != "" && name != service {
			continue
		}
		for _, server := range set.Servers(name) {
			if wanted := query.Get("server"); wanted != "" && wanted != string(server) {
				continue
			}
			labels, _ := set.ServerLabels(name, server)
			reply.Servers = append(reply.Servers, api.ServerLabels{Service: name, Server: server, Labels: labels})
		}
	}
	if len(reply.Servers) == 0 {
		return nil, apierror.New(apierror.KindNotFound, "no server %q of service %q", query.Get("server"), service)
	}
	return reply, nil
}

// status tells which revision is in force on which host. A host that is lost
// may have left its revision behind, so the list of hosts decides who is shown;
// the list lags, so a host that was just lost is shown for a while.
func (s *Server) status(c call) (any, error) {
	set := s.config.Follower.Current()
	reply := api.Status{Host: s.config.Host, Revision: set.Revision(), Fresh: s.config.Follower.Fresh(), Hosts: []api.HostStatus{}}
	inForce := make(map[topology.HostName]uint64)
	for _, topic := range s.config.Bus.List(configsync.InForceTopic) {
		var f configsync.InForce
		if err := json.Unmarshal(topic.Payload, &f); err != nil {
			s.log.Warn("operator: a host published an unreadable revision", zap.String("topic", topic.Name), zap.Error(err))
			continue
		}
		inForce[topology.HostName(strings.TrimPrefix(topic.Name, configsync.InForceTopic))] = f.Revision
	}
	if s.config.Hosts == nil {
		for name, revision := range inForce {
			reply.Hosts = append(reply.Hosts, api.HostStatus{Host: name, Revision: revision, Known: true})
		}
	} else {
		hosts, err := s.config.Hosts.Hosts(c.Context())
		if err != nil {
			return nil, apierror.Wrap(apierror.KindInternal, err, "the list of hosts cannot be read")
		}
		for _, h := range hosts {
			revision, known := inForce[h.Name]
			reply.Hosts = append(reply.Hosts, api.HostStatus{
				Host: h.Name, AvailabilityZone: h.AvailabilityZone, Revision: revision, Known: known, Leaving: h.Leaving,
			})
		}
	}
	slices.SortFunc(reply.Hosts, func(a, b api.HostStatus) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return reply, nil
}

// explain takes a subject, which is a key or a caller, and optionally the
// service; without it every service answers.
func (s *Server) explain(c call) (any, error) {
	query := c.URL.Query()
	subject, service := query.Get("subject"), topology.ServiceName(query.Get("service"))
	if subject == "" {
		return nil, apierror.New(apierror.KindBadRequest, "subject is missing: give a key or a caller")
	}
	set := s.config.Follower.Current()
	reply := api.Explanations{Explanations: []api.Explanation{}}
	for _, name := range append(set.Services(true), set.Services(false)...) {
		if service != "" && name != service {
			continue
		}
		if e, ok := set.ExplainKey(name, subject); ok {
			reply.Explanations = append(reply.Explanations, s.withOwner(e))
		} else if e, ok := set.ExplainCaller(name, topology.Caller(subject)); ok {
			reply.Explanations = append(reply.Explanations, api.Explanation{Explanation: e})
		}
	}
	if len(reply.Explanations) == 0 {
		return nil, apierror.New(apierror.KindNotFound, "no service %q", service)
	}
	return reply, nil
}

func (s *Server) withOwner(e declaration.Explanation) api.Explanation {
	out := api.Explanation{Explanation: e}
	if s.config.Owners == nil {
		return out
	}
	owner := s.config.Owners.Owner(e.Service, topology.HashKey(e.Key))
	out.Owner = owner.Server
	switch owner.State {
	case routing.StateServed:
		out.OwnerState = "served"
	case routing.StateWaiting:
		out.OwnerState = "waiting"
	case routing.StateStale:
		out.OwnerState = "stale"
	default:
		out.OwnerState = "unknown"
	}
	return out
}
