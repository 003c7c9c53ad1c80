package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/store"
)

// maxPeerEvacuationsAge is the age of the evacuations above which a host that is no
// relay reads the store itself, while the leader runs a build without evacuations.
const maxPeerEvacuationsAge = 2 * time.Second

// followConfig polls for changes of the operators' entries. After an error it lists
// them again, as changes and deletions may have been missed.
func (l *leadership) followConfig(ctx context.Context) {
	n := l.node
	after, polled := int64(0), int64(0)
	listLimit := minConfigListTimeout
	for ctx.Err() == nil {
		if after == 0 {
			former := n.config()
			if after = n.readConfigWithin(ctx, listLimit); after == 0 {
				listLimit = min(2*listLimit, maxConfigListTimeout)
				n.sleep(ctx, storeRetryDelay)
				continue
			}
			listLimit = minConfigListTimeout
			if config := n.config(); config != nil && config != former && config.Revision <= polled {
				n.Log.Error("control: a poll has missed a configuration", zap.Int64("version", config.Version), zap.Int64("revision", config.Revision), zap.Int64("polled", polled))
			}
		}
		startedAt := n.Clock()
		batch, err := n.pollConfig(ctx, after)
		n.recordStoreResult(err)
		if err != nil {
			after = 0
			n.sleep(ctx, storeRetryDelay/4)
			continue
		}
		n.applyEvacuationEvents(batch.Events, batch.Revision, startedAt)
		for _, event := range batch.Events {
			if event.Key == n.Schema.ConfigKey && !event.Deleted {
				n.applyStoredConfig(event.KeyValue, startedAt, fromPoll)
			}
		}
		n.view.setConfig(nil, nil, startedAt)
		after = max(after, batch.Revision)
		polled = after
	}
}

// pollConfig waits for changes of the operators' entries after a revision.
func (n *Node) pollConfig(ctx context.Context, after int64) (store.WatchBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, configPollWait+configPollGrace)
	defer cancel()
	return n.Store.Poll(ctx, n.Schema.OperatorPrefix, after, configPollWait)
}

// setEvacuations merges the evacuations that the store held at the given instant.
func (v *View) setEvacuations(set Evacuations, at, now boottime.Instant, limit time.Duration) (before, after Evacuations) {
	return v.updateEvacuations(at, now, limit, set.Revision, func(current Evacuations) Evacuations { return current.merge(set) })
}

// updateEvacuations applies a change to the evacuations. The revision is that up to
// which the source of the change is current, at the given instant; 0 if unknown.
func (v *View) updateEvacuations(at, now boottime.Instant, limit time.Duration, revision int64, change func(Evacuations) Evacuations) (before, after Evacuations) {
	v.update(func(next *Snapshot) bool {
		before = next.Evacuations
		after = change(before).withLocalTimes(before, next.EvacuationsConfirmedAt, now, limit)
		next.Evacuations = after
		if revision >= before.Revision {
			next.EvacuationsConfirmedAt = max(next.EvacuationsConfirmedAt, at)
		}
		return before.Digest() != after.Digest() || before.Known() != after.Known()
	})
	return before, after
}

// evacuationLimit returns how long after the operator's write hosts may still send requests
// to an evacuated zone.
func (n *Node) evacuationLimit() time.Duration {
	if n.EvacuationLimit <= 0 {
		return DefaultEvacuationLimit
	}
	return n.EvacuationLimit
}

// mergeEvacuations applies evacuations that the store held at the given instant; 0 if
// that is unknown.
func (n *Node) mergeEvacuations(set Evacuations, at boottime.Instant) {
	if !set.Known() {
		return
	}
	now := n.Clock()
	before, after := n.view.setEvacuations(set, at, now, n.evacuationLimit())
	if at == 0 {
		at = now
	}
	n.logEvacuations(before, after, now.Sub(at))
}

// logEvacuations logs the evacuations that have begun or ended and, after a restore of
// the store, those that the copy lacks.
func (n *Node) logEvacuations(before, after Evacuations, age time.Duration) {
	for _, zone := range after.Zones() {
		state, _ := after.Get(zone)
		former, inForce := before.Get(zone)
		if !inForce {
			n.Log.Warn("control: availability zone is evacuated", zap.String("zone", zone), zap.Int64("revision", state.Revision), zap.Duration("age", age))
			continue
		}
		isOfBefore := store.EraOf(former.Revision) < store.EraOf(after.Revision) && former.Revision == state.Revision
		if isOfBefore && store.EraOf(before.Revision) < store.EraOf(after.Revision) {
			n.Log.Warn("control: evacuation is missing in the restored store and stays in force", zap.String("zone", zone), zap.Int64("revision", state.Revision),
				zap.Int64("era", int64(store.EraOf(after.Revision))), zap.Duration("age", n.Clock().Sub(former.KnownSince)))
		}
	}
	for _, zone := range before.Zones() {
		if _, inForce := after.Get(zone); !inForce {
			former, _ := before.Get(zone)
			n.Log.Warn("control: evacuation of the availability zone has ended", zap.String("zone", zone), zap.Int64("revision", after.zones[zone].Revision),
				zap.Duration("age", n.Clock().Sub(former.KnownSince)))
		}
	}
}

