// Package simulation runs placements under seeded loads and measures them. A
// placement sees only what a leader would see: delayed sketches of sampled counts.
// The figures are computed from the true load.
package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Shift replaces hot keys by other keys over time.
type Shift struct {
	// Every is the time between two replacements, each of one rank. HotSet is
	// the number of ranks that are replaced, in random order. The whole hot set
	// has changed after Every times HotSet.
	Every  time.Duration
	HotSet int
}

// Event changes the fleet.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Servers are indexes of servers.
	Servers []int
	// Zone selects all servers of an availability zone if Servers is empty.
	Zone int
}

// EventKind is the kind of change that an event makes to its servers.
type EventKind string

// The kinds of events.
const (
	EventCrash  EventKind = "crash"
	EventDrain  EventKind = "drain"
	EventReturn EventKind = "return"
	EventJoin   EventKind = "join"
)

// Scenario is a load with its changes over time and the events of the fleet.
type Scenario struct {
	Name string
	// Exponent is the exponent of the Zipf distribution of keys; 0 is even.
	Exponent float64
	Shift    Shift
	// HotKey is an additional load on one key, relative to the fair share of a
	// server. It moves to another key every HotKeyEvery.
	HotKey      float64
	HotKeyEvery time.Duration
	// AbsorbAt is the time at which three catalogues are added, each with
	// AbsorbLoad times the base load. Their keys are at that time on the first
	// three servers, which is the worst case for each placement.
	AbsorbAt   time.Duration
	AbsorbLoad float64
	Events     []Event
	// Joining is the number of servers that are absent at the start.
	Joining int
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	fleet := []Event{
		{At: 6 * time.Minute, Kind: EventCrash, Servers: []int{1}},
		{At: 9 * time.Minute, Kind: EventReturn, Servers: []int{1}},
		{At: 13 * time.Minute, Kind: EventDrain, Servers: []int{4}},
		{At: 16 * time.Minute, Kind: EventReturn, Servers: []int{4}},
		{At: 19 * time.Minute, Kind: EventJoin, Servers: []int{-1}},
		{At: 23 * time.Minute, Kind: EventCrash, Zone: 2},
		{At: 26 * time.Minute, Kind: EventReturn, Zone: 2},
	}
	return []Scenario{
		{Name: "even"},
		{Name: "zipf-0.9", Exponent: 0.9},
		{Name: "zipf-1.0", Exponent: 1},
		{Name: "zipf-1.2", Exponent: 1.2},
		{Name: "zipf-1.0-shift", Exponent: 1, Shift: Shift{Every: 10 * time.Second, HotSet: 66}},
		{Name: "hot-key", Exponent: 0.9, HotKey: 0.6, HotKeyEvery: 3 * time.Minute},
		{Name: "absorbed", Exponent: 0.9, AbsorbAt: 6 * time.Minute, AbsorbLoad: 0.1},
		{Name: "fleet", Exponent: 0.9, Events: fleet, Joining: 1},
	}
}

// guideBits is the base-2 logarithm of the size of the index into the cumulative
// weights.
const guideBits = 16

// load is the true load: keys sorted by position with their weights.
type load struct {
	hashes  []topology.Hash
	weights []float64
	prefix  []float64 // cumulative weights
	guide   []int32   // first key of each part of the cumulative weight
	byRank  []int32   // key index by rank
	random  *rand.Rand
	nextHot []int // ranks still to replace in this round
	hotKey  int   // key with the additional load, or -1
	hotLoad float64
}

// newLoad generates random keys and assigns weights to them by rank.
func newLoad(s Scenario, keys int, seed uint64) *load {
	random := rand.New(rand.NewPCG(seed, 0x10ad))
	l := &load{random: random, hotKey: -1, weights: make([]float64, keys)}
	for range keys {
		l.hashes = append(l.hashes, topology.Hash(random.Uint64()))
	}
	slices.Sort(l.hashes)
	for rank, k := range random.Perm(keys) {
		l.byRank = append(l.byRank, int32(k))
		l.weights[k] = math.Pow(float64(rank+1), -s.Exponent)
	}
	l.index()
	return l
}

// index rebuilds the cumulative weights and the index into them.
func (l *load) index() {
	if l.prefix == nil {
		l.prefix = make([]float64, len(l.weights)+1)
		l.guide = make([]int32, 1<<guideBits+1)
	}
	for i, w := range l.weights {
		l.prefix[i+1] = l.prefix[i] + w
	}
	k := 0
	for g := range l.guide {
		for k < len(l.weights)-1 && l.prefix[k+1] <= l.total()*float64(g)/(1<<guideBits) {
			k++
		}
		l.guide[g] = int32(k)
	}
}

func (l *load) total() float64 { return l.prefix[len(l.prefix)-1] }

// sample returns a random key index, chosen by weight.
func (l *load) sample(random *rand.Rand) int {
	u := random.Float64()
	g := int(u * (1 << guideBits))
	lo, hi := int(l.guide[g]), int(l.guide[g+1])
	target := u * l.total()
	for lo < hi {
		mid := (lo + hi) / 2
		if l.prefix[mid+1] <= target {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// hottest returns the highest weight.
func (l *load) hottest() float64 { return slices.Max(l.weights) }

// change applies the scenario's load changes of this second and reports whether
// the weights changed.
func (l *load) change(s Scenario, second, servers int) bool {
	at := time.Duration(second) * time.Second
	changed := false
	if s.Shift.HotSet > 0 && second > 0 && at%s.Shift.Every == 0 {
		if len(l.nextHot) == 0 {
			l.nextHot = l.random.Perm(s.Shift.HotSet)
		}
		hot := l.nextHot[0]
		l.nextHot = l.nextHot[1:]
		cold := s.Shift.HotSet + l.random.IntN(len(l.byRank)-s.Shift.HotSet)
		l.swap(hot, cold)
		changed = true
	}
	if s.HotKey > 0 && at%s.HotKeyEvery == 0 {
		if l.hotKey >= 0 {
			l.weights[l.hotKey] -= l.hotLoad
		} else {
			l.hotLoad = l.total() * s.HotKey / float64(servers)
		}
		l.hotKey = l.random.IntN(len(l.weights))
		l.weights[l.hotKey] += l.hotLoad
		changed = true
	}
	if changed {
		l.index()
	}
	return changed
}

// swap exchanges the keys of two ranks.
func (l *load) swap(a, b int) {
	i, j := l.byRank[a], l.byRank[b]
	l.weights[i], l.weights[j] = l.weights[j], l.weights[i]
	l.byRank[a], l.byRank[b] = j, i
}

// absorb adds the load of three catalogues with a Zipf distribution to the given
// keys.
func (l *load) absorb(s Scenario, keys [3][]int) {
	base := l.total()
	for _, list := range keys {
		l.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		sum := 0.0
		for rank := range list {
			sum += math.Pow(float64(rank+1), -s.Exponent)
		}
		for rank, k := range list {
			l.weights[k] += base * s.AbsorbLoad * math.Pow(float64(rank+1), -s.Exponent) / sum
		}
	}
	l.index()
}
