package control

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Store is the linearizable store that hosts share. Errors are *store.Error.
type Store interface {
	Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error)
	Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error)
	Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) error
	RevokeLease(ctx context.Context, id store.LeaseID) error
	// Poll returns the changes after a revision, waiting for the first.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchBatch, error)
}

// Schema says where others keep their entries in the store and what they mean.
type Schema struct {
	ConfigKey     string
	ServersPrefix string
	DecodeConfig  func(value []byte, revision int64) (*routes.Config, error)
	DecodeServer  func(kv store.KeyValue) (registry.Server, error)
}

// Session is a connection to one life of a server: it ends when the connection
// breaks, so that nothing sent on it can reach a later life.
type Session int64

// Orders gives servers their keys. Errors are *shards.OrderError.
type Orders interface {
	// Open begins a new session with the server at address.
	Open(address string) Session
	// Grant gives or renews a range within a session. If the session has ended
	// nothing is sent, and the error's Ended is set.
	Grant(ctx context.Context, address string, session Session, grant shards.Grant) error
	// Release takes a range back from whichever life is at the address.
	Release(ctx context.Context, address string, from, to uint16, token int64) (handover string, err error)
}

// The hosts' own keys.
const (
	ownPrefix    = "cassiasill/"
	leaderKey    = "cassiasill/leader"
	formerKey    = "cassiasill/former-leaders"
	relaysKey    = "cassiasill/relays"
	shardsPrefix = "cassiasill/shards/"
)

// Timing of leadership and ownership.
const (
	// LeaseTTL is the lease of the leader's key. Shorter, a slow store would
	// depose leaders; longer, keys wait longer after the leader's loss.
	LeaseTTL = 1500 * time.Millisecond
	// leaseRenewal leaves two more tries before the lease ends.
	leaseRenewal = 450 * time.Millisecond
	// outageAuthority is how long a leader renews grants after its lease was
	// last confirmed. It covers outages of the store of that length.
	outageAuthority = 14 * time.Second
	// Hold is how long a grant lasts from its arrival. It covers the change of
	// the leader: lease, takeover and one renewal.
	Hold = 3 * time.Second
	// renewal is the interval between grants of a range.
	renewal = time.Second
	// orderTimeout bounds a grant; at its end the connection is reset, so that
	// it arrives within this time or never.
	orderTimeout = 300 * time.Millisecond
	// releaseTimeout is longer: the server answers when running work has ended.
	releaseTimeout = 2 * time.Second
	// clockDrift is by how much a server's clock may measure a hold too long.
	clockDrift = 0.02
	// expiryMargin covers the granularity of timers at both ends.
	expiryMargin = 100 * time.Millisecond
)

// grantExpiry is how long after the last possible sending of a grant its
// server may still use it.
const grantExpiry = time.Duration(float64(Hold)*(1+clockDrift)) + orderTimeout + expiryMargin
