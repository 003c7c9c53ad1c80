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

// confirmInterval is how often a leader confirms that its routes are current. It
// adds to the age of the routes at other hosts.
const confirmInterval = 20 * time.Millisecond

// rulesMaxAge is how long cached rules are used, during which they lack newly
// found restricted keys.
const rulesMaxAge = time.Second

// ownershipService controls the placement of key ranges while this host is the
// leader.
type ownershipService struct {
	host       *Host
	controller *ownership.Controller
	services   []ownership.Service

	mu         sync.Mutex
	rulesCache map[topology.ServiceName]cachedRules
}

// cachedRules are the rules of a declaration set with the restricted keys that
// were known at a time.
type cachedRules struct {
	set   *declaration.Set
	at    time.Time
	rules *keyRules
}

func newOwnershipService(h *Host) *ownershipService {
	o := &ownershipService{host: h, rulesCache: make(map[topology.ServiceName]cachedRules)}
	for _, s := range h.settings.Services {
		if s.DividedByKey {
			o.services = append(o.services, ownership.Service{
				Name: s.Name, Unchecked: s.Fencing == settings.FencingUnchecked, Servers: s.Servers,
			})
		}
	}
	o.controller = ownership.New(ownership.Options{
		Self: h.settings.Host.Name, Leadership: h.leadership.elector,
		Granter: granter.NewHTTP(&http.Client{Transport: h.transport()}),
		Store:   h.options.Store, Bus: h.topics.replicator, Services: o.services,
		Planner: newPlanner(h), Eligible: o.eligible,
		Log: h.log, Random: h.random(2),
	})
	return o
}

// eligible reports whether a server may take over a range. It is called for each
// range of a lost server, so the rules are cached for rulesMaxAge.
func (o *ownershipService) eligible(service topology.ServiceName, server topology.ServerName, r topology.Range) bool {
	set := o.host.declarations.follower.Current()
	o.mu.Lock()
	p := o.rulesCache[service]
	if p.set != set || time.Since(p.at) > rulesMaxAge {
		p = cachedRules{set, time.Now(), newKeyRules(set, service, o.host.restricted.keys(service))}
		o.rulesCache[service] = p
	}
	o.mu.Unlock()
	return p.rules.mayOwn(r, server)
}

func (o *ownershipService) Name() string { return serviceOwnership }
func (o *ownershipService) Requires() []string {
	return []string{serviceLeadership, serviceLoads, serviceRestricted, serviceDeclarations}
}

// Start begins to control placement whenever this host is elected.
func (o *ownershipService) Start(_ context.Context, registry *kernel.Registry) error {
	registry.Go(o.Name(), o.controller.Run)
	registry.Every(o.Name(), confirmInterval, o.confirm)
	return nil
}

// Stop does nothing: leadership has already been resigned.
func (o *ownershipService) Stop(context.Context) error { return nil }

// confirm records the time since which this host's own routes are current while it
// is the leader.
func (o *ownershipService) confirm() {
	// The time is read first, so that the routes are current at that time or
	// later.
	now := time.Now()
	if term, ok := o.confirmedTerm(); ok {
		o.host.topics.replicator.ConfirmLeader(term, now)
	}
}

// confirmedTerm returns the term if the published routes of every service include
// every decision that this host made as leader.
func (o *ownershipService) confirmedTerm() (topology.Term, bool) {
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
