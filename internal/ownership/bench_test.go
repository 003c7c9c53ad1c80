package ownership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// BenchmarkHeartbeatRound measures the leader's decisions of one heartbeat
// interval without faults: four ticks and one exchange with every server. The
// bytes are those of the heartbeats as JSON, without transport.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		for _, count := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("servers=%d/slices=%d", servers, count), func(b *testing.B) {
				machines := make(map[topology.ServerName]*fakeServer)
				described := testServers(servers)
				for _, d := range described {
					machines[d.Name] = &fakeServer{incarnation: "1"}
				}
				now := time.Unix(0, 0)
				l := NewLedger(now, LedgerOptions{
					Service: testService, Term: 1, Servers: described,
					Assignment: initialAssignment(testService, described, max(1, count/servers)),
				})
				bytes := 0
				round := func(measure bool) {
					for range 4 {
						now = now.Add(tickInterval)
						l.Tick(now)
					}
					for _, d := range l.Due(now) {
						sent := l.Next(now, d.Name)
						if measure {
							encoded, err := json.Marshal(sent)
							assert.NilError(b, err)
							bytes += len(encoded)
						}
						l.Replied(now, d.Name, sent, machines[d.Name].heartbeat(now.Sub(time.Unix(0, 0)), sent))
					}
				}
				for now.Sub(time.Unix(0, 0)) < 2*granter.GrantTTL {
					round(false)
				}
				round(true)
				assert.Equal(b, len(l.free), 0)
				b.ReportAllocs()
				for b.Loop() {
					round(false)
				}
				b.ReportMetric(float64(bytes), "sent-B/round")
			})
		}
	}
}

// BenchmarkPublishRoutes measures a route table from ledger to JSON; it is
// published only when a range changes its state.
func BenchmarkPublishRoutes(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("slices=%d", count), func(b *testing.B) {
			servers := testServers(100)
			l := NewLedger(time.Unix(0, 0), LedgerOptions{Service: testService, Servers: servers, Assignment: initialAssignment(testService, servers, count/100)})
			for i, g := range l.segments {
				l.detach(g)
				l.attach(g, l.servers[i%len(l.servers)])
				l.setPhase(g, phaseHeld)
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				payload, err := json.Marshal(topology.RouteTable{Service: testService, Routes: l.Routes(time.Unix(9, 0), nil)})
				assert.NilError(b, err)
				size = len(payload)
			}
			b.ReportMetric(float64(size), "B/table")
		})
	}
}