// applyListedEvacuations applies the evacuations among the operators' entries, which
// were listed from the given instant on and are complete up to the revision.
func (n *Node) applyListedEvacuations(items []store.KeyValue, revision int64, at boottime.Instant) {
	zones := make(map[string]Evacuation)
	listed := make(map[string]bool, len(items))
	for _, kv := range items {
		listed[kv.Key] = true
		if zone, ok := n.decodeEvacuation(kv, len(zones)); ok {
			zones[zone] = Evacuation{Revision: kv.ModRevision}
		}
	}
	n.retainInvalidEntries(n.Schema.OperatorPrefix, listed)
	n.mergeEvacuations(NewEvacuations(revision, zones), at)
}

// applyEvacuationEvents applies the changes of evacuations up to the revision, by a
// poll that began at the given instant.
func (n *Node) applyEvacuationEvents(events []store.Event, revision int64, at boottime.Instant) {
	var changes []evacuationChange
	for _, event := range events {
		zone, ok := n.decodeEvacuation(event.KeyValue, len(n.view.Load().Evacuations.Zones()))
		if ok {
			changes = append(changes, evacuationChange{zone, Evacuation{Revision: event.ModRevision, Withdrawn: event.Deleted}})
		}
		if event.Deleted {
			n.removeInvalidEntry(event.Key)
		}
	}
	now := n.Clock()
	before, after := n.view.updateEvacuations(at, now, n.evacuationLimit(), revision, func(current Evacuations) Evacuations {
		if !current.Known() {
			return current // only a listing makes the set known
		}
		return current.withChanges(changes, revision)
	})
	n.logEvacuations(before, after, now.Sub(at))
}

// decodeEvacuation returns the zone of an operators' entry, and false if the entry is
// no evacuation or an odd one, which is logged. Count is how many others are in force.
func (n *Node) decodeEvacuation(kv store.KeyValue, count int) (zone string, ok bool) {
	if n.Schema.DecodeEvacuation == nil || kv.Key == n.Schema.ConfigKey {
		return "", false
	}
	zone, isEvacuation, err := n.Schema.DecodeEvacuation(kv)
	if _, inForce := n.view.Load().Evacuations.Get(zone); err == nil && isEvacuation && count >= maxEvacuatedZones && !inForce {
		err = fmt.Errorf("more than %d availability zones are evacuated", maxEvacuatedZones)
	}
	if err != nil {
		if n.markInvalidEntry(kv.Key) {
			n.Log.Warn("control: invalid evacuation ignored", zap.String("key", kv.Key), zap.Error(err))
		}
		return "", false
	}
	return zone, isEvacuation
}

// applyEvacuations applies the evacuations in a response. One without them is from an
// older build and says nothing about evacuations.
func (n *Node) applyEvacuations(response *fleetpb.SyncResponse, sentAt boottime.Instant) {
	if response.Leader {
		n.mu.Lock()
		// A leader reads evacuations and configuration in one call.
		n.leaderOmitsEvacuations = response.EvacuationsRevision <= 0 && response.Known.Config != 0
		n.mu.Unlock()
	}
	if response.EvacuationsRevision <= 0 {
		return
	}
	at := n.confirmedAt(sentAt, response.HeldMillis, response.EvacuationsAgeMillis)
	current := n.view.Load().Evacuations
	switch {
	case response.HasEvacuations:
		n.mergeEvacuations(evacuationsFromProto(response.Evacuations, response.EvacuationsRevision), at)
	case response.Known.Evacuations == current.Digest() && response.EvacuationsRevision >= current.Revision:
		n.mergeEvacuations(NewEvacuations(response.EvacuationsRevision, current.zones), at)
	}
}

// addEvacuations adds the evacuations to a request to the leader if the leader may not
// know them.
func (n *Node) addEvacuations(request *fleetpb.SyncRequest, newTerm bool) {
	current := n.view.Load().Evacuations
	n.mu.Lock()
	differs := newTerm || n.knownVersions == nil || n.knownVersions.Evacuations != current.Digest()
	n.mu.Unlock()
	if differs && current.Known() {
		request.Evacuations, request.EvacuationsRevision = evacuationsToProto(current), current.Revision
	}
}

// refreshEvacuations keeps the evacuations current while the leader runs a build that
// does not know them: relays read the store, the other hosts ask relays first.
func (n *Node) refreshEvacuations(ctx context.Context) {
	n.mu.Lock()
	omitted := n.leaderOmitsEvacuations
	n.mu.Unlock()
	if !omitted {
		return
	}
	if n.view.Load().Evacuations.Known() && !n.isRelay() {
		n.queryPeers(ctx)
		if n.Clock().Sub(n.view.Load().EvacuationsConfirmedAt) < maxPeerEvacuationsAge {
			return
		}
	}
	if n.beginRead() {
		n.readConfig(ctx)
	}
}
