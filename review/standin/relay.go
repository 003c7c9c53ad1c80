package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Services of the case relay-killed.
const (
	lookups = "huvo11a"
	archive = "wuno96b"
)

// Figures of the case relay-killed.
const (
	lookupServers  = 22
	archiveServers = 24
	// crashedLookupServers of lookupServers is 0.136; the largest share of srv_crash in the site is 0.14.
	crashedLookupServers = 3
	// downFor is for how long they are down.
	downFor = 4500 * time.Millisecond
	// rounds is how often the disruption comes.
	rounds = 8
	// minWhole is the least number of whole downloads of a run that says anything.
	minWhole = 100
	// archiveBytes and archiveTime are the size of a download and the time that its
	// server takes to send it.
	archiveBytes = 200_000
	archiveTime  = 2400 * time.Millisecond
	// archiveTimeout is the time limit of a download and of its route.
	archiveTimeout = 4 * time.Second
)

// relayKilled: servers of one service crash, and a process of the system is killed
// while another service sends downloads without a length.
func relayKilled(d *deployment) error {
	c := &config{version: 4}
	c.addService(lookups, true)
	c.addService(archive, false)
	c.addRoute("/lepu270/", "safe", lookups, 1.5, 0.6)
	c.addRoute("/fiti832/", "download", archive, archiveTimeout.Seconds(), 2.5)
	c.write(d.store)
	var keyed []*server
	for i := range lookupServers {
		s := &server{id: newID(), service: lookups, sharded: true, address: d.network.address(50+i, serverPort), work: 5 * time.Millisecond, bodyBytes: 400}
		if err := d.startServer(s); err != nil {
			return err
		}
		keyed = append(keyed, s)
	}
	for i := range archiveServers {
		s := &server{id: newID(), service: archive, address: d.network.address(150+i, serverPort), work: 20 * time.Millisecond, bodyBytes: archiveBytes, unframed: true, streamFor: archiveTime}
		if err := d.startServer(s); err != nil {
			return err
		}
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	check := &downloadCheck{d: d}
	// Most clients are at the first host: the platform chooses it by a hash.
	for i, interval := range []time.Duration{170 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond} {
		clients.Go(func() { check.sendDownloads(d.hosts[i], interval, stop) })
	}
	clients.Go(func() { d.sendKeyedLookups(d.hosts[0], 8*time.Millisecond, stop) })
	d.wait(5 * time.Second)
	if err := d.waitUntilOwned(lookups); err != nil {
		return err
	}
	for range rounds {
		if d.trouble {
			if err := d.crashAndKill(keyed); err != nil {
				return err
			}
		}
		d.wait(6 * time.Second)
		if d.ctx.Err() != nil {
			break
		}
	}
	close(stop)
	clients.Wait()
	if check.whole.Load() < minWhole {
		return fmt.Errorf("only %d whole downloads", check.whole.Load())
	}
	d.record.say("%d downloads whole, %d not, %d truncated ones were passed on as success", check.whole.Load(), check.failed.Load(), check.truncated.Load())
	return nil
}

// crashAndKill crashes servers of the lookups, kills a process of the system shortly
// afterwards, and starts all of them again.
func (d *deployment) crashAndKill(keyed []*server) error {
	order := rand.Perm(len(keyed))[:crashedLookupServers]
	for _, i := range order {
		keyed[i].crash()
	}
	d.record.say("%d of %d servers of %s crash", crashedLookupServers, len(keyed), lookups)
	crashed := time.Now()
	d.wait(time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
	h := d.hosts[1+rand.IntN(2)]
	h.kill()
	d.record.say("host %s is killed", h.name)
	d.wait(restartDelay)
	if err := h.start(); err != nil {
		return err
	}
	d.wait(time.Until(crashed.Add(downFor)))
	for _, i := range order {
		old := keyed[i]
		keyed[i] = &server{id: newID(), service: old.service, sharded: true, address: old.address, work: old.work, bodyBytes: old.bodyBytes}
		if err := d.startServer(keyed[i]); err != nil {
			return err
		}
	}
	return nil
}

// sendKeyedLookups sends lookups for random keys to a host.
func (d *deployment) sendKeyedLookups(h *host, interval time.Duration, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-d.ctx.Done():
			return
		case <-time.After(interval):
		}
		id, key := newAttempt(), rand.IntN(positions)
		group.Go(func() {
			d.record.add("client sends %s to %s: lookup of key %d", id, h.name, key)
			d.record.add("client gets for %s: %s", id, send(d.ctx, h, id, http.MethodGet, "/lepu270/2f", "", key, 1500*time.Millisecond))
		})
	}
}

// newAttempt returns the ID of a new client attempt.
func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// downloadCheck compares downloads with what the servers sent.
type downloadCheck struct {
	d                        *deployment
	whole, failed, truncated atomic.Int64
}

// sendDownloads sends downloads to a host until stop is closed.
func (c *downloadCheck) sendDownloads(h *host, interval time.Duration, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-c.d.ctx.Done():
			return
		case <-time.After(interval):
		}
		id := newAttempt()
		group.Go(func() {
			c.d.record.add("client sends %s to %s: download", id, h.name)
			got := send(c.d.ctx, h, id, http.MethodGet, "/fiti832/2f", "", -1, archiveTimeout)
			c.d.record.add("client gets for %s: %s", id, got)
			c.check(id, h, got)
		})
	}
}

// check applies the rule: a success has the server's signature and its whole body.
func (c *downloadCheck) check(id string, h *host, got outcome) {
	if got.status < 200 || got.status > 299 {
		c.failed.Add(1)
		return
	}
	for _, r := range c.d.runs.of(id) {
		if r.signature == got.signature && r.bodyHash == got.bodyHash && r.length == got.length {
			c.whole.Add(1)
			return
		}
	}
	c.truncated.Add(1)
	c.d.record.violation("MIXED: %s from %s is a success with %d bytes, signature %q; the server's body has %d bytes", id, h.name, got.length, got.signature, archiveBytes)
}
