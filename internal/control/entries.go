package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/store"
)

// applyStoredAssignment applies a committed assignment read from the store.
func (n *Node) applyStoredAssignment(kv store.KeyValue) {
	a, err := decodeStoredAssignment(kv)
	if err != nil {
		n.Log.Error("control: assignment can't be decoded", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	n.view.setAssignment(strings.TrimPrefix(kv.Key, assignmentsPrefix), a)
}

// readEntries reads the configuration and the servers from the store, unless
// the last read was less than minReadInterval ago. It returns true if the store
// responded to the read of the servers.
func (n *Node) readEntries(ctx context.Context) bool {
	if !n.beginRead() {
		return false
	}
	n.readConfig(ctx)
	// Starting from a newer list that another host has read saves a listing and
	// keeps the measured speeds.
	snapshot := n.view.Load()
	if snapshot.Servers != nil && snapshot.ServersRevision > n.reader.revision {
		n.reader.seed(snapshot.Servers, snapshot.ServersRevision, n.Schema.ServersPrefix)
		n.tracker.Seed(snapshot.Servers, snapshot.ServersConfirmedAt, snapshot.ServersGap)
	}
	return n.readServers(ctx)
}

// beginRead reports whether minReadInterval has passed since the last read of the
// store by this host as a follower, and if so counts another one.
func (n *Node) beginRead() bool {
	now := n.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastReadAt != 0 && now.Sub(n.lastReadAt) < minReadInterval {
		return false
	}
	n.lastReadAt = now
	return true
}

// serverReader keeps the server entries current by reading what has changed in
// the store since its last read. That takes one call, where listing a large
// deployment takes many.
type serverReader struct {
	entries map[string]registry.Server // by key
	// revision is the store revision up to which entries is current; 0 before
	// the first listing.
	revision int64
	// silent is true if the last poll got no answer in time. The watch may hear nothing
	// while listings are answered.
	silent bool
}

// seed replaces the entries with a list that another host has read at the given
// revision.
func (r *serverReader) seed(list *registry.List, revision int64, prefix string) {
	r.entries, r.revision = make(map[string]registry.Server, len(list.Servers)), revision
	for id, s := range list.Servers {
		r.entries[prefix+id] = s
	}
}

// apply updates one entry. An entry that can't be decoded, or that takes a server away
// from its service for one that nobody names, was written by somebody else: it names no
// server, and it says nothing about the server whose entry was at its key, which counts
// until its next entry or until the key is deleted.
func (r *serverReader) apply(n *Node, kv store.KeyValue) {
	s, err := n.Schema.DecodeServer(kv)
	former, kept := r.entries[kv.Key]
	if err == nil && kept && n.namesService(former.Service) && !n.namesService(s.Service) {
		err = fmt.Errorf("no configuration names service %q", s.Service)
	}
	if err != nil {
		n.recordInvalidEntry(kv.Key, kept, err)
		return
	}
	n.removeInvalidEntry(kv.Key)
	r.entries[kv.Key] = s
}

// namesService reports whether the configuration names the service.
func (n *Node) namesService(service string) bool {
	config := n.config()
	if config == nil {
		return false
	}
	_, named := config.Services[service]
	return named
}

// remove removes a deleted entry.
func (r *serverReader) remove(n *Node, key string) {
	n.removeInvalidEntry(key)
	delete(r.entries, key)
}

// read brings the entries up to date.
func (r *serverReader) read(ctx context.Context, n *Node) error {
	if r.revision > 0 && !r.silent {
		batch, err := n.pollServers(ctx, r.revision)
		if err == nil {
			for _, event := range batch.Events {
				if event.Deleted {
					r.remove(n, event.Key)
					continue
				}
				r.apply(n, event.KeyValue)
			}
			r.revision = max(r.revision, batch.Revision)
			return nil
		}
		r.silent = errors.Is(err, context.DeadlineExceeded)
		var storeErr *store.Error
		if !errors.As(err, &storeErr) || storeErr.Kind != store.KindCompacted {
			return err
		}
		n.Log.Info("control: history of the server entries is compacted; listing them", zap.Int64("revision", r.revision))
		r.revision = 0
	}
	r.silent = false // the poll is tried again if this fails
	items, revision, err := n.Store.Range(ctx, n.Schema.ServersPrefix)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(items))
	for _, kv := range items {
		listed[kv.Key] = true
	}
	for key := range r.entries {
		if !listed[key] {
			delete(r.entries, key)
		}
	}
	n.retainInvalidEntries(n.Schema.ServersPrefix, listed)
	if r.entries == nil {
		r.entries = make(map[string]registry.Server, len(items))
	}
	r.revision = revision
	for _, kv := range items {
		r.apply(n, kv)
	}
	return nil
}

// pollServers returns the changes of the server entries after a revision.
func (n *Node) pollServers(ctx context.Context, after int64) (store.WatchBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesPollWait+entriesPollGrace)
	defer cancel()
	return n.Store.Poll(ctx, n.Schema.ServersPrefix, after, entriesPollWait)
}

