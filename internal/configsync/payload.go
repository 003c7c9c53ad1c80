package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cassiasill/cassiasill/internal/declaration"
)

// The topics through which hosts replicate declarations.
const (
	// Topic carries the latest changes; its version's sequence is the revision.
	Topic = "declarations"
	// SnapshotTopic carries all documents at a revision that is not older than
	// the start of the changes in Topic.
	SnapshotTopic = "declarations/snapshot"
	// VerifiedTopic is published by hosts that watch the store, after they
	// found that the head is the revision that they publish. Hosts that do not
	// receive it read the head from the store themselves.
	VerifiedTopic = "declarations/verified"
	// InForceTopic is the prefix of one topic for each host, named after the
	// host; the payload is an InForce.
	InForceTopic = "inforce/"
)

// Limits of the changes in Topic. When one is exceeded, a new snapshot is
// published.
const (
	maxDeltas     = 64
	maxDeltaBytes = 64 << 10
	// maxSnapshotBytes bounds the decompressed size of a snapshot. It allows
	// several times 10⁴ documents of 1 KB.
	maxSnapshotBytes = 64 << 20
)

// InForce is the revision in force on one host, as the host publishes it.
type InForce struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
}

// payload is the content of Topic.
type payload struct {
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	// Deltas are consecutive: each starts where the one before ends, and the
	// last ends at Revision.
	Deltas []delta `json:"deltas"`
}

// delta is the difference between two revisions. It holds the final content of
// every document that changed in between, so it also applies to a state between
// From and To. The exception is a state with a document that was created after
// From and deleted before To; the digest then differs.
type delta struct {
	From   uint64                  `json:"from"`
	To     uint64                  `json:"to"`
	Put    []*declaration.Document `json:"put,omitempty"`
	Delete []declaration.Key       `json:"delete,omitempty"`
}

// difference returns the delta from before to after.
func difference(before, after State) delta {
	d := delta{From: before.Revision, To: after.Revision}
	for _, key := range slices.SortedFunc(maps.Keys(after.Documents), declaration.Key.Compare) {
		old, now := before.Documents[key], after.Documents[key]
		if old == nil || old.Metadata.Revision != now.Metadata.Revision {
			d.Put = append(d.Put, now)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(before.Documents), declaration.Key.Compare) {
		if after.Documents[key] == nil {
			d.Delete = append(d.Delete, key)
		}
	}
	return d
}

// advance applies the payload to a state and reports whether the result is
// exactly the payload's revision.
func (p payload) advance(s State) (State, bool) {
	next := State{Revision: s.Revision, Documents: maps.Clone(s.Documents), Digest: s.Digest}
	if next.Documents == nil {
		next.Documents = make(map[declaration.Key]*declaration.Document)
	}
	for _, d := range p.Deltas {
		if d.To <= next.Revision {
			continue
		}
		if d.From > next.Revision {
			return State{}, false
		}
		for _, document := range d.Put {
			next.replace(document.Key(), document)
		}
		for _, key := range d.Delete {
			next.replace(key, nil)
		}
		next.Revision = d.To
	}
	return next, next.Revision == p.Revision && next.Digest == p.Digest
}

// catchUp returns the state at the payload's revision. It starts from the current
// state or, if that fails, from the snapshot. It reports whether either succeeded.
func (p payload) catchUp(current State, snapshotData []byte) (State, bool, error) {
	if next, complete := p.advance(current); complete {
		return next, true, nil
	}
	if len(snapshotData) == 0 {
		return State{}, false, nil
	}
	base, err := decodeSnapshot(snapshotData)
	if err != nil {
		return State{}, false, err
	}
	if base.Revision > p.Revision {
		return base, true, nil
	}
	next, complete := p.advance(base)
	return next, complete, nil
}

// replace sets or, with nil, removes a document.
func (s *State) replace(key declaration.Key, d *declaration.Document) {
	if old := s.Documents[key]; old != nil {
		s.Digest -= old.Hash()
	}
	if d == nil {
		delete(s.Documents, key)
		return
	}
	s.Documents[key] = d
	s.Digest += d.Hash()
}

type snapshot struct {
	Revision  uint64                  `json:"revision"`
	Documents []*declaration.Document `json:"documents"`
}

func encodeSnapshot(s State) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(mustMarshal(snapshot{Revision: s.Revision, Documents: declaration.Sorted(s.Documents)}))
	_ = w.Close()
	return b.Bytes()
}

func decodeSnapshot(data []byte) (State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, fmt.Errorf("snapshot of declarations: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return State{}, fmt.Errorf("snapshot of declarations: %w", err)
	}
	var content snapshot
	if err := json.Unmarshal(raw, &content); err != nil {
		return State{}, fmt.Errorf("snapshot of declarations: %w", err)
	}
	s := State{Revision: content.Revision, Documents: make(map[declaration.Key]*declaration.Document, len(content.Documents))}
	for _, d := range content.Documents {
		if d == nil {
			return State{}, fmt.Errorf("snapshot of declarations: empty document")
		}
		s.replace(d.Key(), d)
	}
	return s, nil
}
