// Command standins-2 runs the scripted cases of the second review: it starts the program's
// processes and stand-ins for the platform's store, the servers and the clients.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// run is one run of a case.
type run struct {
	root, dir string
	trouble   bool
	record    *record
	store     *platformStore
	servers   []*server
	hosts     []*host
}

var cases = map[string]func(*run) error{
	"behind": runBehind,
	"memory": runMemory,
	"queue":  runQueue,
	"stop":   runStop,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER, in the repository")
		return exitNotRun
	}
	err := runIn(os.Args[1], os.Args[2])
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
}

func runIn(name, folder string) error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	store, err := startStore()
	if err != nil {
		return err
	}
	r := &run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec, store: store}
	defer func() {
		for _, h := range r.hosts {
			h.kill()
		}
	}()
	err = cases[name](r)
	rec.add("verdict: %v", verdict(err))
	return err
}

func verdict(err error) string {
	if err == nil {
		return "the rule held"
	}
	return err.Error()
}

// route is one route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeout                     float64
	target                      float64 // 0: half of timeout
}

// configure writes the desired state.
func (r *run) configure(version int, services map[string]bool, routes []route) error {
	var list []any
	for name, sharded := range services {
		service := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}
		if sharded {
			service["sharded"], service["warm_s"], service["grants"] = true, 2.0, "call"
		}
		list = append(list, service)
	}
	var paths []any
	for _, x := range routes {
		paths = append(paths, map[string]any{"name": x.name, "prefix": x.prefix, "route_type": x.kind, "timeout_s": x.timeout, "target_latency_s": cmp.Or(x.target, x.timeout/2),
			"priority": 1, "attempts": 2, "service": x.service})
	}
	return r.store.put("op/config", map[string]any{"version": version, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts":  []any{map[string]any{"host": clientHost, "paths": paths}}})
}

// clientHost is the host that clients name.
const clientHost = "jepu9.example"

// startHosts starts n hosts and waits until they are ready.
func (r *run) startHosts(n int) error {
	hosts, err := newHosts(r.dir, r.store.address, n)
	if err != nil {
		return err
	}
	r.hosts = hosts
	for _, h := range hosts {
		if err := h.start(r.root, r.dir); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // dispatchers are known by then
	return nil
}

func (r *run) startServers(n int, service string, sharded bool) error {
	for i := range n {
		s, err := startServer(r.store, r.record, fmt.Sprintf("i-%s-%d", service, i+1), service, sharded)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	return nil
}

// runsOf returns how often a request ran at all servers.
func (r *run) runsOf(id string) (n int) {
	for _, s := range r.servers {
		n += s.ran(id)
	}
	return n
}
