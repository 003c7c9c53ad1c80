package control

import (
	"context"
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
	// serversReadInterval is the interval at which the leader reads the
	// servers.
	serversReadInterval = 400 * time.Millisecond
	// speedUpdateInterval is the interval at which hosts receive the measured
	// speeds. Dispatchers measure speeds too and use the received ones only at
	// first.
	speedUpdateInterval = 4 * time.Second
	// configPollWait is how long one poll waits for a change of the operators'
	// entries, and configPollGrace how much later its answer may come. They are short
	// because a watch can stop delivering events without an error, and because each
	// answer confirms the entries for all hosts.
	configPollWait  = 300 * time.Millisecond
	configPollGrace = 250 * time.Millisecond
	// minConfigListTimeout bounds a listing of the operators' entries, whose connection
	// may be silent too. It doubles with each failure, for a slow store.
	minConfigListTimeout = 400 * time.Millisecond
	maxConfigListTimeout = 1600 * time.Millisecond
	// hostWindow is how long after its last sync a host counts as live.
	hostWindow = 3 * time.Second
	// dispatcherWindow is how long after its last sync a host may be a
	// dispatcher. A host without updates syncs at least every syncWait.
	dispatcherWindow = 1200 * time.Millisecond
	// tickInterval is the interval at which the assignments are evaluated.
	tickInterval = 50 * time.Millisecond
	// formerQueryInterval is the interval at which former leaders are asked
	// whether they have stopped.
	formerQueryInterval = 500 * time.Millisecond
	// minRateLimitsInterval is the minimum time between two updates of the hosts
	// about rate limits, which a server may change with each response.
	minRateLimitsInterval = 500 * time.Millisecond
)

// leadership is the state of one term as leader.
type leadership struct {
	node      *Node
	term      int64
	lease     store.LeaseID
	startedAt boottime.Instant
	ended     chan struct{}
	// formerHostCount is the number of live hosts before this term; 0 if unknown.
	formerHostCount int

	mu               sync.Mutex
	endReason        string // why it ended; empty while it lasts
	leaseConfirmedAt boottime.Instant
	speedsSentAt     boottime.Instant // when speeds were last sent to hosts
	formerLeaders    []leaderRecord   // may still be renewing grants
	// formerStoppedAt is the latest instant at which a former leader was found
	// to have stopped, at first the start of the campaign.
	formerStoppedAt boottime.Instant
	hosts           map[string]peerHost
	// storeReachedAt is the latest successful call of any other host to the
	// store.
	storeReachedAt boottime.Instant
	// successorWanted asks larger hosts to verify that they reach the store.
	successorWanted   bool
	versions          snapshotVersions
	versionedSnapshot *Snapshot // the snapshot that versions describe
	relays            []string  // addresses
	reachingServers   []string  // addresses of hosts that are not cut off from servers
	// storedRelays is the last list written to the store, at relaysStoredAt.
	storedRelays   []string
	relaysStoredAt boottime.Instant
	loads          map[string]*loadMeter
	speeds         *speedMeter
	crashes        *crashTable
	addresses      map[string]string // last known by server, including removed servers

	managers         map[string]*assignmentManager // by service; used only by tick
	recovery         *recovery                     // used only by tick
	rateLimitsSentAt boottime.Instant              // used only by tick
	group            conc.WaitGroup
	wakeups          chan struct{}
}

// stepDown ends the leadership. Only the first reason is kept.
func (l *leadership) stepDown(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != "" {
		return
	}
	l.endReason = reason
	close(l.ended)
}

func (l *leadership) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// era returns the era of the store in which this host was elected.
func (l *leadership) era() store.Era { return store.EraOf(l.term) }

// conditions returns the conditions under which this leadership is still the
// latest in the store.
func (l *leadership) conditions() []store.Compare {
	return []store.Compare{{Key: leaderKey, ModRevision: l.term}, {Key: eraKey(l.era()), ModRevision: l.term}}
}

