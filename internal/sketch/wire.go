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
	// quantaPerCell is the mean value of an encoded cell: most cells then take
	// one byte, and rounding adds at most 1/32 of the mean cell's count.
	quantaPerCell = 16
	// bytesPerKey is the encoded size of a position with count and error.
	bytesPerKey = 8 + 4 + 4
	// headerBytes bounds the rest of the encoded message.
	headerBytes = 32
	// maxDecodedCells bounds the memory that a received message can take.
	maxDecodedCells = 1 << 16
)

// Encode returns the wire form in at most limit bytes, which must be 256 or
// more. Half is for the heavy keys, the highest first; cells are joined until
// they fit.
func (s *Sketch) Encode(limit int) ([]byte, error) {
	message := &sketchpb.Sketch{WindowSeconds: float32(s.window)}
	entries := slices.Clone(s.keys.entries)
	sortByCount(entries)
	for _, e := range entries[:min(len(entries), (limit-headerBytes)/2/bytesPerKey)] {
		message.Keys = append(message.Keys, uint64(e.hash))
		message.Counts = append(message.Counts, float32(e.count))
		message.Errors = append(message.Errors, float32(e.error))
	}
	for cells := s.cells; ; cells = coarser(cells) {
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
			return nil, fmt.Errorf("sketch: %d bytes are too few", limit)
		}
	}
}

// Decode returns the sketch in data, another host's wire form, with this host's
// half-life. It holds as many keys as were sent.
func Decode(data []byte, halfLife time.Duration) (*Sketch, error) {
	message := &sketchpb.Sketch{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	n := len(message.Cells)
	if n < 2 || n > maxDecodedCells || bits.OnesCount(uint(n)) != 1 {
		return nil, fmt.Errorf("sketch: %d cells", n)
	}
	if len(message.Counts) != len(message.Keys) || len(message.Errors) != len(message.Keys) {
		return nil, fmt.Errorf("sketch: %d keys with %d counts and %d errors", len(message.Keys), len(message.Counts), len(message.Errors))
	}
	quantum, window := float64(message.Quantum), float64(message.WindowSeconds)
	if !finite(quantum) || !finite(window) {
		return nil, fmt.Errorf("sketch: quantum %v, window %v", quantum, window)
	}
	s := New(Config{Cells: n, Keys: len(message.Keys), HalfLife: halfLife})
	s.window = window
	for i, c := range message.Cells {
		s.cells[i] = float64(c) * quantum
		s.total += s.cells[i]
	}
	entries := make([]entry, 0, len(message.Keys))
	for i, h := range message.Keys {
		e := entry{hash: topology.Hash(h), count: float64(message.Counts[i]), error: float64(message.Errors[i])}
		if !finite(e.count) || !finite(e.error) || e.error > e.count {
			return nil, fmt.Errorf("sketch: key %016x with count %v, error %v", h, e.count, e.error)
		}
		entries = append(entries, e)
	}
	s.keys.replace(entries)
	if len(s.keys.slots) != len(entries) {
		return nil, fmt.Errorf("sketch: a key is listed twice")
	}
	return s, nil
}

// finite reports whether x is a usable count.
func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
