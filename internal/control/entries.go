package control

import (
	"context"
	"errors"
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
	return n.readServers(ctx, n.tracker)
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

// readServers reads all server entries into tracker and the view.
func (n *Node) readServers(ctx context.Context, tracker *registry.Tracker) bool {
	began := n.Clock()
	items, _, err := n.Store.Range(ctx, n.Schema.ServersPrefix)
	n.noteStore(err)
	if err != nil {
		tracker.Failed(began)
		return false
	}
	servers := make([]registry.Server, 0, len(items))
	for _, kv := range items {
		s, err := n.Schema.DecodeServer(kv)
		if err != nil {
			n.Log.Debug("control: server entry ignored", zap.Error(err))
			continue
		}
		servers = append(servers, s)
	}
	if !tracker.Observe(servers, began) {
		n.view.setServers(nil, began)
		return true
	}
	n.view.setServers(tracker.List(), began)
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

func serversFromProto(list []*fleetpb.Server) *registry.List {
	out := &registry.List{Servers: make(map[string]registry.Server, len(list))}
	for _, s := range list {
		out.Servers[s.Id] = registry.Server{ID: s.Id, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: int(s.Slots), Draining: s.Draining, Born: s.Born, Speed: s.Speed,
			Warmup: time.Duration(s.WarmupSeconds * float64(time.Second))}
	}
	return out
}

func serversToProto(list *registry.List) []*fleetpb.Server {
	out := make([]*fleetpb.Server, 0, len(list.Servers))
	for _, s := range list.Servers {
		out = append(out, &fleetpb.Server{Id: s.ID, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Slots: uint32(s.Slots), Draining: s.Draining, Born: s.Born, Speed: s.Speed, WarmupSeconds: s.Warmup.Seconds()})
	}
	return out
}
