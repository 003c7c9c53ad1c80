package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Timing of the leader's work.
const (
	serversInterval = 400 * time.Millisecond
	// relaysInterval is the shortest time between two writings of the relays.
	relaysInterval = 3 * time.Second
	// speedInterval is the pace at which hosts are told of measured speeds. Those
	// who place requests measure them too, and use what they are told at first.
	speedInterval = 4 * time.Second
	// configWait is how long one call waits for a change of the configuration.
	// A watch can fall silent, so it is short.
	configWait = 900 * time.Millisecond
	// hostWindow is how long a host counts as sharing the work after a sync.
	hostWindow = 3 * time.Second
	// dispatcherWindow is how long after its last sync a host may still place
	// requests for others; a host without news syncs each syncWait.
	dispatcherWindow = 1200 * time.Millisecond
	// tickInterval is the pace of the assignments' work.
	tickInterval = 50 * time.Millisecond
	// formerInterval is the pace of asking former leaders whether they stopped.
	formerInterval = 500 * time.Millisecond
)

// leadership is one term as leader.
type leadership struct {
	node  *Node
	term  int64
	lease store.LeaseID
	began boottime.Instant
	lost  chan struct{}

	mu        sync.Mutex
	reason    string // why it was lost
	confirmed boottime.Instant
	spedAt    boottime.Instant // when hosts were last told of speeds
	former    []leaderRecord   // may still be renewing grants
	// formerEnd is when the last former leader was known to have stopped.
	formerEnd boottime.Instant
	hosts     map[string]peerHost
	// storeReached is when a host last reached the store, as the hosts tell.
	storeReached boottime.Instant
	// successorWanted asks larger hosts to find out whether they reach the
	// store.
	successorWanted bool
	numbers         numbers
	seen            *Snapshot // that numbers belong to
	relays          []string  // addresses
	// storedRelays is what was last written to the store, at relaysAt.
	storedRelays []string
	relaysAt     boottime.Instant
	loads        map[string]*loadMeter
	speeds       *speedMeter
	crashes      *crashTable
	addresses    map[string]string // last known, also of servers that are gone

	managers map[string]*manager // belongs to tick
	group    conc.WaitGroup
	woken    chan struct{}
}

// lose ends the leadership.
func (l *leadership) lose(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != "" {
		return
	}
	l.reason = reason
	close(l.lost)
}

func (l *leadership) isLost() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

// mayRenew reports whether grants may be sent now. It is asked right before
// each is written, on a clock that counts suspension.
func (l *leadership) mayRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason == "" && l.node.Clock().Sub(l.confirmed) < l.node.timing.outageAuthority
}

// othersStopped returns the instant from which on no former leader renews any
// more. Until each has said so, it is the end of the longest authority.
func (l *leadership) othersStopped() boottime.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.node.timing.assumeStopped {
		return l.began
	}
	if len(l.former) == 0 {
		return l.formerEnd
	}
	return l.began.Add(l.node.timing.formerWait)
}

// run does the leader's work until the leadership is lost or ctx ends.
func (l *leadership) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := l.node
	if servers := n.view.Load().Servers; servers != nil {
		n.tracker.Seed(servers)
	}
	// Only a listing tells which servers of another reader's list are gone: that
	// reader may have kept some after an outage.
	n.reader = serverReader{}
	group := &l.group
	group.Go(func() { l.keepLease(ctx) })
	group.Go(func() { l.every(ctx, serversInterval, func() { l.readServers(ctx) }) })
	group.Go(func() { l.followConfig(ctx) })
	group.Go(func() { l.every(ctx, formerInterval, func() { l.askFormer(ctx) }) })
	group.Go(func() { l.assign(ctx) })
	select {
	case <-ctx.Done():
		l.lose("host is stopping")
	case <-l.lost:
	}
	cancel()
	group.Wait()
	l.resign()
	n.Log.Info("control: no longer leading", zap.Int64("term", l.term), zap.String("reason", l.reason))
}

// wake makes the assignments' work run soon.
func (l *leadership) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// assign runs the assignments' work at each tick and when woken.
func (l *leadership) assign(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.woken:
		}
		l.tick(ctx)
	}
}

func (l *leadership) tick(ctx context.Context) {
	n := l.node
	now := n.Clock()
	own := &fleetpb.SyncRequest{}
	n.Reports.take(own)
	l.ingest(own, now)
	snapshot := n.view.Load()
	l.mu.Lock()
	blocked := l.crashes.blocked(now)
	if snapshot.Servers != nil {
		for id, s := range snapshot.Servers.Servers {
			l.addresses[id] = s.Address
		}
	}
	l.mu.Unlock()
	n.view.setBlocked(blocked)
	if snapshot.Config == nil {
		return
	}
	for name, service := range snapshot.Config.Services {
		if !service.KeyOwned {
			continue
		}
		if l.managers[name] == nil {
			l.managers[name] = newManager(l, name)
		}
		l.managers[name].step(ctx)
	}
}

// addressOf returns the last known address of a server.
func (l *leadership) addressOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[id]
}

// load returns the load of a service's positions.
func (l *leadership) load(service string, now boottime.Instant) shards.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	meter := l.loads[service]
	if meter == nil {
		return shards.Load{}
	}
	return meter.load(now)
}

// knownSpeeds returns the measured speeds by server.
func (l *leadership) knownSpeeds() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speeds.all(l.node.Clock())
}