// mayRenew reports whether grants may be sent now. It is called right before
// each grant is sent. Its clock includes time in which the machine was
// suspended.
func (l *leadership) mayRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason == "" && l.node.Clock().Sub(l.leaseConfirmedAt) < l.node.timing.storeOutageTolerance
}

// formerLeadersStoppedAt returns the instant from which on no former leader
// renews grants. Until each has confirmed that it stopped, that is the end of
// the longest time for which a former leader may renew without its lease.
func (l *leadership) formerLeadersStoppedAt() boottime.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.node.timing.assumeFormerStopped {
		return l.startedAt
	}
	if len(l.formerLeaders) == 0 {
		return l.formerStoppedAt
	}
	return l.startedAt.Add(l.node.timing.formerLeaderWait)
}

// run does the leader's work until the leadership or ctx ends.
func (l *leadership) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := l.node
	if snapshot := n.view.Load(); snapshot.Servers != nil {
		n.tracker.Seed(snapshot.Servers, snapshot.ServersConfirmedAt, snapshot.ServersGap)
	}
	// A list read by another host may still hold servers that were removed
	// during an outage. Only a new listing shows which servers exist.
	n.reader = serverReader{}
	group := &l.group
	group.Go(func() { l.keepLease(ctx) })
	group.Go(func() { l.runPeriodically(ctx, serversReadInterval, func() { l.refreshServers(ctx) }) })
	group.Go(func() { l.followConfig(ctx) })
	group.Go(func() { l.runPeriodically(ctx, formerQueryInterval, func() { l.queryFormerLeaders(ctx) }) })
	group.Go(func() { l.runAssignments(ctx) })
	select {
	case <-ctx.Done():
		l.stepDown("host is stopping")
	case <-l.ended:
	}
	cancel()
	group.Wait()
	l.revokeLease()
	n.Log.Info("control: no longer leading", zap.Int64("term", l.term), zap.String("reason", l.endReason))
}

// wake triggers an evaluation of the assignments.
func (l *leadership) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// runAssignments evaluates the assignments at each tick and after each wake.
func (l *leadership) runAssignments(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wakeups:
		}
		l.tick(ctx)
	}
}

