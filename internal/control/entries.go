package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// takeAssignment takes a committed assignment read from the store.
func (n *Node) takeAssignment(kv store.KeyValue) {
	a, err := shards.Decode(kv.Value, kv.ModRevision)
	if err != nil {
		n.Log.Error("control: assignment can't be read", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	n.view.setShards(strings.TrimPrefix(kv.Key, shardsPrefix), a)
}

// readEntries reads the configuration and the servers from the store, if it is
// not too early. It returns true if the store answered.
func (n *Node) readEntries(ctx context.Context) bool {
	now := n.Clock()
	n.mu.Lock()
	early := n.readAt != 0 && now.Sub(n.readAt) < readInterval
	if !early {
		n.readAt = now
	}
	n.mu.Unlock()
	if early {
		return false
	}
	n.readConfig(ctx)
	// What another host has learned saves a listing, and keeps the speeds.
	if snapshot := n.view.Load(); snapshot.Servers != nil && snapshot.ServersRevision > n.reader.revision {
		n.reader.follow(snapshot.Servers, snapshot.ServersRevision, n.Schema.ServersPrefix)
		n.tracker.Seed(snapshot.Servers)
	}
	return n.readServers(ctx)
}

// readConfig reads the configuration; it returns the store's revision, 0 after
// a failure.
func (n *Node) readConfig(ctx context.Context) int64 {
	began := n.Clock()
	kv, found, revision, err := n.Store.Get(ctx, n.Schema.ConfigKey)
	n.noteStore(err)
	if err != nil {
		return 0
	}
	if found {
		n.takeConfig(kv, began)
	}
	return revision
}

func (n *Node) takeConfig(kv store.KeyValue, at boottime.Instant) {
	if old := n.view.Load().Config; old != nil && kv.ModRevision <= old.Revision {
		n.view.setConfig(nil, nil, at)
		return
	}
	config, err := n.Schema.DecodeConfig(kv.Value, kv.ModRevision)
	if err != nil {
		n.Log.Warn("control: configuration refused", zap.Int64("revision", kv.ModRevision), zap.Error(err))
		return
	}
	n.Log.Info("control: configuration in force", zap.Int64("version", config.Version), zap.Int64("revision", config.Revision))
	n.view.setConfig(config, kv.Value, at)
}

// serverReader follows the server entries by what has changed in the store since
// it last looked: one call, where a listing of a large deployment takes many.
type serverReader struct {
	entries map[string]registry.Server // by key
	// revision is up to which entries has followed; 0 before a listing.
	revision int64
}

// follow takes the list that another host has read up to a revision as its own.
func (r *serverReader) follow(list *registry.List, revision int64, prefix string) {
	r.entries, r.revision = make(map[string]registry.Server, len(list.Servers)), revision
	for id, s := range list.Servers {
		r.entries[prefix+id] = s
	}
}

// take takes one entry. One that can't be decoded names no server.
func (r *serverReader) take(n *Node, kv store.KeyValue) {
	s, err := n.Schema.DecodeServer(kv)
	if err != nil {
		n.Log.Debug("control: server entry ignored", zap.Error(err))
		delete(r.entries, kv.Key)
		return
	}
	r.entries[kv.Key] = s
}

// read brings entries up to the present.
func (r *serverReader) read(ctx context.Context, n *Node) error {
	if r.revision > 0 {
		batch, err := n.Store.Poll(ctx, n.Schema.ServersPrefix, r.revision, entriesWait)
		if err == nil {
			for _, event := range batch.Events {
				if event.Deleted {
					delete(r.entries, event.Key)
					continue
				}
				r.take(n, event.KeyValue)
			}
			r.revision = max(r.revision, batch.Revision)
			return nil
		}
		var storeErr *store.Error
		if !errors.As(err, &storeErr) || storeErr.Kind != store.KindCompacted {
			return err
		}
		n.Log.Info("control: history of the server entries is gone, listing them", zap.Int64("revision", r.revision))
		r.revision = 0
	}
	items, revision, err := n.Store.Range(ctx, n.Schema.ServersPrefix)
	if err != nil {
		return err
	}
	r.entries, r.revision = make(map[string]registry.Server, len(items)), revision
	for _, kv := range items {
		r.take(n, kv)
	}
	return nil
}

// readServers brings the view's server list up to the present. It returns true
// if the store answered.
func (n *Node) readServers(ctx context.Context) bool {
	began := n.Clock()
	err := n.reader.read(ctx, n)
	n.noteStore(err)
	if err != nil {
		n.tracker.Failed(began)
		return false
	}
	n.tracker.Observe(slices.Collect(maps.Values(n.reader.entries)), began)
	n.view.setServers(n.tracker.List(), began, n.reader.revision)
	return true
}

// noteStore logs when the store is lost and regained. A call that this host has
// given up itself says nothing of the store.
func (n *Node) noteStore(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	n.mu.Lock()
	changed := n.storeUp != (err == nil)
	n.storeUp = err == nil
	if err == nil {
		n.storeAt = n.Clock()
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

func serversFromProto(list []*fleetpb.Server) []registry.Server {
	out := make([]registry.Server, 0, len(list))
	for _, s := range list {
		out = append(out, registry.Server{ID: s.Id, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: int(s.Slots), Draining: s.Draining, Born: s.Born, Speed: s.Speed,
			Warmup: time.Duration(s.WarmupNanos)})
	}
	return out
}

func serversToProto(list []registry.Server) []*fleetpb.Server {
	out := make([]*fleetpb.Server, 0, len(list))
	for _, s := range list {
		out = append(out, &fleetpb.Server{Id: s.ID, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: uint32(s.Slots), Draining: s.Draining, Born: s.Born, Speed: s.Speed, WarmupNanos: s.Warmup.Nanoseconds()})
	}
	return out
}
