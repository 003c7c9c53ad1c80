package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case reborn.
const (
	rebornServers = 20
	// rebornCount of rebornServers is the share of 0.2 of srv_cut.
	rebornCount = 4
	// rebornCut is how long the servers are partitioned from the store.
	rebornCut = 2500 * time.Millisecond
	// rebornRounds is how often the disruption comes.
	rebornRounds = 8
	// startTime is the time that a server takes to start.
	startTime = 100 * time.Millisecond
	// closeShare is the share of a server's answers with Connection: close.
	closeShare = 0.1
)

// reborn: servers are partitioned from the store, crash behind the cut and start again
// under the IDs that they had.
func reborn(d *deployment) error {
	c := &config{version: 4}
	c.addService(catalogue, true)
	c.addRoute("/lepu270/", "safe", catalogue, 1.5, 0.6)
	c.write(d.store)
	history := &fenceHistory{record: d.record}
	servers := make([]*server, rebornServers)
	start := func(i int, id string) error {
		servers[i] = &server{id: id, service: catalogue, sharded: true, address: d.network.address(50+i, serverPort), work: 20 * time.Millisecond, bodyBytes: 400,
			closeShare: closeShare, fenceHistory: history, runs: d.runs, record: d.record}
		return servers[i].start()
	}
	for i := range servers {
		if err := start(i, newID()); err != nil {
			return err
		}
		d.store.put("servers/"+servers[i].id, entryOf(servers[i], time.Now(), 1, 0))
	}
	d.servers = servers
	if err := d.startHosts(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { d.sendCatalogueLookups(stop) })
	d.wait(5 * time.Second)
	if err := d.waitUntilOwned(catalogue); err != nil {
		return err
	}
	for range rebornRounds {
		d.wait(time.Duration(rand.IntN(1000)) * time.Millisecond)
		if !d.trouble {
			d.wait(rebornCut + 6*time.Second)
			continue
		}
		cut := rand.Perm(rebornServers)[:rebornCount]
		born := make(map[int]time.Time)
		for _, i := range cut {
			servers[i].crash()
		}
		d.record.say("%d of %d servers are partitioned from the store and crash", rebornCount, rebornServers)
		d.wait(startTime)
		for _, i := range cut {
			if err := start(i, servers[i].id); err != nil {
				return err
			}
			born[i] = time.Now()
		}
		d.wait(rebornCut)
		for _, i := range cut {
			d.store.put("servers/"+servers[i].id, entryOf(servers[i], born[i], 1, 0))
		}
		d.record.say("the partition ends")
		d.wait(6 * time.Second)
	}
	close(stop)
	group.Wait()
	return nil
}

// fenceHistory knows under which fencing tokens the servers of a service have had each
// key. Each start of a server is a server of its own.
type fenceHistory struct {
	record *record
	mu     sync.Mutex
	keys   [positions]struct {
		highest *server // which had the key under the highest token
		fence   int64
		others  int64 // highest token of any other
	}
}

// check records a grant. It is a violation if the token isn't above all under which
// others had the key.
func (h *fenceHistory) check(s *server, from, to int, fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	broken, first := 0, 0
	for key := from; key <= to; key++ {
		k := &h.keys[key]
		others := k.fence
		if k.highest == s {
			others = k.others
		}
		if fence <= others {
			if broken == 0 {
				first = key
			}
			broken++
		}
		switch {
		case k.highest == s:
			k.fence = max(k.fence, fence)
		case fence > k.fence:
			k.highest, k.others, k.fence = s, k.fence, fence
		default:
			k.others = max(k.others, fence)
		}
	}
	if broken > 0 {
		h.record.violation("OWNER: server %s takes %d keys (first %d) with fence %d, under which an earlier start of a server had them", s.id, broken, first, fence)
	}
}