// tick applies this host's own reports and lets each service's manager update
// its assignment.
func (l *leadership) tick(ctx context.Context) {
	n := l.node
	if n.Store.Era() != l.era() {
		l.stepDown("the store was restored from an older copy")
		return
	}
	now := n.Clock()
	if n.CutOff() && l.canHandOver(now) {
		l.stepDown("cut off from the servers")
		return
	}
	ownReport := &fleetpb.SyncRequest{}
	n.Reports.drainInto(ownReport)
	l.recordReport(ownReport, now)
	n.markLeaving(n.Reports.takeLeaving())
	snapshot := n.view.Load()
	l.mu.Lock()
	blocked := l.crashes.blockedFingerprints(now)
	if snapshot.Servers != nil {
		for id, s := range snapshot.Servers.Servers {
			l.addresses[id] = s.Address
		}
	}
	l.mu.Unlock()
	n.view.setBlocked(blocked)
	if version := n.RateLimits.Version(); version != snapshot.RateLimitsVersion && now.Sub(l.rateLimitsSentAt) >= minRateLimitsInterval {
		l.rateLimitsSentAt = now
		n.view.setRateLimitsVersion(version)
	}
	if snapshot.Config == nil {
		return
	}
	for name, service := range snapshot.Config.Services {
		if !service.HasKeyOwners {
			continue
		}
		if l.managers[name] == nil {
			l.managers[name] = newAssignmentManager(l, name)
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

// serviceLoad returns the load of a service's key positions.
func (l *leadership) serviceLoad(service string, now boottime.Instant) shards.Load {
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

// runPeriodically calls work now and then at each interval until ctx ends.
func (l *leadership) runPeriodically(ctx context.Context, interval time.Duration, work func()) {
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

// keepLease renews the lease. While the store does not respond, the leadership
// continues for up to storeOutageTolerance.
func (l *leadership) keepLease(ctx context.Context) {
	l.runPeriodically(ctx, leaseRenewInterval, func() {
		startedAt := l.node.Clock()
		err := l.node.Store.KeepAlive(ctx, l.lease)
		l.node.recordStoreResult(err)
		var storeErr *store.Error
		switch {
		case err == nil:
			l.mu.Lock()
			l.leaseConfirmedAt = startedAt
			l.mu.Unlock()
		case errors.As(err, &storeErr) && storeErr.Kind == store.KindNotFound:
			l.stepDown("lease has expired")
		case !l.mayRenew():
			l.stepDown("store did not respond for the tolerated time")
		}
	})
}

// refreshServers reads the servers from the store and updates the hosts, their
// duties and the measured speeds. It steps down if a larger host is ready to
// lead.
func (l *leadership) refreshServers(ctx context.Context) {
	n := l.node
	now := n.Clock()
	l.mu.Lock()
	speeds := make(map[string]float64)
	if now.Sub(l.speedsSentAt) >= speedUpdateInterval {
		l.speedsSentAt = now
		speeds = l.speeds.all(now)
	}
	hosts := 1
	for host, peer := range l.hosts {
		if now.Sub(peer.lastSyncAt) > hostWindow {
			delete(l.hosts, host)
			continue
		}
		hosts++
	}
	if now.Sub(l.startedAt) < hostWindow {
		// Until every live host has had time to sync, the former leader's count holds.
		// Hosts take their shares by it, and a low count would add up to too much.
		hosts = max(hosts, l.formerHostCount)
	}
	dispatchers := l.chooseDispatchers(now)
	l.chooseRelays()
	l.chooseDetours()
	succession := l.evaluateSuccession(now)
	l.successorWanted = succession.wanted
	n.tracker.RecordStoreReachable(l.storeReachedAt)
	l.mu.Unlock()
	if succession.ready {
		l.stepDown("a larger host is ready to lead")
		return
	}
	n.view.setHosts(hosts, dispatchers)
	n.setLargestCapacity(succession.largestCapacity)
	for id, speed := range speeds {
		n.tracker.SetSpeed(id, speed)
	}
	n.readServers(ctx)
	l.storeRelays(ctx, now)
}

// chooseDispatchers chooses a live host as the dispatcher of each service.
func (l *leadership) chooseDispatchers(now boottime.Instant) map[string]string {
	config := l.node.config()
	if config == nil {
		return nil
	}
	hosts := []dutyHost{{address: l.node.DispatchAddress, capacity: l.node.Capacity, leading: true}}
	for _, peer := range l.hosts {
		if peer.dispatchAddress != "" && now.Sub(peer.lastSyncAt) < dispatcherWindow {
			hosts = append(hosts, dutyHost{address: peer.dispatchAddress, capacity: peer.capacity})
		}
	}
	return selectDispatchers(slices.Collect(maps.Keys(config.Services)), hosts)
}

// succession is the leader's decision whether another host should lead.
type succession struct {
	largestCapacity float64 // capacity of the largest live host
	wanted          bool    // a larger host should lead instead
	ready           bool    // such a host reaches the store
}

// evaluateSuccession compares the capacity of the live hosts with that of this
// one.
func (l *leadership) evaluateSuccession(now boottime.Instant) succession {
	s := succession{largestCapacity: l.node.Capacity}
	for _, peer := range l.hosts {
		s.largestCapacity = max(s.largestCapacity, peer.capacity)
		if isFitForDuties(l.node.Capacity, peer.capacity) || now.Sub(peer.firstSyncAt) < successionDelay {
			continue
		}
		s.wanted = true
		s.ready = s.ready || peer.storeReachedAt != 0 && now.Sub(peer.storeReachedAt) < staleAfter
	}
	return s
}
