package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Store is the linearizable store that the hosts share. Errors are
// *store.Error.
type Store interface {
	// Era returns the latest era that the store has stated to this host.
	Era() store.Era
	Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error)
	Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error)
	Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) error
	RevokeLease(ctx context.Context, id store.LeaseID) error
	// Poll returns the changes after a revision. It waits for the first change
	// for up to wait.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchBatch, error)
}

// Schema describes entries in the store that are written by others: their keys
// and encodings.
type Schema struct {
	// OperatorPrefix is the prefix of the keys that operators write, ConfigKey among them.
	OperatorPrefix string
	ConfigKey      string
	ServersPrefix  string
	DecodeConfig   func(value []byte, revision int64) (*routes.Config, error)
	DecodeServer   func(kv store.KeyValue) (registry.Server, error)
	// DecodeEvacuation returns the availability zone that an operators' entry evacuates,
	// whatever its value. It returns false if the key is none of an evacuation, and an
	// error if the zone's name is invalid. Nil means that there are no evacuations.
	DecodeEvacuation func(kv store.KeyValue) (zone string, isEvacuation bool, err error)
}

// GrantServer is a server that grants and releases are meant for.
type GrantServer struct {
	ID, Address string
	// HealthPath is the path at which the servers of its service name themselves.
	HealthPath string
}

// Session is a connection to one incarnation of a server. It ends when the
// connection breaks, so nothing sent in it can reach a later incarnation.
type Session interface {
	// Grant grants or renews a range. If the session has ended, nothing is sent and
	// the error's SessionEnded is set. Success means that the server itself has
	// answered.
	Grant(ctx context.Context, grant shards.Grant) error
	// Verify opens the connection and proves that the server itself is at its other
	// end. It gives the server nothing.
	Verify(ctx context.Context) error
	// Close ends the session.
	Close()
}

// GrantClient sends grants and releases of key ranges to servers. Errors are
// *shards.GrantError.
type GrantClient interface {
	// OpenSession returns a new session with the server.
	OpenSession(server GrantServer) Session
	// Release requests the release of a range from any incarnation of the server.
	// Success means that one of its incarnations has answered, which also shows that
	// every earlier one has ended.
	Release(ctx context.Context, server GrantServer, from, to uint16, token int64) (handover string, err error)
}

// Keys in the store that this package writes.
const (
	controlPrefix     = "cassiasill/"
	leaderKey         = "cassiasill/leader"
	formerLeadersKey  = "cassiasill/former-leaders"
	relaysKey         = "cassiasill/relays"
	assignmentsPrefix = "cassiasill/shards/"
	// eraPrefix is followed by the era of the store in which the leader was
	// elected; there is one such key. A write of an earlier era that is applied
	// late expects the key of its era, which a leader elected since has deleted,
	// even if the revisions that it expects were given out again.
	eraPrefix = "cassiasill/era/"
)

func eraKey(era store.Era) string { return eraPrefix + strconv.FormatInt(int64(era), 10) }

// Timing of leadership and ownership. The grant durations ensure that a range
// is reassigned only after no server can still hold it.
const (
	// LeaseTTL is the TTL of the lease of the leader's key. With a shorter one,
	// a slow store would end leaderships; with a longer one, keys stay without
	// renewals for longer after the loss of the leader.
	LeaseTTL = 1500 * time.Millisecond
	// leaseRenewInterval allows two more attempts before the lease expires.
	leaseRenewInterval = 450 * time.Millisecond
	// storeOutageTolerance is how long a leader renews grants after the last
	// renewal of its lease. It covers store outages of that length.
	storeOutageTolerance = 14 * time.Second
	// GrantTTL is how long a grant lasts from its arrival. It covers a change of
	// the leader: expiry of the lease, election and one renewal.
	GrantTTL = 3 * time.Second
	// grantRenewInterval is the interval between grants of a range.
	grantRenewInterval = time.Second
	// grantTimeout bounds a grant. On timeout the connection is reset, so a
	// grant arrives within this time or never.
	grantTimeout = 300 * time.Millisecond
	// releaseTimeout is longer because the server responds only after its
	// running requests have ended.
	releaseTimeout = 2 * time.Second
	// clockDrift is the relative error by which a slow clock may make a server
	// hold a grant too long.
	clockDrift = 0.02
	// expiryMargin covers the granularity of timers on the leader and the
	// server.
	expiryMargin = 100 * time.Millisecond
)

// grantExpiry is how long after the last possible sending of a grant its server
// may still use it.
const grantExpiry = time.Duration(float64(GrantTTL)*(1+clockDrift)) + grantTimeout + expiryMargin
