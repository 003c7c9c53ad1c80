package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/store/memory"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// serviceTime is the mean time that a stand-in server runs a request.
	serviceTime = 5 * time.Millisecond
	// serverQueue is how many requests a stand-in server lets wait.
	serverQueue = 8
	// archiveBytes is the size of the stand-in archives.
	archiveBytes = 4 << 20
	// loadLag is how old the stand-in servers' load reports are.
	loadLag = time.Second
)

// Deployment is a running deployment.
type Deployment struct {
	options  Options
	store    *memory.Store
	storeURL string
	services []settings.Service
	servers  map[topology.ServerName]*standin.Server
	zones    map[string]topology.AvailabilityZone // of addresses
	hosts    []*devHost
	observer *observer
	closers  []func()
	// stopWatch ends the observation of ownership.
	stopWatch context.CancelFunc
	group     conc.WaitGroup
}

// Run starts the deployment, prints "ready" when every key has an owner, waits
// until ctx ends or Options.For has passed, and prints the summary. It fails
// if a guarantee was broken.
func Run(ctx context.Context, options Options) error {
	if options.Hosts < 1 || options.Hosts > maxHosts {
		return &OptionError{"hosts", fmt.Sprintf("found %d, expected 1 to %d", options.Hosts, maxHosts)}
	}
	ip, port, err := options.address()
	if err != nil {
		return err
	}
	d := &Deployment{
		options: options, store: memory.New(), servers: make(map[topology.ServerName]*standin.Server),
		zones: make(map[string]topology.AvailabilityZone), observer: newObserver(),
	}
	defer d.close()
	if err := d.start(ctx, ip, port); err != nil {
		return err
	}
	return d.wait(ctx)
}

// start brings up store, servers, hosts, control and observation.
func (d *Deployment) start(ctx context.Context, ip string, port int) error {
	if err := d.startStore(ctx, ip); err != nil {
		return err
	}
	if err := d.startServers(ip); err != nil {
		return err
	}
	hosts := d.options.hostList(ip, port)
	for _, h := range hosts {
		d.zones[h.PeerAddress] = h.AvailabilityZone
	}
	for i := range hosts {
		h := newDevHost(d, d.options.hostSettings(ip, port, i, hosts, d.storeURL, d.services), uint64(i))
		d.hosts = append(d.hosts, h)
		if err := h.start(ctx); err != nil {
			return err
		}
	}
	if err := d.serve(ctx, join(ip, port+controlPortOffset), d.control()); err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	d.stopWatch = stop
	d.closers = append(d.closers, stop)
	d.group.Go(func() { d.observer.watch(watchCtx, d.owned) })
	return nil
}

// serve answers at address until the deployment closes.
func (d *Deployment) serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.closers = append(d.closers, func() { _ = server.Close() })
	d.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.options.Log.Error("dev: a stand-in stopped serving", zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

func (d *Deployment) startStore(ctx context.Context, ip string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	d.storeURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: standin.NewStoreServer(d.store.Client("hosts")), ReadHeaderTimeout: 5 * time.Second}
	d.closers = append(d.closers, d.store.Close, func() { _ = server.Close() })
	d.group.Go(func() { _ = server.Serve(listener) })
	return nil
}

// startServers starts a stand-in for every server and notes its address.
func (d *Deployment) startServers(ip string) error {
	for _, service := range d.options.Settings.Services {
		service.Servers = append([]topology.Server(nil), service.Servers...)
		for i := range service.Servers {
			server := &service.Servers[i]
			standIn := standin.NewServer(standin.ServerOptions{
				Name: server.Name, Service: service.Name, DividedByKey: service.DividedByKey,
				KeyHeader: service.KeyHeader, Unchecked: service.Fencing == settings.FencingUnchecked,
				Slots: service.Slots, MaxQueued: serverQueue, MaxConnections: service.Connections,
				ServiceTime: serviceTime, Distribution: standin.DistributionExponential,
				Seed: d.options.Seed + uint64(len(d.servers)), ArchiveBytes: archiveBytes, LoadLag: loadLag,
				PoisonHeader: "Standin-Crash", RestartAfter: 2 * time.Second,
			})
			address, err := standIn.Listen(net.JoinHostPort(ip, "0"))
			if err != nil {
				return err
			}
			server.Address = address
			d.zones[address] = server.AvailabilityZone
			d.servers[server.Name] = standIn
			d.closers = append(d.closers, standIn.Close)
		}
		d.services = append(d.services, service)
	}
	return nil
}

// latency returns the delay of a write from a host in zone to an address. The
// way back is charged to the write as well, because answers are not delayed.
func (d *Deployment) latency(zone topology.AvailabilityZone) func(remote string) time.Duration {
	between := time.Duration(d.options.Settings.Latency.BetweenAvailabilityZones)
	return func(remote string) time.Duration {
		if other, known := d.zones[remote]; known && other != zone {
			return 2 * between
		}
		return 0
	}
}

// owned returns what each server of a service divided by key holds.
func (d *Deployment) owned() []standin.Ownership {
	var out []standin.Ownership
	for _, service := range d.services {
		if !service.DividedByKey {
			continue
		}
		for _, server := range service.Servers {
			out = append(out, d.servers[server.Name].Ownership())
		}
	}
	return out
}

// wait prints "ready", waits for the end and prints the summary.
func (d *Deployment) wait(ctx context.Context) error {
	select {
	case <-d.observer.covered:
		fmt.Fprintln(d.options.Out, "ready")
	case <-ctx.Done():
	}
	var end <-chan time.Time
	if d.options.For > 0 {
		timer := time.NewTimer(d.options.For)
		defer timer.Stop()
		end = timer.C
	}
	select {
	case <-ctx.Done():
	case <-end:
	}
	// The end of the run serves no keys; it must not count as unserved time.
	d.stopWatch()
	var stopping conc.WaitGroup
	for _, h := range d.hosts {
		stopping.Go(h.stop)
	}
	stopping.Wait()
	return d.summarize()
}

func (d *Deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.group.Wait()
}
