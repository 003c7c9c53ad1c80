package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Sources of a configuration, as they are logged.
const (
	fromPoll    = "poll"
	fromListing = "listing"
	fromLeader  = "leader"
	fromPeer    = "peer"
)

// readConfig reads the operators' entries, which are the configuration and the
// evacuations. It returns the store's revision, or 0 after a failure.
func (n *Node) readConfig(ctx context.Context) int64 {
	startedAt := n.Clock()
	items, revision, err := n.Store.Range(ctx, n.Schema.OperatorPrefix)
	n.recordStoreResult(err)
	if err != nil {
		return 0
	}
	// First the evacuations: a host that knows a configuration sends requests.
	n.applyListedEvacuations(items, revision, startedAt)
	for _, kv := range items {
		if kv.Key == n.Schema.ConfigKey {
			n.applyStoredConfig(kv, startedAt, fromListing)
		}
	}
	return revision
}

// readConfigWithin is readConfig with a timeout.
func (n *Node) readConfigWithin(ctx context.Context, limit time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return n.readConfig(ctx)
}

// applyStoredConfig applies a configuration that the store held at the given
// instant. One that can't be decoded leaves the current one in force.
func (n *Node) applyStoredConfig(kv store.KeyValue, at boottime.Instant, source string) {
	current := n.view.Load().Config
	if current != nil && kv.ModRevision == current.Revision {
		n.view.setConfig(nil, nil, at)
		return
	}
	config, err := n.Schema.DecodeConfig(kv.Value, kv.ModRevision)
	if err != nil {
		n.Log.Warn("control: configuration rejected", zap.Int64("revision", kv.ModRevision), zap.Error(err))
		return
	}
	if !config.IsNewerThan(current) {
		if config.Revision > current.Revision {
			n.Log.Warn("control: configuration in the store is older than the one in force, which stays", zap.Int64("version", current.Version), zap.Int64("stored_version", config.Version), zap.Int64("era", int64(store.EraOf(kv.ModRevision))))
		}
		n.view.setConfig(nil, nil, at)
		return
	}
	n.setConfig(config, kv.Value, at, source)
}

// setConfig puts a configuration into force that the store held at the given instant,
// unless it is not newer than the current one.
func (n *Node) setConfig(config *routes.Config, raw []byte, at boottime.Instant, source string) {
	formerAge := time.Duration(-1)
	if former := n.view.Load(); former.Config != nil {
		formerAge = n.Clock().Sub(former.ConfigConfirmedAt)
	}
	if n.view.setConfig(config, raw, at) {
		n.Log.Info("control: configuration in force", zap.Int64("version", config.Version), zap.Int64("revision", config.Revision),
			zap.String("source", source), zap.Duration("former_age", formerAge), zap.Duration("age", n.Clock().Sub(at)))
	}
}
