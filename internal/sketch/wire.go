package sketch

import (
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiasill/cassiasill/internal/sketch/sketchpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// quantaPerCell is the mean value of an encoded cell. At this value most
	// cells take one byte, and rounding changes a cell by at most 1/32 of the
	// mean cell.
	quantaPerCell = 16
	// bytesPerKey is the encoded size of a position with its count and error.
	bytesPerKey = 8 + 4 + 4
	// headerBytes bounds the size of the other fields of an encoded message.
	headerBytes = 32
	// maxDecodedCells bounds the memory taken by a received message.
	maxDecodedCells = 1 << 16
)

// Encode returns the sketch in the wire format in at most limit bytes; limit
// must be at least 256. Half of the bytes are for the heavy keys, by descending
// count. Pairs of cells are merged until the message fits.
func (s *Sketch) Encode(limit int) ([]byte, error) {
	message := &sketchpb.Sketch{WindowSeconds: float32(s.windowSeconds)}
	entries := slices.Clone(s.keys.entries)
	sortByCount(entries)
	for _, e := range entries[:min(len(entries), (limit-headerBytes)/2/bytesPerKey)] {
		message.Keys = append(message.Keys, uint64(e.hash))
		message.Counts = append(message.Counts, float32(e.count))
		message.Errors = append(message.Errors, float32(e.error))
	}
	for cells := s.cells; ; cells = mergeCellPairs(cells) {
		message.Quantum = float32(s.total / float64(len(cells)*quantaPerCell))
		message.Cells = make([]uint32, len(cells))
		for i, c := range cells {
			if message.Quantum > 0 {
				message.Cells[i] = uint32(math.Round(c / float64(message.Quantum)))
			}
		}
		if proto.Size(message) <= limit {
			return proto.Marshal(message)
		}
		if len(cells) <= 2 {
			return nil, fmt.Errorf("sketch: limit of %d bytes is too small", limit)
		}
	}
}

// Decode returns the sketch that another host encoded as data. It uses the
// half-life of this host and tracks as many keys as were sent.
func Decode(data []byte, halfLife time.Duration) (*Sketch, error) {
	message := &sketchpb.Sketch{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	n := len(message.Cells)
	if n < 2 || n > maxDecodedCells || bits.OnesCount(uint(n)) != 1 {
		return nil, fmt.Errorf("sketch: invalid number of cells: %d", n)
	}
	if len(message.Counts) != len(message.Keys) || len(message.Errors) != len(message.Keys) {
		return nil, fmt.Errorf("sketch: %d keys with %d counts and %d errors", len(message.Keys), len(message.Counts), len(message.Errors))
	}
	quantum, window := float64(message.Quantum), float64(message.WindowSeconds)
	if !isValidCount(quantum) || !isValidCount(window) {
		return nil, fmt.Errorf("sketch: invalid quantum %v or window %v", quantum, window)
	}
	s := New(Config{Cells: n, Keys: len(message.Keys), HalfLife: halfLife})
	s.windowSeconds = window
	for i, c := range message.Cells {
		s.cells[i] = float64(c) * quantum
		s.total += s.cells[i]
	}
	entries := make([]entry, 0, len(message.Keys))
	for i, h := range message.Keys {
		e := entry{hash: topology.Hash(h), count: float64(message.Counts[i]), error: float64(message.Errors[i])}
		if !isValidCount(e.count) || !isValidCount(e.error) || e.error > e.count {
			return nil, fmt.Errorf("sketch: key %016x has invalid count %v or error %v", h, e.count, e.error)
		}
		entries = append(entries, e)
	}
	s.keys.setEntries(entries)
	if len(s.keys.indexByHash) != len(entries) {
		return nil, fmt.Errorf("sketch: a key is listed twice")
	}
	return s, nil
}

// isValidCount reports whether x is finite and not negative.
func isValidCount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
