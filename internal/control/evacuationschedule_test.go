package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/store"
)

// runEvacuationSchedule is runSchedule with an operator who evacuates zones and takes
// evacuations back. At the end only zone a is evacuated. The errors are also hosts that
// don't know that, and keys that a server of the zone has.
func runEvacuationSchedule(t *testing.T, seed uint64, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, seed, options)
		time.Sleep(5 * time.Second)
		for time.Since(c.startedAt) < 40*time.Second {
			zone := string("abc"[c.scheduleRandom.IntN(3)])
			switch c.scheduleRandom.IntN(4) {
			case 0:
				c.evacuate(zone)
			case 1:
				c.takeBack(zone)
			default:
				c.randomFault()
			}
			time.Sleep(time.Duration(c.scheduleRandom.IntN(2000)) * time.Millisecond)
		}
		c.endFaults()
		time.Sleep(time.Second)
		for _, zone := range []string{"a", "b", "c"} {
			c.evacuate(zone) // a restored copy may lack its key
		}
		time.Sleep(time.Second)
		c.takeBack("b")
		c.takeBack("c")
		errors = c.recoverAndCheckZones("a")
	})
	return errors
}

// recoverAndCheckZones is recoverAndClose that also checks the evacuated zone.
func (c *cluster) recoverAndCheckZones(zone string) []string {
	c.group.Go(func() {
		time.Sleep(19 * time.Second)
		held := c.heldIn(zone)
		c.mu.Lock()
		defer c.mu.Unlock()
		if held > 0 {
			c.errors = append(c.errors, fmt.Sprintf("%d positions are held in the evacuated zone", held))
		}
		for _, h := range c.hosts {
			if got := h.node.View().Load().Evacuations.Zones(); !slices.Equal(got, []string{zone}) {
				c.errors = append(c.errors, fmt.Sprintf("%s knows the evacuated zones %v", h.name, got))
			}
		}
	})
	return c.recoverAndClose()
}

// Guards against positions with two owners or without one, and hosts that miss the
// begin or the end of an evacuation, under random faults.
func TestSchedulesWithEvacuations(t *testing.T) {
	requireNoErrors(t, func(seed uint64) []string { return runEvacuationSchedule(t, seed, nil) })
}

// forgetfulStore drops deletions from the polls of operators' keys.
type forgetfulStore struct{ Store }

func (s *forgetfulStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchBatch, error) {
	batch, err := s.Store.Poll(ctx, prefix, after, wait)
	batch.Events = slices.DeleteFunc(batch.Events, func(e store.Event) bool { return e.Deleted && strings.HasPrefix(e.Key, evacuationPrefix) })
	return batch, err
}

// Checks that the schedules with evacuations detect hosts that miss deletions
// or evacuations, or give keys to the zone.
func TestEvacuationSchedulesFindBrokenVariants(t *testing.T) {
	variants := map[string]func(*Node){
		"misses deletions":     func(n *Node) { n.Store = &forgetfulStore{n.Store} },
		"reads no evacuations": func(n *Node) { n.Schema.DecodeEvacuation = nil },
		"knows no servers' zone": func(n *Node) {
			decode := n.Schema.DecodeServer
			n.Schema.DecodeServer = func(kv store.KeyValue) (s registry.Server, err error) {
				s, err = decode(kv)
				s.AvailabilityZone = ""
				return s, err
			}
		},
	}
	for name, broken := range variants {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, func(seed uint64) []string { return runEvacuationSchedule(t, seed, broken) })
		})
	}
}
