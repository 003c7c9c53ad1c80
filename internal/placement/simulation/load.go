// Package simulation drives placements through seeded loads and measures them.
// A placement sees only what hosts would see: sampled counts through sketches,
// late; the figures come from the true load.
package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Shift replaces hot keys by others.
type Shift struct {
	// Every is the time between replacements of one rank, and HotSet the
	// number of ranks, visited in random order. After Every times HotSet the
	// whole hot set has changed.
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

// EventKind tells what happens to the servers.
type EventKind string

// The kinds of events.
const (
	EventCrash  EventKind = "crash"
	EventDrain  EventKind = "drain"
	EventReturn EventKind = "return"
	EventJoin   EventKind = "join"
)

// Scenario is a load and what happens to it.
type Scenario struct {
	Name string
	// Exponent is that of the Zipf distribution of keys; 0 is even.
	Exponent float64
	Shift    Shift
	// HotKey adds one key with this share of a server's fair share, which
	// moves to another key every HotKeyEvery.
	HotKey      float64
	HotKeyEvery time.Duration
	// AbsorbAt is when three catalogues are absorbed, each with AbsorbLoad of
	// the base load, on keys that the placement then has on its first three
	// servers: the worst case for each placement.
	AbsorbAt   time.Duration
	AbsorbLoad float64
	Events     []Event
	// Joining is the number of servers that are absent at the start.
	Joining int
}

// Scenarios returns all loads.
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

// guideBits sizes the index into the cumulative weights.
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

// newLoad draws keys and gives them weights by rank.
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

// index rebuilds the cumulative weights.
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

// sample draws one key.
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

// change applies what the scenario has for this second and reports whether the
// weights changed.
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

// absorb adds three catalogues with a Zipf distribution on the given keys.
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
