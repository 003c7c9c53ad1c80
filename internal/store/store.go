// Package store is the narrow interface to the platform's key-value service.
//
// Guarantees that callers may rely on: every write gets a revision larger than
// all before; Get and Range are linearizable; a transaction is applied whole
// or not at all. A watch delivers the events of each key in revision order. It
// may repeat events after a resumption and may end with KindCompacted when its
// revision is no longer kept; it never skips events silently. A write whose
// answer is lost fails with KindAmbiguous: it may have been applied.
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Compare is one condition of a transaction: the key's ModRevision must equal
// ModRevision, where zero means that the key does not exist.
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

// Delete returns an Op that removes key.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// TxnResult tells whether the compares held and at which revision the
// transaction was evaluated.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change that a watch delivers.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch carries events of one or more revisions, complete up to Revision.
type WatchBatch struct {
	Events   []Event
	Revision int64
}

// Watch delivers batches until its context ends or it fails. After Batches is
// closed, Err tells why.
type Watch interface {
	Batches() <-chan WatchBatch
	Err() error
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the key; found is false if it does not exist. The revision
	// is that of the store when it answered.
	Get(ctx context.Context, key string) (kv KeyValue, found bool, revision int64, err error)
	// Range returns all keys with the prefix in key order, and the revision
	// at which they were read.
	Range(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn applies ops if all compares hold.
	Txn(ctx context.Context, compares []Compare, ops []Op) (TxnResult, error)
	// GrantLease creates a lease; keys attached to it are deleted when it ends.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once. A lease that has ended gives KindNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers changes of keys with the prefix from revision from on.
	Watch(ctx context.Context, prefix string, from int64) Watch
}

// Kind classifies a store error.
type Kind int

// The kinds of store errors.
const (
	// KindUnavailable: the request certainly had no effect.
	KindUnavailable Kind = iota + 1
	// KindAmbiguous: a write may or may not have been applied.
	KindAmbiguous
	// KindCompacted: the watch's revision is no longer kept.
	KindCompacted
	// KindNotFound: no such lease.
	KindNotFound
	// KindTooLarge: a value is larger than MaxValueBytes.
	KindTooLarge
)

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable", KindAmbiguous: "ambiguous",
	KindCompacted: "compacted", KindNotFound: "not found", KindTooLarge: "value too large",
}

// String returns the kind in words.
func (k Kind) String() string { return kindNames[k] }

// Error is a failed store operation.
type Error struct {
	Kind Kind
	Op   string
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("store %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
