package sketch_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/sketch"
	"github.com/cassiasill/cassiasill/internal/sketch/sketchpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// TestMain fixes the seed of the property tests. The flag -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var config = sketch.Config{Cells: 64, Keys: 16, HalfLife: 5 * time.Second}

func position(key int) topology.Hash {
	return topology.Hash(rand.New(rand.NewPCG(uint64(key), 1)).Uint64())
}

// Guards against counts outside the documented bounds, heavy keys that are not
// tracked and load that is lost, also after sketches of several hosts are
// merged.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trueCounts := map[topology.Hash]float64{}
		sum := sketch.New(config)
		total := 0.0
		for range rapid.IntRange(1, 4).Draw(t, "hosts") {
			host := sketch.New(config)
			spread := rapid.IntRange(2, 300).Draw(t, "spread")
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 0, 400).Draw(t, "requests") {
				// The product of two draws is skewed toward low keys.
				h := position(k % spread * (k >> 10 % spread) % spread)
				host.Add(h, 1)
				trueCounts[h]++
				total++
			}
			sum.Merge(host)
		}
		bound := total / float64(config.Keys)
		listed := map[topology.Hash]bool{}
		for _, k := range sum.View().HeavyKeys() {
			listed[k.Hash] = true
			assert.Assert(t, k.Load >= trueCounts[k.Hash]-1e-6, "count %v of %v is too low", k.Load, trueCounts[k.Hash])
			assert.Assert(t, k.Load-k.Error <= trueCounts[k.Hash]+1e-6, "count %v with error %v of %v", k.Load, k.Error, trueCounts[k.Hash])
			assert.Assert(t, k.Error <= bound+1e-6, "error %v, bound %v", k.Error, bound)
		}
		for h, n := range trueCounts {
			// A key must be listed if its error, which is at most bound, cannot
			// exceed half of its count.
			assert.Assert(t, listed[h] || n <= 2*bound+1e-6, "key with %v of %v requests is not listed", n, total)
		}
		assert.Assert(t, math.Abs(sum.View().Load(topology.FullRange)-total) < 1e-6)
	})
}

// Guards against rates that depend on the time since counting started, and
// against load that is attributed to the wrong range.
func TestRates(t *testing.T) {
	subject := sketch.New(sketch.DefaultConfig())
	random := rand.New(rand.NewPCG(7, 7))
	hot := topology.Hash(1) << 60
	for range 40 {
		for range 1000 {
			subject.Add(topology.Hash(random.Uint64()), 1)
			subject.Add(hot, 0.25)
		}
		subject.Decay(time.Second)
	}
	view := subject.View()
	quarter := topology.Range{First: hot + 1, Last: hot + 1<<62}
	// The tolerance is five standard deviations of the decayed count of a
	// quarter of the ring, at 250 per second over 7.2 s.
	assertWithin(t, view.Load(quarter), 250, 5*math.Sqrt(250/7.2))
	assertWithin(t, view.Load(topology.Range{First: hot, Last: hot}), 250, 25)
	assertWithin(t, view.Load(topology.FullRange), 1250, 25)
}

// Guards against a message above its size limit, and against heavy keys or load
// that are lost in encoding.
func TestWire(t *testing.T) {
	subject := sketch.New(sketch.DefaultConfig())
	random := rand.New(rand.NewPCG(3, 3))
	for range 30_000 {
		subject.Add(topology.Hash(random.Uint64()), 1)
	}
	for key := range 66 {
		subject.Add(position(key), 300)
	}
	subject.Decay(time.Second)
	for _, limit := range []int{400, 1000, 4096, 16 << 10} {
		data, err := subject.Encode(limit)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= limit, "%d bytes, limit %d", len(data), limit)
		decoded, err := sketch.Decode(data, 5*time.Second)
		assert.NilError(t, err)
		total := subject.View().Load(topology.FullRange)
		// Rounding changes each cell by at most 1/32 of the mean cell.
		assertWithin(t, decoded.View().Load(topology.FullRange), total, total/32)
		if limit >= 4096 {
			for key := range 66 {
				h := position(key)
				assertWithin(t, decoded.View().Load(topology.Range{First: h, Last: h}), subject.View().Load(topology.Range{First: h, Last: h}), 0.01)
			}
		}
	}
}

// Guards against a malformed message that is accepted or causes a panic.
func TestDecodeRejects(t *testing.T) {
	for name, message := range map[string]*sketchpb.Sketch{
		"no cells":         {},
		"three cells":      {Cells: []uint32{1, 2, 3}},
		"missing counts":   {Cells: []uint32{1, 2}, Keys: []uint64{1}},
		"infinite quantum": {Cells: []uint32{1, 2}, Quantum: float32(math.Inf(1))},
		"negative window":  {Cells: []uint32{1, 2}, WindowSeconds: -1},
		"error too high":   {Cells: []uint32{1, 2}, Keys: []uint64{1}, Counts: []float32{1}, Errors: []float32{2}},
		"doubled key":      {Cells: []uint32{1, 2}, Keys: []uint64{1, 1}, Counts: []float32{1, 1}, Errors: []float32{0, 0}},
	} {
		data, err := proto.Marshal(message)
		assert.NilError(t, err)
		_, err = sketch.Decode(data, time.Second)
		assert.Assert(t, err != nil, name)
	}
	_, err := sketch.Decode([]byte{0xff}, time.Second)
	assert.Assert(t, err != nil)
}

// Guards against an allocation for each counted request.
func TestCounterAllocatesNothing(t *testing.T) {
	subject := sketch.NewCounter(sketch.DefaultConfig(), time.Now())
	random := rand.New(rand.NewPCG(5, 5))
	assert.Equal(t, testing.AllocsPerRun(20_000, func() { subject.Add(topology.Hash(random.Uint64()), 1) }), 0.0)
}

// BenchmarkCounter measures one counted request. Most keys are new to the
// counter, which is the most expensive case.
func BenchmarkCounter(b *testing.B) {
	subject := sketch.NewCounter(sketch.DefaultConfig(), time.Now())
	random := rand.New(rand.NewPCG(5, 5))
	b.ReportAllocs()
	for b.Loop() {
		subject.Add(topology.Hash(random.Uint64()), 1)
	}
}

func assertWithin(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "got %v, want %v ± %v", got, want, tolerance)
}
