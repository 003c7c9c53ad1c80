package control

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/host"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/store/memory"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Options sets up one run.
type Options struct {
	Hosts   int
	Servers int
	// Zones is the number of availability zones.
	Zones int
	// Unchecked makes the servers not check fencing tokens, so that hosts
	// confirm the age of their routes all the time.
	Unchecked bool
	Settle    time.Duration
	Measure   time.Duration
	Seed      uint64
}

// Result is what one run measured, per second of the measured time.
type Result struct {
	Hosts   int `json:"hosts"`
	Servers int `json:"servers"`
	// CPU is the processor time of the whole process, stand-ins included, per
	// host, in percent of a core.
	CPU float64 `json:"cpuPercentPerHost"`
	// Heap is the live heap of the process per host in MB.
	Heap float64 `json:"heapMBPerHost"`
	// PeerBytes are the bytes per second that a host sends to peers.
	PeerBytes    float64 `json:"peerBytesPerHost"`
	PeerBytesMax float64 `json:"peerBytesMax"`
	// HeartbeatBytes are the bytes per second that the leader sends to servers.
	HeartbeatBytes float64 `json:"heartbeatBytes"`
	StoreReads     float64 `json:"storeReads"`
	StoreWrites    float64 `json:"storeWrites"`
	Watches        int     `json:"watches"`
}

// Run measures one deployment without callers.
func Run(ctx context.Context, o Options) (Result, error) {
	var out Result
	err := withDeployment(ctx, o, func(ctx context.Context, d *deployment) error {
		var err error
		out, err = window(ctx, o, d.store, d.counts, d.heapBefore)
		return err
	})
	return out, err
}

// deployment is a running deployment.
type deployment struct {
	store      *memory.Store
	base       *settings.Settings
	hosts      []*host.Host
	counts     []*traffic
	heapBefore uint64
}

// withDeployment runs measure once the hosts have settled, then ends them.
func withDeployment(ctx context.Context, o Options, measure func(context.Context, *deployment) error) error {
	d := &deployment{store: memory.New(), base: settings.Default()}
	defer d.store.Close()
	servers, err := d.startServers(o)
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	if err != nil {
		return err
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d.heapBefore = before.HeapAlloc
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := d.startHosts(ctx, o, &group); err != nil {
		return err
	}
	if err := pause.For(ctx, o.Settle); err != nil {
		return err
	}
	return measure(ctx, d)
}

// startServers starts the stand-in servers and describes them in the settings.
func (d *deployment) startServers(o Options) ([]*standin.Server, error) {
	var servers []*standin.Server
	d.base.Deployment = "control"
	service := settings.Service{Name: serviceName, DividedByKey: true, Fencing: settings.FencingChecked, Slots: 2, Connections: 1000}
	if o.Unchecked {
		service.Fencing = settings.FencingUnchecked
	}
	for z := range o.Zones {
		d.base.AvailabilityZones = append(d.base.AvailabilityZones, settings.AvailabilityZone{Name: zone(z)})
	}
	for i := range o.Servers {
		name := topology.ServerName(fmt.Sprintf("keys-%d", i+1))
		s := standin.NewServer(standin.ServerOptions{Name: name, Service: service.Name, DividedByKey: true, Slots: 2, Seed: o.Seed})
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
		service.Servers = append(service.Servers, topology.Server{Name: name, Service: service.Name, AvailabilityZone: zone(i % o.Zones), Address: address})
	}
	d.base.Services = []settings.Service{service}
	return servers, nil
}

// serviceName is the only service of the deployment.
const serviceName topology.ServiceName = "keys"

func zone(i int) topology.AvailabilityZone {
	return topology.AvailabilityZone(fmt.Sprintf("zone-%d", i))
}

// startHosts runs the hosts until ctx ends.
func (d *deployment) startHosts(ctx context.Context, o Options, group *conc.WaitGroup) error {
	hosts := hostList(o)
	peers := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		peers[h.PeerAddress] = true
	}
	for i, self := range hosts {
		s := *d.base
		s.Hosts = hosts
		s.Host = settings.Host{Name: self.Name, AvailabilityZone: self.AvailabilityZone,
			Addresses: settings.Addresses{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: self.PeerAddress}}
		count := &traffic{}
		h, err := host.New(host.Options{
			Settings: &s, Log: zap.NewNop(), Seed: o.Seed + uint64(i), Store: d.store.Client(string(self.Name)),
			Network: countedNetwork{count, func(a string) bool { return peers[a] }},
		})
		if err != nil {
			return err
		}
		d.hosts, d.counts = append(d.hosts, h), append(d.counts, count)
		group.Go(func() { _ = h.Run(ctx, nil) })
	}
	return nil
}

// window counts over the measured time.
func window(ctx context.Context, o Options, store *memory.Store, counts []*traffic, heapBefore uint64) (Result, error) {
	storeBefore, cpuBefore, start := store.CallCounts(), cpuTime(), time.Now()
	peersBefore, serversBefore := totals(counts)
	if err := pause.For(ctx, o.Measure); err != nil {
		return Result{}, err
	}
	seconds := time.Since(start).Seconds()
	cpu := (cpuTime() - cpuBefore).Seconds()
	storeAfter := store.CallCounts()
	peersAfter, serversAfter := totals(counts)
	var heap runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&heap)
	out := Result{Hosts: o.Hosts, Servers: o.Servers, Watches: storeAfter.OpenWatches}
	out.StoreReads, out.StoreWrites = storeAfter.RatesSince(storeBefore)
	out.CPU = 100 * cpu / seconds / float64(o.Hosts)
	out.Heap = (float64(heap.HeapAlloc) - float64(heapBefore)) / 1e6 / float64(o.Hosts)
	var rates []float64
	for i := range peersAfter {
		rates = append(rates, float64(peersAfter[i]-peersBefore[i])/seconds)
		out.PeerBytes += rates[i] / float64(o.Hosts)
		out.HeartbeatBytes = max(out.HeartbeatBytes, float64(serversAfter[i]-serversBefore[i])/seconds)
	}
	out.PeerBytesMax = slices.Max(rates)
	return out, nil
}

func totals(counts []*traffic) (peers, servers []int64) {
	for _, c := range counts {
		peers = append(peers, c.peers.Load())
		servers = append(servers, c.servers.Load())
	}
	return peers, servers
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peerPort is the port of every host's peer address; each host has a loopback
// address of its own.
const peerPort = 19380

// hostList spreads the hosts over the availability zones.
func hostList(o Options) []topology.Host {
	var out []topology.Host
	for i := range o.Hosts {
		out = append(out, topology.Host{
			Name: topology.HostName(fmt.Sprintf("host-%d", i+1)), AvailabilityZone: zone(i % o.Zones),
			PeerAddress: fmt.Sprintf("127.1.%d.%d:%d", i/250, i%250+1, peerPort),
		})
	}
	return out
}
