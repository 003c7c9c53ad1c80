// Package configsync keeps the operators' declarations in the store, changes
// them by compare-and-swap and brings every accepted change into force on
// every host.
//
// Layout of the store, below Prefix:
//
//	current/head                the revision counter and the last change
//	current/docs/<kind>/<name>  one document each
//	changes/<id>                one accepted change each, a bounded number
//
// Every change is one transaction. It requires that the head is unmodified and
// that the change's ID is not stored yet. Hence changes are totally ordered, an ID
// is applied at most once, and reading the ID shows whether a change was accepted.
package configsync

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Prefix is the store prefix of all declarations.
const Prefix = "cassiasill/declarations/"

const (
	currentPrefix = Prefix + "current/"
	headKey       = currentPrefix + "head"
	docsPrefix    = currentPrefix + "docs/"
	changesPrefix = Prefix + "changes/"
)

func documentKey(key declaration.Key) string { return docsPrefix + key.String() }

func changeKey(id string) string { return changesPrefix + id }

// head is the value of headKey.
type head struct {
	Revision uint64 `json:"revision"`
	LastID   string `json:"lastId"`
	// Digest is declaration.Digest of all documents; a follower that
	// computes a different digest has missed an event.
	Digest uint64 `json:"digest"`
}

// State is all documents at one revision.
type State struct {
	Revision  uint64
	Documents map[declaration.Key]*declaration.Document
	Digest    uint64
	// headMod is the store's revision of headKey; zero if there is no head.
	headMod int64
	// findings are the validation findings of the documents. They are computed
	// on first use; validated is true from then on.
	findings  []declaration.Finding
	validated bool
}

// Action is what an edit did to a document.
type Action string

// The actions of an edit.
const (
	ActionCreated Action = "created"
	ActionChanged Action = "changed"
	ActionDeleted Action = "deleted"
)

// Accepted is one change in the history.
type Accepted struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"`
	// From is the revision that the change was merged with.
	From  uint64         `json:"from"`
	Edits []AcceptedEdit `json:"edits,omitempty"`
	// Refused marks an ID that was closed before its change was applied. The
	// change can no longer be applied.
	Refused bool `json:"refused,omitempty"`
}

// AcceptedEdit is one document of an accepted change.
type AcceptedEdit struct {
	Document declaration.Key `json:"document"`
	Action   Action          `json:"action"`
	// Seen is the revision of the document on which the operator based the edit.
	Seen   uint64                `json:"seen,omitempty"`
	Fields []string              `json:"fields,omitempty"`
	After  *declaration.Document `json:"after,omitempty"`
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The package's own types of strings, numbers and times always encode.
		panic(err)
	}
	return data
}

func decodeHead(kv store.KeyValue) (head, error) {
	var h head
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return head{}, fmt.Errorf("store key %s: %w", kv.Key, err)
	}
	return h, nil
}

// decodeDocument returns the document of a store key below docsPrefix.
func decodeDocument(kv store.KeyValue) (declaration.Key, *declaration.Document, error) {
	var key declaration.Key
	if err := key.UnmarshalText([]byte(strings.TrimPrefix(kv.Key, docsPrefix))); err != nil {
		return key, nil, fmt.Errorf("store key %s: %w", kv.Key, err)
	}
	d := &declaration.Document{}
	if err := json.Unmarshal(kv.Value, d); err != nil {
		return key, nil, fmt.Errorf("store key %s: %w", kv.Key, err)
	}
	return key, d, nil
}

// decodeState builds the state from all keys below currentPrefix.
func decodeState(kvs []store.KeyValue) (State, error) {
	s := State{Documents: make(map[declaration.Key]*declaration.Document)}
	for _, kv := range kvs {
		if kv.Key == headKey {
			h, err := decodeHead(kv)
			if err != nil {
				return State{}, err
			}
			s.Revision, s.headMod = h.Revision, kv.ModRevision
			continue
		}
		key, d, err := decodeDocument(kv)
		if err != nil {
			return State{}, err
		}
		s.Documents[key] = d
		s.Digest += d.Hash()
	}
	return s, nil
}
