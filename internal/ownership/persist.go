package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// chunkSlices keeps a chunk near 200 KB, so that a change of one slice
	// rewrites little and a chunk stays well below store.MaxValueBytes.
	chunkSlices = 1500
	// chunkWriters bounds concurrent calls, far below the store's rates.
	chunkWriters = 8
	// loadAttempts bounds the retries of a load during which the assignment
	// was replaced.
	loadAttempts = 4
)

// manifest is the value that is compared and swapped. Chunks are written under
// new keys before it and never changed, so that a reader of a manifest sees
// the slices of one version or misses a chunk and starts over.
type manifest struct {
	// ID is unique to the write and resolves a lost answer of the store.
	ID      string               `json:"id"`
	Service topology.ServiceName `json:"service"`
	Version topology.Version     `json:"version"`
	Chunks  []chunk              `json:"chunks"`
}

type chunk struct {
	Key   string        `json:"key"`
	First topology.Hash `json:"first"`
	Sum   uint64        `json:"sum"`
}

// stored is a manifest with its revision in the store.
type stored struct {
	manifest
	revision int64
}

// assignments reads and writes assignments in the store.
type assignments struct {
	store store.Store
	newID func() string
	// noReadBack takes a lost answer for success; only tests set it.
	noReadBack bool
}

func prefix(service topology.ServiceName) string { return "assignment/" + string(service) + "/" }

// ManifestKey is the store key that is compared and swapped for service.
func ManifestKey(service topology.ServiceName) string { return prefix(service) + "manifest" }

func (p *assignments) manifest(ctx context.Context, service topology.ServiceName) (*stored, error) {
	kv, found, _, err := p.store.Get(ctx, ManifestKey(service))
	if err != nil || !found {
		return &stored{}, err
	}
	out := &stored{revision: kv.ModRevision}
	if err := json.Unmarshal(kv.Value, &out.manifest); err != nil {
		return nil, fmt.Errorf("assignment manifest of %s: %w", service, err)
	}
	return out, nil
}

// load returns the assignment of service, nil if there is none, and what to
// pass to the next write.
func (p *assignments) load(ctx context.Context, service topology.ServiceName) (*topology.Assignment, *stored, error) {
	for range loadAttempts {
		m, err := p.manifest(ctx, service)
		if err != nil || m.revision == 0 {
			return nil, m, err
		}
		parts, complete, err := p.chunks(ctx, m)
		if err != nil {
			return nil, nil, err
		}
		if !complete {
			continue
		}
		a := &topology.Assignment{Service: service, Version: m.Version, Slices: slices.Concat(parts...)}
		return a, m, a.Validate()
	}
	return nil, nil, fmt.Errorf("assignment of %s: replaced during each of %d reads", service, loadAttempts)
}

func (p *assignments) chunks(ctx context.Context, m *stored) (parts [][]topology.Slice, complete bool, err error) {
	parts = make([][]topology.Slice, len(m.Chunks))
	missing := make([]bool, len(m.Chunks))
	group := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(chunkWriters)
	for i, c := range m.Chunks {
		group.Go(func() error {
			kv, found, _, err := p.store.Get(ctx, c.Key)
			missing[i] = !found
			if err != nil || !found {
				return err
			}
			return json.Unmarshal(kv.Value, &parts[i])
		})
	}
	err = group.Wait()
	return parts, !slices.Contains(missing, true), err
}

// write replaces the assignment described by before. It reports applied only
// if the write is known to have been applied. If it is not, the caller loads
// again: with an error, the write may still take effect.
func (p *assignments) write(ctx context.Context, before *stored, next *topology.Assignment) (after *stored, applied bool, err error) {
	after = &stored{manifest: manifest{ID: p.newID(), Service: next.Service, Version: next.Version}}
	values, err := p.encode(before, after, next.Slices)
	if err != nil {
		return nil, false, err
	}
	group := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(chunkWriters)
	written := make([]store.Op, 0, len(values))
	for key, value := range values {
		written = append(written, store.Delete(key))
		group.Go(func() error { return p.writeChunk(ctx, key, value) })
	}
	if err := group.Wait(); err != nil {
		return nil, false, err
	}
	value, err := json.Marshal(after.manifest)
	if err != nil {
		return nil, false, err
	}
	key := ManifestKey(next.Service)
	result, err := p.store.Txn(ctx, []store.Compare{{Key: key, ModRevision: before.revision}}, []store.Op{store.Put(key, value)})
	switch {
	case err == nil && !result.Succeeded:
		p.discard(ctx, written)
		return nil, false, nil
	case err == nil:
		after.revision = result.Revision
	case !ambiguous(err):
		p.discard(ctx, written)
		return nil, false, err
	case !p.noReadBack:
		now, readErr := p.manifest(ctx, next.Service)
		if readErr != nil || now.ID != after.ID {
			return nil, false, errors.Join(err, readErr)
		}
		after = now
	}
	p.discard(ctx, replaced(before, after))
	return after, true, nil
}

// encode fills the chunks of after and returns the values that must be
// written. Chunks keep the bounds they had before, so that most stay the same.
func (p *assignments) encode(before, after *stored, all []topology.Slice) (map[string][]byte, error) {
	values := make(map[string][]byte)
	old := before.Chunks
	for len(all) > 0 {
		for len(old) > 1 && old[1].First <= all[0].Range.First {
			old = old[1:]
		}
		end := len(all)
		if len(old) > 1 {
			end, _ = slices.BinarySearchFunc(all, old[1].First, func(s topology.Slice, h topology.Hash) int {
				if s.Range.First < h {
					return -1
				}
				return 1
			})
		}
		if end > 2*chunkSlices || len(old) == 0 {
			end = min(end, chunkSlices)
		}
		value, err := json.Marshal(all[:end])
		if err != nil {
			return nil, err
		}
		c := chunk{First: all[0].Range.First, Sum: xxhash.Sum64(value)}
		if len(old) > 0 && old[0].First == c.First && old[0].Sum == c.Sum {
			c.Key = old[0].Key
		} else {
			c.Key = fmt.Sprintf("%schunk/%s/%d", prefix(after.Service), after.ID, len(after.Chunks))
			values[c.Key] = value
		}
		after.Chunks = append(after.Chunks, c)
		all = all[end:]
	}
	return values, nil
}

// writeChunk creates a chunk under its unique key. A lost answer is resolved
// by reading the key.
func (p *assignments) writeChunk(ctx context.Context, key string, value []byte) error {
	_, err := p.store.Txn(ctx, []store.Compare{{Key: key}}, []store.Op{store.Put(key, value)})
	if err == nil || !ambiguous(err) {
		return err
	}
	_, found, _, readErr := p.store.Get(ctx, key)
	if readErr == nil && found {
		return nil
	}
	return errors.Join(err, readErr)
}

// replaced returns the deletions of the chunks that after no longer names.
func replaced(before, after *stored) []store.Op {
	kept := make(map[string]bool, len(after.Chunks))
	for _, c := range after.Chunks {
		kept[c.Key] = true
	}
	var out []store.Op
	for _, c := range before.Chunks {
		if !kept[c.Key] {
			out = append(out, store.Delete(c.Key))
		}
	}
	return out
}

// discard deletes chunks that no manifest names. A failure leaves garbage,
// which wastes space but is never read.
func (p *assignments) discard(ctx context.Context, deletions []store.Op) {
	if len(deletions) > 0 {
		_, _ = p.store.Txn(ctx, nil, deletions)
	}
}

func ambiguous(err error) bool {
	var failure *store.Error
	return errors.As(err, &failure) && failure.Kind == store.KindAmbiguous
}
