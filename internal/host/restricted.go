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
	// restrictedInterval is how often a host publishes newly found keys.
	restrictedInterval = 250 * time.Millisecond
	// maxRestrictedKeys bounds the keys of one service that get a slice of their
	// own because of rules. It also bounds the keys that each host stores.
	maxRestrictedKeys = 10_000
	// maxCheckedKeys bounds the memory for the positions of checked keys.
	maxCheckedKeys = 1 << 16
)

// restrictedService finds the keys in use to which ownership rules apply.
//
// Keys are hashed, so the keys that a prefix or a pattern selects are spread over
// the whole hash range, and there is no list of the keys in use. Each host
// therefore checks the keys of its requests against the rules and publishes those
// that not every server may own. The leader gives each of them a slice of its own
// and moves the slices to servers that may own them.
type restrictedService struct {
	host *Host
	bus  *peersync.Replicator // set by Start

	mu    sync.RWMutex
	state map[topology.ServiceName]*restrictedKeys
}

// restrictedKeys holds the keys that one host found for one service under one
// declaration set.
type restrictedKeys struct {
	set          *declaration.Set
	checked      map[topology.Hash]struct{}
	found        map[string]struct{}
	unpublished  bool
	limitReached bool
}

func newRestrictedService(h *Host) *restrictedService {
	r := &restrictedService{host: h, state: make(map[topology.ServiceName]*restrictedKeys)}
	for _, s := range h.settings.Services {
		if s.DividedByKey {
			r.state[s.Name] = &restrictedKeys{checked: make(map[topology.Hash]struct{}), found: make(map[string]struct{})}
		}
	}
	return r
}

func (r *restrictedService) Name() string       { return serviceRestricted }
func (r *restrictedService) Requires() []string { return []string{serviceTopics, serviceDeclarations} }

// Start begins to publish the found keys.
func (r *restrictedService) Start(_ context.Context, registry *kernel.Registry) error {
	bus, err := lookupBus(registry)
	if err != nil {
		return err
	}
	r.bus = bus
	registry.Every(r.Name(), restrictedInterval, r.publish)
	return nil
}

// Stop does nothing.
func (r *restrictedService) Stop(context.Context) error { return nil }

// ObserveKey checks the key of a request against the ownership rules. For a key
// that was already checked under the current rules it costs one map lookup.
func (r *restrictedService) ObserveKey(service topology.ServiceName, key string, position topology.Hash) {
	set := r.host.declarations.follower.Current()
	if !set.HasOwnershipRules(service) {
		return
	}
	r.mu.RLock()
	state := r.state[service]
	_, judged := state.checked[position]
	current := state.set == set
	r.mu.RUnlock()
	if judged && current {
		return
	}
	restricted := set.Restricted(service, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.set != set {
		state.recheck(set, service)
	}
	if len(state.checked) >= maxCheckedKeys {
		clear(state.checked)
	}
	state.checked[position] = struct{}{}
	if _, known := state.found[key]; !restricted || known {
		return
	}
	if len(state.found) >= maxRestrictedKeys {
		if !state.limitReached {
			r.host.log.Error("placement: too many keys are restricted by ownership rules; further keys are ignored",
				zap.String("service", string(service)), zap.Int("limit", maxRestrictedKeys))
		}
		state.limitReached = true
		return
	}
	state.found[key] = struct{}{}
	state.unpublished = true
}

// recheck removes the found keys that the new rules no longer restrict.
func (s *restrictedKeys) recheck(set *declaration.Set, service topology.ServiceName) {
	s.set = set
	clear(s.checked)
	for key := range s.found {
		if !set.Restricted(service, key) {
			delete(s.found, key)
			s.unpublished = true
		}
	}
	s.limitReached = false
}

func restrictedTopic(service topology.ServiceName, host topology.HostName) string {
	return restrictedTopicPrefix + string(service) + "/" + string(host)
}

func (r *restrictedService) publish() {
	set := r.host.declarations.follower.Current()
	r.mu.Lock()
	changed := make(map[topology.ServiceName][]string)
	for service, state := range r.state {
		if state.set != nil && state.set != set {
			state.recheck(set, service)
		}
		if state.unpublished {
			changed[service] = slices.Sorted(maps.Keys(state.found))
			state.unpublished = false
		}
	}
	r.mu.Unlock()
	for service, keys := range changed {
		payload, err := json.Marshal(keys)
		if err != nil {
			r.host.log.Error("placement: cannot encode the restricted keys", zap.Error(err))
			continue
		}
		name := restrictedTopic(service, r.host.settings.Host.Name)
		peersync.PublishOwn(r.bus, name, time.Now(), payload)
	}
}

// keys returns the restricted keys that all hosts found, at most
// maxRestrictedKeys.
func (r *restrictedService) keys(service topology.ServiceName) []string {
	found := make(map[string]struct{})
	for _, topic := range r.bus.List(restrictedTopic(service, "")) {
		var keys []string
		if err := json.Unmarshal(topic.Payload, &keys); err != nil {
			r.host.log.Error("placement: cannot decode the restricted keys of a host",
				zap.String("from", strings.TrimPrefix(topic.Name, restrictedTopic(service, ""))), zap.Error(err))
			continue
		}
		for _, k := range keys {
			found[k] = struct{}{}
		}
	}
	out := slices.Sorted(maps.Keys(found))
	return out[:min(len(out), maxRestrictedKeys)]
}