// maxInvalidEntries bounds the invalid entries that a host remembers. Others are
// ignored without a line in the log.
const maxInvalidEntries = 1000

// recordInvalidEntry records that an entry can't be decoded, and logs it unless it
// was invalid before. Kept is true if the server that had the key still counts.
func (n *Node) recordInvalidEntry(key string, kept bool, err error) {
	if n.markInvalidEntry(key) {
		n.Log.Warn("control: invalid server entry ignored", zap.String("key", key), zap.Bool("server_kept", kept), zap.Error(err))
	}
}

// markInvalidEntry records that an entry can't be decoded, and returns false if it is
// recorded already or there are too many.
func (n *Node) markInvalidEntry(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.invalidEntries[key] || len(n.invalidEntries) >= maxInvalidEntries {
		return false
	}
	n.invalidEntries[key] = true
	return true
}

// removeInvalidEntry forgets an invalid entry that has become valid or is deleted.
func (n *Node) removeInvalidEntry(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.invalidEntries, key)
}

// retainInvalidEntries forgets the invalid entries with the prefix that are no longer
// listed.
func (n *Node) retainInvalidEntries(prefix string, listed map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.invalidEntries, func(key string, _ bool) bool { return !listed[key] && strings.HasPrefix(key, prefix) })
}

// InvalidEntries returns the keys of others' entries that this host has read last and
// can't decode, in order.
func (n *Node) InvalidEntries() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.invalidEntries))
}

// readServers brings the view's server list up to date. It returns true if the
// store responded.
func (n *Node) readServers(ctx context.Context) bool {
	startedAt := n.Clock()
	err := n.reader.read(ctx, n)
	n.recordStoreResult(err)
	if err != nil {
		n.tracker.RecordReadFailure(startedAt)
		return false
	}
	if era := n.Store.Era(); era != n.serversEra {
		n.serversEra = era
		n.tracker.RecordRestore(startedAt)
	}
	n.tracker.Observe(slices.Collect(maps.Values(n.reader.entries)), startedAt)
	n.view.setServers(n.tracker.List(), startedAt, n.reader.revision)
	return true
}

// recordStoreResult records whether the store is reachable and logs when that
// changes. A call that this host has canceled itself shows nothing about the
// store.
func (n *Node) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	n.mu.Lock()
	n.logEraLocked(n.Store.Era())
	changed := n.storeReachable != (err == nil)
	n.storeReachable = err == nil
	if err == nil {
		n.storeReachedAt = n.Clock()
	}
	n.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		n.Log.Warn("control: store lost", zap.Error(err))
	default:
		n.Log.Info("control: store regained")
	}
}

// logEraLocked logs a change of the store's era. The caller holds mu.
func (n *Node) logEraLocked(era store.Era) {
	if era <= n.storeEra {
		return
	}
	former := n.storeEra
	n.storeEra = era
	snapshot := n.view.Load()
	fields := []zap.Field{zap.Int64("era", int64(era)), zap.Int64("former_era", int64(former)), zap.Int64("term", snapshot.Term)}
	if snapshot.Config != nil {
		fields = append(fields, zap.Int64("config", snapshot.Config.Version))
	}
	for service, a := range snapshot.Assignments {
		fields = append(fields, zap.Int64("assignment_"+service, a.Version))
	}
	n.Log.Warn("control: the store was restored from an older copy", fields...)
}

// StoreEra returns the latest era of the store that this host knows.
func (n *Node) StoreEra() store.Era {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeEra
}

func serversFromProto(list []*fleetpb.Server) []registry.Server {
	out := make([]registry.Server, 0, len(list))
	for _, s := range list {
		out = append(out, registry.Server{ID: s.Id, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: int(s.Slots), Draining: s.Draining, Incarnation: s.Born, Speed: s.Speed,
			Warmup: time.Duration(s.WarmupNanos)})
	}
	return out
}

func serversToProto(list []registry.Server) []*fleetpb.Server {
	out := make([]*fleetpb.Server, 0, len(list))
	for _, s := range list {
		out = append(out, &fleetpb.Server{Id: s.ID, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: uint32(s.Slots), Draining: s.Draining, Born: s.Incarnation, Speed: s.Speed, WarmupNanos: s.Warmup.Nanoseconds()})
	}
	return out
}
