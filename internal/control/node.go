package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Timing of the sync with the leader.
const (
	// syncWait is how long the leader holds a sync without news.
	syncWait = 500 * time.Millisecond
	// syncTimeout is longer than syncWait by what a busy leader may take.
	syncTimeout = syncWait + 500*time.Millisecond
	// syncGap lets news gather between two syncs.
	syncGap = 10 * time.Millisecond
	// staleAfter is the age of the server list from which a host reads the
	// store itself.
	staleAfter = 1100 * time.Millisecond
	// readInterval is the shortest time between such readings.
	readInterval = 800 * time.Millisecond
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
	view   *View
	timing timing

	mu      sync.Mutex
	leading *leadership
	leader  leaderRecord
	term    int64
	// unreachable is the term of a leader that did not answer.
	unreachable int64
	known       *fleetpb.Known
	readAt      boottime.Instant
	tracker     *registry.Tracker
	storeUp     bool
	storeAt     boottime.Instant // of the last call that succeeded
	retired     bool
	peers       []string // that the leader named
	largest     float64  // capacity of the largest live host; 0 if unknown
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
	return &Node{Options: options, view: NewView(), timing: timing{outageAuthority: outageAuthority, formerWait: outageAuthority, grantExpiry: grantExpiry},
		tracker: registry.NewTracker(), storeUp: true}
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

// follow does one step as a follower: a sync with the leader, or a reading of
// the store if the leader is unknown or does not answer.
func (n *Node) follow(ctx context.Context) {
	n.mu.Lock()
	leader, unreachable := n.leader, n.unreachable
	n.mu.Unlock()
	if leader.Address != "" && leader.Term != unreachable {
		err := n.syncWith(ctx, leader)
		if err == nil {
			// A leader that does not reach the store can't lead: if its key is
			// gone, this host stands for election.
			if n.Clock().Sub(n.view.Load().ServersAt) > staleAfter && n.readEntries(ctx) {
				n.findLeader(ctx)
			}
			if n.maySucceed() {
				n.readEntries(ctx)
			}
			n.pause(ctx, syncGap)
			return
		}
		n.mu.Lock()
		n.unreachable = leader.Term
		n.mu.Unlock()
		if ctx.Err() == nil {
			n.logLost(leader, err)
		}
	}
	if !n.findLeader(ctx) {
		n.askPeers(ctx)
	}
	if n.currentLeadership() != nil {
		return
	}
	// Without it a host that finds no leader would ask the store without end.
	n.pause(ctx, stepPause)
	if n.Clock().Sub(n.view.Load().ServersAt) > readInterval {
		n.readEntries(ctx)
	}
}

// errNotLeading is the answer of a host that leads no more.
var errNotLeading = errors.New("the host does not lead")

// logLost tells a leader that has resigned from one that does not answer.
func (n *Node) logLost(leader leaderRecord, err error) {
	message := "control: leader does not answer"
	if errors.Is(err, errNotLeading) {
		message = "control: leader has resigned"
	}
	n.Log.Info(message, zap.String("leader", leader.Host), zap.Int64("term", leader.Term), zap.Error(err))
}

// syncWith reports to the leader and takes what is newer.
func (n *Node) syncWith(ctx context.Context, leader leaderRecord) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request := &fleetpb.SyncRequest{Host: n.Host, Address: n.Address, DispatchAddress: n.DispatchAddress, Capacity: n.Capacity, WaitMillis: syncWait.Milliseconds()}
	n.mu.Lock()
	request.Known = n.known
	request.StoreAgeMillis = -1
	if n.storeAt != 0 {
		request.StoreAgeMillis = n.Clock().Sub(n.storeAt).Milliseconds()
	}
	n.mu.Unlock()
	if request.Known == nil || request.Known.Term != leader.Term {
		request.Known = &fleetpb.Known{Term: leader.Term}
	}
	n.Reports.take(request)
	client := fleetpbconnect.NewFleetServiceClient(n.Peers, "http://"+leader.Address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	if !response.Msg.Leader {
		return errNotLeading
	}
	n.apply(response.Msg, sentAt)
	return nil
}

// apply takes a leader's answer. Ages count from the answer; measured from the
// sending of the request they are too long by at most the time it took, which
// errs on the safe side.
func (n *Node) apply(m *fleetpb.SyncResponse, sentAt boottime.Instant) {
	n.mu.Lock()
	n.known = m.Known
	n.mu.Unlock()
	n.view.setTerm(m.Term)
	configAt := sentAt.Add(-time.Duration(m.ConfigAgeMillis) * time.Millisecond)
	if len(m.Config) > 0 {
		config, err := n.Schema.DecodeConfig(m.Config, m.Known.Config)
		if err != nil {
			n.Log.Warn("control: leader's configuration refused", zap.Error(err))
		} else {
			n.view.setConfig(config, m.Config, configAt)
		}
	} else {
		n.view.setConfig(nil, nil, configAt)
	}
	serversAt := sentAt.Add(-time.Duration(m.ServersAgeMillis) * time.Millisecond)
	if m.HasServers {
		n.view.setServers(serversFromProto(m.Servers), serversAt)
	} else {
		n.view.setServers(nil, serversAt)
	}
	for _, s := range m.Shards {
		a, err := shards.Decode(s.Document, s.Revision)
		if err != nil {
			n.Log.Warn("control: leader's assignment refused", zap.String("service", s.Service), zap.Error(err))
			continue
		}
		n.view.setShards(s.Service, a)
	}
	if m.HasBlocked {
		blocked := make(map[string]bool, len(m.Blocked))
		for _, f := range m.Blocked {
			blocked[string(f)] = true
		}
		n.view.setBlocked(blocked)
	}
	n.view.setHosts(int(m.Hosts), m.Dispatchers)
	n.noteLargest(m.LargestCapacity)
	n.mu.Lock()
	n.successorWanted = m.SuccessorWanted
	n.mu.Unlock()
	if len(m.Peers) > 0 {
		n.mu.Lock()
		n.peers = m.Peers
		n.mu.Unlock()
	}
}

// findLeader reads the hosts' own keys. If there is no leader, it tries to
// become it. It returns false if the store did not answer.
func (n *Node) findLeader(ctx context.Context) bool {
	items, revision, err := n.Store.Range(ctx, ownPrefix)
	n.noteStore(err)
	if err != nil {
		return false
	}
	var current leaderRecord
	var found store.KeyValue
	var former []byte
	for _, kv := range items {
		switch {
		case kv.Key == leaderKey:
			found = kv
			if err := json.Unmarshal(kv.Value, &current); err != nil {
				n.Log.Warn("control: leader's key can't be read", zap.Error(err))
			}
			// A host that takes over its own former key changes it without a new
			// creation.
			current.Term = kv.ModRevision
		case kv.Key == formerKey:
			former = kv.Value
		case strings.HasPrefix(kv.Key, shardsPrefix):
			n.takeAssignment(kv)
		}
	}
	n.mu.Lock()
	n.leader = current
	n.term = max(n.term, current.Term)
	unreachable, retired := n.unreachable, n.retired
	n.mu.Unlock()
	switch {
	case found.Key == "" && !retired:
		n.pause(ctx, time.Duration(rand.Float64()*float64(electionJitter))+electionDelay(n.Capacity, n.largestHost()))
		n.stand(ctx, 0, former)
	case current.Host == n.Host && !retired:
		// The key is from an earlier process on this host, which has ended.
		n.stand(ctx, found.ModRevision, former)
	case current.Term == unreachable:
		n.awaitElection(ctx, revision)
	}
	return true
}

// awaitElection waits until the key of a leader that does not answer is gone
// or changed, and for a short time at most: the leader may answer again.
func (n *Node) awaitElection(ctx context.Context, revision int64) {
	batch, err := n.Store.Poll(ctx, leaderKey, revision, leaderWatch)
	n.noteStore(err)
	if err == nil && len(batch.Events) > 0 {
		return
	}
	n.mu.Lock()
	n.unreachable = 0
	n.mu.Unlock()
	if err != nil {
		n.pause(ctx, retryPause)
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
