package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Timing of the sync with the leader.
const (
	// syncWait is how long the leader holds a sync without updates.
	syncWait = 500 * time.Millisecond
	// syncTimeout exceeds syncWait by the time that a busy leader may take.
	syncTimeout = syncWait + 500*time.Millisecond
	// minSyncDelay is the delay between two syncs, in which updates accumulate.
	// It grows by syncDelayPerHost up to maxSyncDelay.
	minSyncDelay     = 10 * time.Millisecond
	syncDelayPerHost = time.Millisecond
	maxSyncDelay     = 250 * time.Millisecond
	// staleAfter is the age of the server list above which a host reads the
	// store itself or, if it is no relay, queries other hosts.
	staleAfter = 1100 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the store by a
	// host that does not lead.
	minReadInterval = 800 * time.Millisecond
	// maxReportedAge limits the ages in responses; anything older counts as
	// that old.
	maxReportedAge = 24 * time.Hour
	// entriesPollWait is how long one poll waits for a change of the server
	// entries. Each server updates its entry about once a second.
	entriesPollWait = 100 * time.Millisecond
	// entriesPollGrace is how much later its answer may come.
	entriesPollGrace = 500 * time.Millisecond
	// relaySearchTimeout is how long a host that lost the leader asks the
	// relays for another before it searches the store. An election takes about
	// LeaseTTL.
	relaySearchTimeout = 4 * time.Second
	// silentRelaysTimeout is how long it asks relays of which none answers.
	silentRelaysTimeout = 800 * time.Millisecond
	// relayAvoidance is how long a host that did not answer is asked last.
	relayAvoidance = 2 * time.Second
	// initialLeaderWait is how long a host in a deployment that never had a
	// leader waits before it lists the servers itself.
	initialLeaderWait = 1500 * time.Millisecond
	// peerRetryDelay is the delay after queries to peers that found no leader.
	peerRetryDelay = 150 * time.Millisecond
	// cutOffElectionDelay is how much later a host stands for election that is cut
	// off from all servers.
	cutOffElectionDelay = time.Second
	// electionJitter bounds the random delay before a campaign, so that hosts
	// do not campaign at once.
	electionJitter = 120 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 250 * time.Millisecond
	// noLeaderDelay is the delay after each step without a leader.
	noLeaderDelay = 100 * time.Millisecond
	// leaderWatchTimeout is how long a host waits for the key of an unreachable
	// leader to disappear.
	leaderWatchTimeout = 700 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Host    string
	Address string // of the FleetService
	// DispatchAddress is where this host accepts requests to dispatch for other
	// hosts.
	DispatchAddress string
	// Capacity is what this host can use for duties, in cores.
	Capacity float64
	// Seeds are addresses of other hosts, some of which may no longer exist.
	// They are queried while neither the leader nor the store responds.
	Seeds       []string
	Store       Store
	Schema      Schema
	GrantClient GrantClient
	Reports     *Reports
	// RateLimits holds the limits that servers announce. The leader collects those of
	// all hosts and passes them on.
	RateLimits *ratelimit.Table
	PeerClient *http.Client
	// CutOff reports whether this host is cut off from all servers. Such a host
	// does not lead while another can.
	CutOff func() bool
	// EvacuationLimit is how long after the operator's write hosts may still send requests to an
	// evacuated zone; 0 means DefaultEvacuationLimit.
	EvacuationLimit time.Duration
	Clock           boottime.Clock
	Log             *zap.Logger
}

