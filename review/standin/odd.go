package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case odd-entry.
const (
	oddServers = 6
	oddRounds  = 4
	// unnamed is a service that no desired state names.
	unnamed = "zu77c-staging"
)

// oddEntry: another writer leaves an entry with a service that isn't named at the key of
// a server. The entry is that of a server of the other writer.
func oddEntry(d *deployment) error {
	d.writeAlways = true
	c := &config{version: 4}
	c.addService(catalogue, true)
	c.addRoute("/lepu270/", "safe", catalogue, 1.5, 0.6)
	c.write(d.store)
	var servers []*server
	for i := range oddServers {
		s := &server{id: newID(), service: catalogue, sharded: true, address: d.network.address(50+i, serverPort), work: 20 * time.Millisecond, bodyBytes: 400}
		if err := d.startServer(s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	other := &server{id: newID(), service: unnamed, sharded: true, address: d.network.address(90, serverPort), work: 20 * time.Millisecond, bodyBytes: 400, runs: d.runs, record: d.record}
	if err := other.start(); err != nil {
		return err
	}
	born := time.Now()
	if err := d.startHosts(); err != nil {
		return err
	}
	watch := &holdWatch{record: d.record}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { d.sendCatalogueLookups(stop) })
	group.Go(func() { watch.run(d, stop) })
	d.wait(5 * time.Second)
	if err := d.waitUntilOwned(catalogue); err != nil {
		return err
	}
	for i := range oddRounds {
		d.wait(time.Duration(rand.IntN(1000)) * time.Millisecond)
		if d.trouble {
			d.store.put("servers/"+servers[i].id, entryOf(other, born, 7, 0))
			d.record.say("another writer leaves the entry of a server of %s at the key of %s", unnamed, servers[i].id)
		}
		d.wait(8 * time.Second)
	}
	close(stop)
	group.Wait()
	return nil
}

// sendCatalogueLookups sends lookups of random keys to all hosts.
func (d *deployment) sendCatalogueLookups(stop <-chan struct{}) {
	var group sync.WaitGroup
	for _, h := range d.hosts {
		group.Go(func() { d.sendKeyedLookups(h, 60*time.Millisecond, stop) })
	}
	group.Wait()
}
