package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/sketch"
)

// hosts simulates the entry hosts, which count sampled requests and publish the
// counts with a delay.
type hosts struct {
	config   sketch.Config
	counters []*sketch.Counter
	random   *rand.Rand
	start    time.Time
	limit    int
	// published holds the most recently published messages, one per host.
	published [][]byte
}

func newHosts(o Options, seed uint64) *hosts {
	h := &hosts{config: o.Sketch, random: rand.New(rand.NewPCG(seed, 0x4057)), limit: o.MessageBytes, start: time.Unix(0, 0)}
	for range o.Hosts {
		h.counters = append(h.counters, sketch.NewCounter(o.Sketch, h.start))
	}
	return h
}

// count distributes the requests of one second over the hosts. The standard
// deviation of their number is its square root, as for independent arrivals.
func (h *hosts) count(l *load, perSecond float64, servedBy func(key int) bool) {
	n := int(perSecond + h.random.NormFloat64()*sqrt(perSecond))
	for range max(n, 0) {
		k := l.sample(h.random)
		if servedBy(k) {
			h.counters[h.random.IntN(len(h.counters))].Add(l.hashes[k], 1)
		}
	}
}

// publish encodes the counts at the end of the second.
func (h *hosts) publish(second int) error {
	h.published = h.published[:0]
	now := h.start.Add(time.Duration(second+1) * time.Second)
	for _, c := range h.counters {
		message, err := c.Encode(now, h.limit)
		if err != nil {
			return fmt.Errorf("publish load: %w", err)
		}
		h.published = append(h.published, message)
	}
	return nil
}

// view merges the published messages. It returns nil before the first message.
func (h *hosts) view() (*sketch.View, error) {
	if len(h.published) == 0 {
		return nil, nil
	}
	var sum *sketch.Sketch
	for _, message := range h.published {
		s, err := sketch.Decode(message, h.config.HalfLife)
		if err != nil {
			return nil, fmt.Errorf("receive load: %w", err)
		}
		if sum == nil {
			sum = sketch.New(h.config)
		}
		sum.Merge(s)
	}
	return sum.View(), nil
}
