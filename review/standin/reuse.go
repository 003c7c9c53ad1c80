package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Services of the case address-reuse, both divided by key.
const (
	catalogue = "huvo11a"
	ledger    = "kafi81c"
)

// Figures of the case address-reuse.
const (
	serversOfEach = 12
	// disruptions is how often a server ends during a run: one of twelve, at last of five.
	// The largest share of replace_with_reuse is 0.35.
	disruptions = 8
	// reuseAfter is the bound reuse_after_s.
	reuseAfter = 2 * time.Second
	// reuseMargin keeps the reuse above the bound.
	reuseMargin = 20 * time.Millisecond
	// bothHoldFor is how long two servers may hold the same keys.
	bothHoldFor = 500 * time.Millisecond
)

// addressReuse: servers of one service end, and after reuse_after_s their addresses go
// to new servers of another service.
func addressReuse(d *deployment) error {
	c := &config{version: 4}
	c.addService(catalogue, true)
	c.addService(ledger, true)
	c.addRoute("/lepu270/", "safe", catalogue, 1.5, 0.6)
	c.addRoute("/fiti832/", "safe", ledger, 1.5, 0.6)
	c.write(d.store)
	var first []*server
	for i := range 2 * serversOfEach {
		service := catalogue
		if i >= serversOfEach {
			service = ledger
		}
		s := &server{id: newID(), service: service, sharded: true, address: d.network.address(50+i, serverPort), work: 20 * time.Millisecond, bodyBytes: 400}
		if err := d.startServer(s); err != nil {
			return err
		}
		first = append(first, s)
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	watch := &holdWatch{record: d.record}
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() { d.sendLookups(stop) })
	group.Go(func() { watch.run(d, stop) })
	d.wait(5 * time.Second)
	for _, service := range []string{catalogue, ledger} {
		if err := d.waitUntilOwned(service); err != nil {
			return err
		}
	}
	for i := range disruptions {
		d.wait(time.Duration(rand.IntN(1000)) * time.Millisecond)
		if d.trouble {
			if err := d.reuseAddress(first[i]); err != nil {
				return err
			}
		}
		d.wait(7 * time.Second)
	}
	close(stop)
	group.Wait()
	return nil
}

// reuseAddress ends a server of the catalogue for good and gives its address to a new
// server of the ledger.
func (d *deployment) reuseAddress(s *server) error {
	s.crash()
	d.record.say("server %s of %s has ended", s.id, s.service)
	d.wait(reuseAfter + reuseMargin)
	next := &server{id: newID(), service: ledger, sharded: true, address: s.address, work: 20 * time.Millisecond, bodyBytes: 400}
	if err := d.startServer(next); err != nil {
		return err
	}
	d.record.say("its address goes to the new server %s of %s", next.id, next.service)
	return nil
}

// newID returns the ID of a new server.
func newID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// sendLookups sends lookups of both services to all hosts.
func (d *deployment) sendLookups(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-d.ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		h, prefix := d.hosts[i%len(d.hosts)], "/lepu270/"
		if i%2 == 1 {
			prefix = "/fiti832/"
		}
		id, key := fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(positions)
		group.Go(func() {
			d.record.add("client sends %s to %s: GET %s key %d", id, h.name, prefix, key)
			got := send(d.ctx, h, id, "GET", prefix+"2f", "", key, 1500*time.Millisecond)
			d.record.add("client gets for %s: %s", id, got)
		})
	}
}

// holdWatch checks that no two servers that are up hold the same key of a service.
type holdWatch struct{ record *record }

// run examines the holds of all servers until stop is closed.
func (h *holdWatch) run(d *deployment, stop <-chan struct{}) {
	type pair struct{ a, b *server }
	since := make(map[pair]time.Time)
	reported := make(map[pair]bool)
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		now := time.Now()
		servers := d.allServers()
		held := make([][]bool, len(servers))
		for i, s := range servers {
			held[i] = s.heldAt(now)
		}
		for i, a := range servers {
			for j, b := range servers[:i] {
				p := pair{b, a}
				key, count := 0, 0
				if a.service == b.service {
					key, count = commonKeys(held[i], held[j])
				}
				if count == 0 {
					delete(since, p)
					continue
				}
				if since[p].IsZero() {
					since[p] = now
					h.record.add("servers %s and %s of %s both hold %d keys, first %d", b.id, a.id, a.service, count, key)
				}
				if now.Sub(since[p]) > bothHoldFor && !reported[p] {
					reported[p] = true
					h.record.violation("OWNER: servers %s and %s of %s, both up, hold the same %d keys (first %d, fences %d and %d) for over %v", b.id, a.id, a.service, count, key, b.fenceOf(key), a.fenceOf(key), bothHoldFor)
				}
			}
		}
	}
}

// commonKeys returns the first key that both hold, and how many there are.
func commonKeys(a, b []bool) (first, count int) {
	if a == nil || b == nil {
		return 0, 0 // one is down
	}
	for key := range a {
		if a[key] && b[key] {
			if count == 0 {
				first = key
			}
			count++
		}
	}
	return first, count
}

// heldAt returns which keys the server holds, nil if it is down.
func (s *server) heldAt(now time.Time) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return nil
	}
	out := make([]bool, positions)
	for key, h := range s.holds {
		out[key] = now.Before(h.until)
	}
	return out
}

// fenceOf returns the fencing token under which the server holds a key.
func (s *server) fenceOf(key int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds[key].fence
}
