// Command standin runs the cases of the review: it starts the project's program as
// separate processes, and the store, the servers and the clients as stand-ins.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run, which may take 120 s.
const maxRun = 110 * time.Second

// deployment is what a case plays with.
type deployment struct {
	ctx     context.Context
	network *network
	store   *store
	hosts   []*host
	runs    *runTable
	record  *record
	// trouble is false in the run without the disruption.
	trouble   bool
	heartbeat time.Duration
	// writeAlways is true if each heartbeat of a server writes its entry.
	writeAlways bool

	mu      sync.Mutex
	servers []*server
}

// cases holds the cases by name.
var cases = map[string]func(*deployment) error{
	"address-reuse": addressReuse,
	"relay-killed":  relayKilled,
	"odd-entry":     oddEntry,
	"reborn":        reborn,
}

func main() {
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory for settings and logs")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *logs == "" {
		fmt.Fprintln(os.Stderr, "usage: standin --logs DIR [--record FILE] CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, *recordFile, *logs))
}

// runCase plays a case and returns the exit code.
func runCase(play func(*deployment) error, recordFile, logs string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	n, err := newNetwork()
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	d := &deployment{ctx: ctx, network: n, store: newStore(), runs: &runTable{runs: make(map[string][]run)}, record: rec,
		trouble: os.Getenv("TROUBLE") != "0", heartbeat: 1500 * time.Millisecond}
	rec.say("disruption: %v", d.trouble)
	listener, err := net.Listen("tcp", n.address(7, storePort))
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	go func() { _ = http.Serve(listener, d.store) }() // ends with the process
	go d.store.expireLeases(ctx)
	defer d.finish()
	if d.hosts, err = newHosts(n, 3, logs, rec); err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	err = play(d)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case rec.isBroken():
		return exitBroken
	case ctx.Err() != nil:
		rec.say("not run to the end: %v", ctx.Err())
		return exitNotRun
	}
	rec.say("the rule held")
	return exitHeld
}

// startHosts starts all hosts and waits until they are ready.
func (d *deployment) startHosts() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return waitUntilReady(d.hosts, 20*time.Second)
}

// startServer starts a server and registers it in the store.
func (d *deployment) startServer(s *server) error {
	s.runs, s.record = d.runs, d.record
	if err := s.start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	g := &registration{store: d.store, heartbeat: d.heartbeat, always: d.writeAlways}
	go g.run(d.ctx, s)
	return nil
}

// waitUntilOwned waits until some server holds each key of the service.
func (d *deployment) waitUntilOwned(service string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); d.wait(100 * time.Millisecond) {
		owned := make([]bool, positions)
		for _, s := range d.allServers() {
			if s.service == service {
				for key, held := range s.heldAt(time.Now()) {
					owned[key] = owned[key] || held
				}
			}
		}
		if !slices.Contains(owned, false) {
			return nil
		}
	}
	return fmt.Errorf("service %s has keys that no server holds", service)
}

// allServers returns the servers that were started, also those that have ended.
func (d *deployment) allServers() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

// finish ends all processes.
func (d *deployment) finish() {
	for _, h := range d.hosts {
		h.finish()
	}
}

// wait sleeps for a time or until the run ends.
func (d *deployment) wait(t time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(t):
	}
}
