// Package store defines the interface to the platform's key-value service.
//
// Callers may rely on these guarantees. Every write gets a higher revision than
// all writes before it. Get and Range are linearizable. Transactions are atomic.
// A watch delivers the events of each key in revision order. It may repeat events
// after it is resumed, and it ends with KindCompacted if its revision has been
// compacted, but it never skips events silently. A write whose response is lost
// fails with KindAmbiguous, because it may have been applied.
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's service
// stores.
const MaxValueBytes = 1 << 20

// KeyValue is one key with its value, revisions and lease.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Compare is one condition of a transaction: the key's modification revision must
// equal ModRevision. Zero means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one write of a transaction.
type Op struct {
	Key    string
	Value  []byte
	Delete bool
	Lease  LeaseID
}

// Put returns an Op that writes value at key.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Delete returns an Op that deletes key.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// TxnResult is the result of a transaction. Succeeded is true if all compares
// held; Revision is the revision at which they were evaluated or, if the
// transaction wrote something, the revision of its writes.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change of a key that a watch delivers.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch holds the events of one or more revisions. With it, the watch has
// delivered all events up to Revision.
type WatchBatch struct {
	Events   []Event
	Revision int64
}

// Watch delivers batches until its context ends or it fails. Err returns the
// reason; it may be called only after the channel Batches is closed.
type Watch interface {
	Batches() <-chan WatchBatch
	Err() error
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the key; found is false if it does not exist. The revision
	// is that of the store at the time of the read.
	Get(ctx context.Context, key string) (kv KeyValue, found bool, revision int64, err error)
	// Range returns all keys with the prefix in key order, and the revision
	// at which they were read.
	Range(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn applies ops if all compares hold.
	Txn(ctx context.Context, compares []Compare, ops []Op) (TxnResult, error)
	// GrantLease creates a lease. The keys attached to it are deleted when it
	// expires or is revoked.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once. It fails with KindNotFound if the lease has
	// expired or was revoked.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of keys with the prefix, starting with those
	// of revision from.
	Watch(ctx context.Context, prefix string, from int64) Watch
}

// Kind classifies a store error.
type Kind int

// The kinds of store errors.
const (
	// KindUnavailable means that the request had no effect.
	KindUnavailable Kind = iota + 1
	// KindAmbiguous means that a write may or may not have been applied.
	KindAmbiguous
	// KindCompacted means that the revision of the watch has been compacted.
	KindCompacted
	// KindNotFound means that the lease does not exist.
	KindNotFound
	// KindTooLarge means that a value is larger than MaxValueBytes.
	KindTooLarge
)

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable", KindAmbiguous: "ambiguous",
	KindCompacted: "compacted", KindNotFound: "not found", KindTooLarge: "value too large",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Error is a failed store operation.
type Error struct {
	Kind Kind
	Op   string
	Err  error
}

// Error returns the operation, the kind and the underlying error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("store %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Err }
