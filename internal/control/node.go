package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// Timing of the sync with the leader.
const (
	// syncWait is how long the leader holds a sync without news.
	syncWait = 500 * time.Millisecond
	// syncTimeout is longer than syncWait by what a busy leader may take.
	syncTimeout = syncWait + 500*time.Millisecond
	// syncGap lets news gather between two syncs; it grows by syncGapPerHost up
	// to maxSyncGap.
	syncGap        = 10 * time.Millisecond
	syncGapPerHost = time.Millisecond
	maxSyncGap     = 250 * time.Millisecond
	// staleAfter is the age of the server list from which a host reads the
	// store itself.
	staleAfter = 1100 * time.Millisecond
	// readInterval is the shortest time between such readings.
	readInterval = 800 * time.Millisecond
	// maxAge is the largest age that is told apart.
	maxAge = 24 * time.Hour
	// entriesWait is how long the store may wait for a change of an entry. Each
	// server changes its own about once a second.
	entriesWait = 100 * time.Millisecond
	// relayPatience is how long a host that lost the leader asks the relays for
	// another before it looks for one in the store. An election takes LeaseTTL.
	relayPatience = 4 * time.Second
	// firstPatience is how long a host of a deployment that never had a leader
	// waits before it lists the servers itself.
	firstPatience = 1500 * time.Millisecond
	// peerPause follows questions to relays that named no leader.
	peerPause = 150 * time.Millisecond
	// electionJitter spreads the tries to become leader.
	electionJitter = 120 * time.Millisecond
	// retryPause follows a failed call to the store.
	retryPause = 250 * time.Millisecond
	// stepPause follows each step without a leader.
	stepPause = 100 * time.Millisecond
	// leaderWatch is how long a host waits for the key of a leader that it
	// can't reach to disappear.
	leaderWatch = 700 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Host    string
	Address string // of the FleetService
	// DispatchAddress is where this host places requests for others.
	DispatchAddress string
	// Capacity is what this host can use for others, in cores.
	Capacity float64
	// Seeds are addresses of other hosts, some of which may be gone. They are
	// asked while neither the leader nor the store answers.
	Seeds   []string
	Store   Store
	Schema  Schema
	Orders  Orders
	Reports *Reports
	Peers   *http.Client
	Clock   boottime.Clock
	Log     *zap.Logger
}

// Node is one host's part in the control of the deployment.
type Node struct {
	Options
	view    *View
	timing  timing
	history *history
	// tracker and reader belong to the goroutine that follows or reads for the
	// leadership.
	tracker *registry.Tracker
	reader  serverReader

	mu      sync.Mutex
	leading *leadership
	leader  leaderRecord
	term    int64
	// unreachable is the term of a leader that did not answer, since lostAt.
	unreachable int64
	lostAt      boottime.Instant
	startedAt   boottime.Instant
	known       *fleetpb.Known // numbers of the leader's term
	// leaderList is the last server list that a leader sent.
	leaderList *registry.List
	// wantsWhole is true if changes did not fit what this host has.
	wantsWhole bool
	readAt     boottime.Instant
	storeUp    bool
	storeAt    boottime.Instant // of the last call that succeeded
	retired    bool
	peers      []string // the relays that the leader named
	largest    float64  // capacity of the largest live host; 0 if unknown
	// successorWanted is true if the leader gives way to a larger host.
	successorWanted bool
}

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Term is the revision of the key's last change; it is not stored in the
	// key itself.
	Term int64 `json:"term,omitempty"`
}

// timing holds what keeps a position from having two owners. Tests break it.
type timing struct {
	// outageAuthority is how long a leader renews without a lease, formerWait
	// how long a new leader believes that of a former one.
	outageAuthority, formerWait time.Duration
	grantExpiry                 time.Duration
	// assumeStopped treats former leaders as stopped.
	assumeStopped bool
}

// NewNode returns a Node with an empty View.
func NewNode(options Options) *Node {
	options.Log = options.Log.Named("control")
	n := &Node{Options: options, view: NewView(), history: newHistory(), tracker: registry.NewTracker(), storeUp: true, startedAt: options.Clock(),
		timing: timing{outageAuthority: outageAuthority, formerWait: outageAuthority, grantExpiry: grantExpiry}}
	n.view.OnChange(n.history.note)
	return n
}

// View returns what the host knows.
func (n *Node) View() *View { return n.view }

// Leading reports whether this host leads.
func (n *Node) Leading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading != nil
}

// Run follows or leads until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l := n.currentLeadership(); l != nil {
			l.run(ctx)
			n.setLeadership(nil)
			continue
		}
		n.follow(ctx)
	}
	return nil
}

func (n *Node) currentLeadership() *leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

func (n *Node) setLeadership(l *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
}

// Retire makes the host resign if it leads and never lead again.
func (n *Node) Retire() {
	n.mu.Lock()
	n.retired = true
	l := n.leading
	n.mu.Unlock()
	if l != nil {
		l.lose("host is shutting down")
	}
}

// maySucceed reports whether the leader wants to give way to a host like this
// one. It does so once this host has reached the store.
func (n *Node) maySucceed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successorWanted && !n.retired && fitForDuties(n.Capacity, n.largest)
}

// noteLargest takes the capacity of the largest live host, if it is known.
func (n *Node) noteLargest(capacity float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if capacity > 0 {
		n.largest = capacity
	}
}

func (n *Node) largestHost() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largest
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// config returns the configuration, nil before the first.
func (n *Node) config() *routes.Config { return n.view.Load().Config }