func (l *leadership) every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	work()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}

// keepLease renews the lease. While the store does not answer, the leadership
// goes on until outageAuthority ends.
func (l *leadership) keepLease(ctx context.Context) {
	l.every(ctx, leaseRenewal, func() {
		began := l.node.Clock()
		err := l.node.Store.KeepAlive(ctx, l.lease)
		l.node.noteStore(err)
		var storeErr *store.Error
		switch {
		case err == nil:
			l.mu.Lock()
			l.confirmed = began
			l.mu.Unlock()
		case errors.As(err, &storeErr) && storeErr.Kind == store.KindNotFound:
			l.lose("lease ended")
		case !l.mayRenew():
			l.lose("authority ended while the store did not answer")
		}
	})
}

func (l *leadership) readServers(ctx context.Context) {
	n := l.node
	now := n.Clock()
	l.mu.Lock()
	speeds := make(map[string]float64)
	if now.Sub(l.spedAt) >= speedInterval {
		l.spedAt = now
		speeds = l.speeds.all(now)
	}
	hosts := 1
	for host, peer := range l.hosts {
		if now.Sub(peer.seen) > hostWindow {
			delete(l.hosts, host)
			continue
		}
		hosts++
	}
	dispatchers := l.chooseDispatchers(now)
	l.chooseRelays()
	succession := l.succession(now)
	l.successorWanted = succession.wanted
	n.tracker.Reached(l.storeReached)
	l.mu.Unlock()
	if succession.ready {
		l.lose("a larger host is there to lead")
		return
	}
	n.view.setHosts(hosts, dispatchers)
	n.noteLargest(succession.largest)
	for id, speed := range speeds {
		n.tracker.SetSpeed(id, speed)
	}
	n.readServers(ctx)
	l.storeRelays(ctx, now)
}

// relayRecord is the value of the relays' key.
type relayRecord struct {
	// Hosts is the number of hosts, by which each takes its share of the servers
	// until a leader tells it.
	Hosts  int      `json:"hosts"`
	Relays []string `json:"relays"`
}

// storeRelays writes the relays to the store, where hosts look for them after a
// restart of all. Lists that differ are rare, and an old one does no harm.
func (l *leadership) storeRelays(ctx context.Context, now boottime.Instant) {
	relays := l.relayAddresses()
	if now.Sub(max(l.relaysAt, l.began)) < relaysInterval || slices.Equal(relays, l.storedRelays) {
		return
	}
	l.relaysAt = now
	value, err := json.Marshal(relayRecord{Hosts: l.node.view.Load().Hosts, Relays: relays})
	if err != nil {
		return // strings always encode
	}
	result, err := l.node.Store.Txn(ctx, []store.Compare{{Key: leaderKey, ModRevision: l.term}}, []store.Op{store.Put(relaysKey, value)})
	l.node.noteStore(err)
	if err != nil || !result.Succeeded {
		l.node.Log.Info("control: relays not written", zap.Int64("term", l.term), zap.Error(err))
		return
	}
	l.storedRelays = relays
}

// chooseDispatchers names a live host for each service.
func (l *leadership) chooseDispatchers(now boottime.Instant) map[string]string {
	config := l.node.config()
	if config == nil {
		return nil
	}
	hosts := []dutyHost{{address: l.node.DispatchAddress, capacity: l.node.Capacity, leads: true}}
	for _, peer := range l.hosts {
		if peer.dispatch != "" && now.Sub(peer.seen) < dispatcherWindow {
			hosts = append(hosts, dutyHost{address: peer.dispatch, capacity: peer.capacity})
		}
	}
	return assignDispatchers(slices.Collect(maps.Keys(config.Services)), hosts)
}

// succession is what a leader thinks of leaving the lead to another host.
type succession struct {
	largest float64 // capacity of the largest live host
	wanted  bool    // that host should lead instead
	ready   bool    // one that should reaches the store
}

// succession compares the live hosts with this one.
func (l *leadership) succession(now boottime.Instant) succession {
	s := succession{largest: l.node.Capacity}
	for _, peer := range l.hosts {
		s.largest = max(s.largest, peer.capacity)
		if fitForDuties(l.node.Capacity, peer.capacity) || now.Sub(peer.since) < giveWayAfter {
			continue
		}
		s.wanted = true
		s.ready = s.ready || peer.storeAt != 0 && now.Sub(peer.storeAt) < staleAfter
	}
	return s
}

// followConfig waits for changes of the configuration. After any doubt it reads
// the configuration itself.
func (l *leadership) followConfig(ctx context.Context) {
	n := l.node
	after := int64(0)
	for ctx.Err() == nil {
		if after == 0 {
			if after = n.readConfig(ctx); after == 0 {
				n.pause(ctx, retryPause)
				continue
			}
		}
		began := n.Clock()
		batch, err := n.Store.Poll(ctx, n.Schema.ConfigKey, after, configWait)
		n.noteStore(err)
		if err != nil {
			after = 0
			n.pause(ctx, retryPause/4)
			continue
		}
		for _, event := range batch.Events {
			if event.Key == n.Schema.ConfigKey && !event.Deleted {
				n.takeConfig(event.KeyValue, began)
			}
		}
		n.view.setConfig(nil, nil, began)
		after = max(after, batch.Revision)
	}
}
