package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/ownership"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// confirmInterval is how often a leader notes that its routes are current; it
// adds to their age at other hosts.
const confirmInterval = 20 * time.Millisecond

// rulesMaxAge is how long prepared rules do without newly found keys.
const rulesMaxAge = time.Second

// ownershipService leads placement while this host is the leader.
type ownershipService struct {
	host       *Host
	controller *ownership.Controller
	services   []ownership.Service

	mu       sync.Mutex
	prepared map[topology.ServiceName]preparedRules
}

// preparedRules are the rules of a set with the restricted keys known at a time.
type preparedRules struct {
	set   *declaration.Set
	at    time.Time
	rules *keyRules
}

func newOwnershipService(h *Host) *ownershipService {
	o := &ownershipService{host: h, prepared: make(map[topology.ServiceName]preparedRules)}
	for _, s := range h.settings.Services {
		if s.DividedByKey {
			o.services = append(o.services, ownership.Service{
				Name: s.Name, Unchecked: s.Fencing == settings.FencingUnchecked, Servers: s.Servers,
			})
		}
	}
	o.controller = ownership.New(ownership.Options{
		Self: h.settings.Host.Name, Leadership: h.leader.elector,
		Granter: granter.NewHTTP(&http.Client{Transport: h.transport()}),
		Store:   h.options.Store, Bus: h.topics.replicator, Services: o.services,
		Planner: newPlanner(h), Eligible: o.eligible,
		Log: h.log, Random: h.random(2),
	})
	return o
}

// eligible reports whether a server may take over a range. It is asked for each
// range of a lost server, so the rules are prepared once for a short time.
func (o *ownershipService) eligible(service topology.ServiceName, server topology.ServerName, r topology.Range) bool {
	set := o.host.declare.follower.Current()
	o.mu.Lock()
	p := o.prepared[service]
	if p.set != set || time.Since(p.at) > rulesMaxAge {
		p = preparedRules{set, time.Now(), newKeyRules(set, service, o.host.restricted.keys(service))}
		o.prepared[service] = p
	}
	o.mu.Unlock()
	return p.rules.mayOwn(r, server)
}

func (o *ownershipService) Name() string { return serviceOwnership }
func (o *ownershipService) Requires() []string {
	return []string{serviceLeadership, serviceLoads, serviceRestricted, serviceDeclarations}
}

// Start leads whenever this host is elected.
func (o *ownershipService) Start(_ context.Context, registry *kernel.Registry) error {
	registry.Go(o.Name(), o.controller.Run)
	registry.Every(o.Name(), confirmInterval, o.confirm)
	return nil
}

// Stop has nothing to finish: leadership has been resigned by then.
func (o *ownershipService) Stop(context.Context) error { return nil }

// confirm notes since when this host's own routes are current while it leads.
func (o *ownershipService) confirm() {
	// The time is taken first: the routes are current at it or later.
	now := time.Now()
	if term, ok := o.current(); ok {
		o.host.topics.replicator.ConfirmLeader(term, now)
	}
}

// current returns the term if the published routes of every service show every
// decision that this host took as leader.
func (o *ownershipService) current() (topology.Term, bool) {
	var term topology.Term
	for _, s := range o.services {
		version, ok := o.controller.Confirm(s.Name)
		if !ok {
			return 0, false
		}
		term = version.Term
	}
	return term, len(o.services) > 0
}