// Node runs one host's part in the coordination of the deployment, as a
// follower or as the leader.
type Node struct {
	Options
	view    *View
	timing  timing
	history *history
	// tracker and reader are used by one goroutine only: that of Run while this
	// host follows, and the leadership's goroutine for servers while it leads.
	tracker    *registry.Tracker
	reader     serverReader
	serversEra store.Era // in which the servers were last read

	mu sync.Mutex
	// leadership is the current leadership, or nil while this host follows.
	leadership *leadership
	leader     leaderRecord
	// highestTerm is the highest term known to this host.
	highestTerm int64
	// unreachableTerm is the term of a leader that did not respond, since
	// leaderLostAt.
	unreachableTerm int64
	leaderLostAt    boottime.Instant
	// relayAnsweredAt is when a relay last answered a query, and silentSince when a host was
	// last found not to answer, by address.
	relayAnsweredAt boottime.Instant
	silentSince     map[string]boottime.Instant
	startedAt       boottime.Instant
	knownVersions   *fleetpb.Known // from the leader's last response
	// leaderList is the last server list that a leader sent.
	leaderList *registry.List
	// needsFullState is true if received changes could not be applied to the
	// state of this host.
	needsFullState bool
	// leaderOmitsEvacuations is true if the leader runs a build without evacuations.
	leaderOmitsEvacuations bool
	// invalidEntries holds the keys of others' entries that can't be decoded.
	invalidEntries map[string]bool
	lastReadAt     boottime.Instant
	storeEra       store.Era // latest known
	// committed holds the newest assignment of each service that this host has
	// committed or adopted as leader. Hosts learn of it a little later.
	committed map[string]*shards.Assignment
	// ledTerm is the last term in which this host led, and followed the leader of
	// the last term in which it led or a leader has responded to it.
	ledTerm             int64
	followed            leaderRecord
	storeReachable      bool
	storeReachedAt      boottime.Instant // last successful call
	retired             bool
	relays              []string // addresses, as sent by the leader
	leaving             []leavingServer
	detours             []string // addresses of hosts that reach the servers, as sent by the leader
	largestHostCapacity float64  // capacity of the largest live host; 0 if unknown
	// successorWanted is true if the leader wants to give way to a larger host.
	successorWanted bool

	// misdirectedCalls counts the grants and releases that were withheld because who was
	// at the server's address was not proven to be the server.
	misdirectedCalls atomic.Int64
}

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Term is the revision of the last change of the leader's key. It is not
	// part of the value stored there.
	Term int64 `json:"term,omitempty"`
}

// timing holds the durations that ensure that a position never has two owners.
// Tests set them to unsafe values to check that violations are detected.
type timing struct {
	// storeOutageTolerance is how long a leader renews grants without renewing
	// its lease. formerLeaderWait is how long a new leader assumes that a
	// former one may do so.
	storeOutageTolerance, formerLeaderWait time.Duration
	grantExpiry                            time.Duration
	// assumeFormerStopped treats former leaders as stopped without any
	// confirmation.
	assumeFormerStopped bool
}

// NewNode returns a Node with an empty View.
func NewNode(options Options) *Node {
	options.Log = options.Log.Named("control")
	if options.CutOff == nil {
		options.CutOff = func() bool { return false }
	}
	if options.RateLimits == nil {
		options.RateLimits = ratelimit.NewTable(options.Clock, options.Log)
	}
	n := &Node{Options: options, view: NewView(), history: newHistory(), tracker: registry.NewTracker(), storeReachable: true, storeEra: store.FirstEra, serversEra: store.FirstEra, committed: make(map[string]*shards.Assignment), invalidEntries: make(map[string]bool), silentSince: make(map[string]boottime.Instant), startedAt: options.Clock(),
		timing: timing{storeOutageTolerance: storeOutageTolerance, formerLeaderWait: storeOutageTolerance, grantExpiry: grantExpiry}}
	n.view.OnChange(n.history.record)
	return n
}

// View returns the state that this host knows.
func (n *Node) View() *View { return n.view }

// Leading reports whether this host leads.
func (n *Node) Leading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership != nil
}

// Run follows or leads until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { n.superviseConfig(ctx) })
	for ctx.Err() == nil {
		if l := n.currentLeadership(); l != nil {
			l.run(ctx)
			n.endLeadership(l)
			continue
		}
		n.followOnce(ctx)
	}
	return nil
}

// MisdirectedCalls returns how many grants and releases this host has withheld because
// who was at the server's address was not proven to be the server.
func (n *Node) MisdirectedCalls() int64 { return n.misdirectedCalls.Load() }

func (n *Node) currentLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership
}

// endLeadership makes this host follow again. It counts as one of its own relays,
// so that it may look for a leader in the store at once.
func (n *Node) endLeadership(l *leadership) {
	relays := l.relayAddresses()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership = nil
	if len(relays) > 0 {
		n.relays = append(slices.Clone(relays), n.Address)
	}
}

// Retire makes the host resign if it leads, and keeps it from leading again.
func (n *Node) Retire() {
	n.mu.Lock()
	n.retired = true
	l := n.leadership
	n.mu.Unlock()
	if l != nil {
		l.stepDown("host is shutting down")
	}
}

// maySucceed reports whether the leader wants to give way to a host of this
// capacity. It does so once this host has reached the store.
func (n *Node) maySucceed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successorWanted && !n.retired && isFitForDuties(n.Capacity, n.largestHostCapacity)
}

// setLargestCapacity sets the capacity of the largest live host; 0 means
// unknown and is ignored.
func (n *Node) setLargestCapacity(capacity float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if capacity > 0 {
		n.largestHostCapacity = capacity
	}
}

// largestCapacity returns the capacity of the largest live host, or 0 if
// unknown.
func (n *Node) largestCapacity() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largestHostCapacity
}

// sleep waits for d or until ctx ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// config returns the current configuration, or nil before the first.
func (n *Node) config() *routes.Config { return n.view.Load().Config }
