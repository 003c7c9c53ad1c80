package host

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/kernel"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	serviceRestricted     = "restricted"
	restrictedTopicPrefix = "restricted/"
	// restrictedInterval is how often a host publishes the keys it found.
	restrictedInterval = 250 * time.Millisecond
	// maxRestricted bounds the keys of one service that get slices of their
	// own because of rules; each host keeps at most as many.
	maxRestricted = 10_000
	// maxJudged bounds the memory of keys that were found to be ordinary.
	maxJudged = 1 << 16
)

// restrictedService finds the keys in use to which ownership rules apply.
//
// Keys are hashed, so that those which a prefix or a pattern selects lie all
// over the ring, and nobody lists the keys in use. Each host therefore judges
// the keys of its requests by the rules and publishes those that not every
// server may own; the leader gives them slices of their own and moves these to
// servers that may.
type restrictedService struct {
	host *Host
	bus  *peersync.Replicator // set by Start

	mu    sync.RWMutex
	state map[topology.ServiceName]*restrictedKeys
}

// restrictedKeys holds what one host found for one service under one set.
type restrictedKeys struct {
	set    *declaration.Set
	judged map[topology.Hash]struct{}
	found  map[string]struct{}
	dirty  bool
	full   bool
}

func newRestrictedService(h *Host) *restrictedService {
	r := &restrictedService{host: h, state: make(map[topology.ServiceName]*restrictedKeys)}
	for _, s := range h.settings.Services {
		if s.DividedByKey {
			r.state[s.Name] = &restrictedKeys{judged: make(map[topology.Hash]struct{}), found: make(map[string]struct{})}
		}
	}
	return r
}

func (r *restrictedService) Name() string       { return serviceRestricted }
func (r *restrictedService) Requires() []string { return []string{serviceTopics, serviceDeclarations} }

// Start publishes what was found.
func (r *restrictedService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	r.bus = bus
	registry.Every(r.Name(), restrictedInterval, r.publish)
	return nil
}

// Stop has nothing to finish.
func (r *restrictedService) Stop(context.Context) error { return nil }

// Key judges the key of a request. A key that was judged before under the
// rules in force costs a look into a map.
func (r *restrictedService) Key(service topology.ServiceName, key string, position topology.Hash) {
	set := r.host.declare.follower.Current()
	if !set.HasOwnershipRules(service) {
		return
	}
	r.mu.RLock()
	state := r.state[service]
	_, judged := state.judged[position]
	current := state.set == set
	r.mu.RUnlock()
	if judged && current {
		return
	}
	restricted := set.Restricted(service, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.set != set {
		state.judgeAgain(set, service)
	}
	if len(state.judged) >= maxJudged {
		clear(state.judged)
	}
	state.judged[position] = struct{}{}
	if _, known := state.found[key]; !restricted || known {
		return
	}
	if len(state.found) >= maxRestricted {
		if !state.full {
			r.host.log.Error("placement: too many keys have ownership rules of their own",
				zap.String("service", string(service)), zap.Int("limit", maxRestricted))
		}
		state.full = true
		return
	}
	state.found[key] = struct{}{}
	state.dirty = true
}

// judgeAgain keeps the found keys that the new rules still restrict.
func (s *restrictedKeys) judgeAgain(set *declaration.Set, service topology.ServiceName) {
	s.set = set
	clear(s.judged)
	for key := range s.found {
		if !set.Restricted(service, key) {
			delete(s.found, key)
			s.dirty = true
		}
	}
	s.full = false
}

func restrictedTopic(service topology.ServiceName, host topology.HostName) string {
	return restrictedTopicPrefix + string(service) + "/" + string(host)
}

func (r *restrictedService) publish() {
	set := r.host.declare.follower.Current()
	r.mu.Lock()
	changed := make(map[topology.ServiceName][]string)
	for service, state := range r.state {
		if state.set != nil && state.set != set {
			state.judgeAgain(set, service)
		}
		if state.dirty {
			changed[service] = slices.Sorted(maps.Keys(state.found))
			state.dirty = false
		}
	}
	r.mu.Unlock()
	for service, keys := range changed {
		payload, err := json.Marshal(keys)
		if err != nil {
			r.host.log.Error("placement: keys not encoded", zap.Error(err))
			continue
		}
		name := restrictedTopic(service, r.host.settings.Host.Name)
		peersync.PublishOwn(r.bus, name, time.Now(), payload)
	}
}

// keys returns the restricted keys that all hosts found, at most maxRestricted.
func (r *restrictedService) keys(service topology.ServiceName) []string {
	found := make(map[string]struct{})
	for _, topic := range r.bus.List(restrictedTopic(service, "")) {
		var keys []string
		if err := json.Unmarshal(topic.Payload, &keys); err != nil {
			r.host.log.Error("placement: a host's keys not decoded",
				zap.String("from", strings.TrimPrefix(topic.Name, restrictedTopic(service, ""))), zap.Error(err))
			continue
		}
		for _, k := range keys {
			found[k] = struct{}{}
		}
	}
	out := slices.Sorted(maps.Keys(found))
	return out[:min(len(out), maxRestricted)]
}
