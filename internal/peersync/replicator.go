package peersync

import (
	"context"
	"crypto/rand"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// pullTimeout is added to the wait of a pull. A source that takes longer is
	// treated as failed, and the next one in rendezvous order is used.
	pullTimeout = 300 * time.Millisecond
	// failureTimeout is how long a failed source is excluded from the choice of
	// sources.
	failureTimeout = 2 * time.Second
	// retryDelay is the minimum time between failed pulls from one source.
	retryDelay = 50 * time.Millisecond
	// sourcesInterval is how often the sources are chosen again.
	sourcesInterval = 200 * time.Millisecond
	// maxWait bounds how long a pull is held open for a peer.
	maxWait = 5 * time.Second
)

// Puller pulls changes from a peer.
type Puller interface {
	Sync(ctx context.Context, host topology.Host, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error)
}

// Options configures a Replicator.
type Options struct {
	Self topology.Host
	// Hosts returns the hosts that may be live. The list may be out of date.
	Hosts func() []topology.Host
	// PullWait is how long a pull is held open. It bounds the age of routes for
	// services whose servers do not check fencing tokens.
	PullWait time.Duration
	// ExcludedTopics returns the prefixes of topics that this host does not need.
	ExcludedTopics func() []string
	Puller         Puller
	Log            *zap.Logger
}

// Replicator replicates topics between this host and its peers.
type Replicator struct {
	*Topics
	options     Options
	incarnation string

	mu          sync.Mutex
	failedAt    map[topology.HostName]time.Time
	lastContact time.Time
	pulls       map[topology.HostName]context.CancelFunc
}

// NewReplicator returns a Replicator. Run starts replication.
func NewReplicator(options Options) *Replicator {
	return &Replicator{
		Topics: NewTopics(), options: options,
		incarnation: rand.Text(),
		failedAt:    make(map[topology.HostName]time.Time),
		pulls:       make(map[topology.HostName]context.CancelFunc),
	}
}

// LastContact returns the latest time at which a peer was certainly alive. It is
// not after the peer's response, and zero if no peer has responded yet.
func (r *Replicator) LastContact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
}

// Live returns the listed hosts that did not fail recently, without this host.
func (r *Replicator) Live() []topology.Host {
	var out []topology.Host
	for _, h := range r.candidates(time.Now()) {
		if h.Name != r.options.Self.Name {
			out = append(out, h)
		}
	}
	return out
}

func (r *Replicator) candidates(now time.Time) []topology.Host {
	hosts := r.options.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []topology.Host{r.options.Self}
	for _, h := range hosts {
		if failed, ok := r.failedAt[h.Name]; ok && now.Sub(failed) < failureTimeout {
			continue
		}
		if h.Name != r.options.Self.Name {
			out = append(out, h)
		}
	}
	return out
}

// Run pulls from the chosen sources until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(sourcesInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx, &group)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reconcile starts pulls from new sources and stops pulls from sources that are no
// longer chosen.
func (r *Replicator) reconcile(ctx context.Context, group *conc.WaitGroup) {
	wanted := make(map[topology.HostName]topology.Host)
	for _, h := range Sources(r.candidates(time.Now()), r.options.Self) {
		wanted[h.Name] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, cancel := range r.pulls {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(r.pulls, name)
		}
	}
	for name, host := range wanted {
		if _, running := r.pulls[name]; running {
			continue
		}
		pullCtx, cancel := context.WithCancel(ctx)
		r.pulls[name] = cancel
		group.Go(func() { r.pullLoop(pullCtx, host) })
	}
}

func (r *Replicator) pullLoop(ctx context.Context, host topology.Host) {
	var incarnation string
	var cursor uint64
	for ctx.Err() == nil {
		response, err := r.pull(ctx, host, incarnation, cursor)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.markFailed(host, err)
			_ = pause.For(ctx, retryDelay)
			continue
		}
		incarnation, cursor = response.Incarnation, response.Cursor
	}
}

// pull sends one pull to host and stores the topics of the response.
func (r *Replicator) pull(ctx context.Context, host topology.Host, incarnation string, cursor uint64) (*peerpb.SyncResponse, error) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, r.options.PullWait+pullTimeout)
	defer cancel()
	request := &peerpb.SyncRequest{
		Host: string(r.options.Self.Name), Incarnation: incarnation, Cursor: cursor,
		WaitMillis: r.options.PullWait.Milliseconds(),
	}
	if r.options.ExcludedTopics != nil {
		request.Exclude = r.options.ExcludedTopics()
	}
	response, err := r.options.Puller.Sync(callCtx, host, request)
	if err != nil {
		return nil, err
	}
	for _, topic := range response.Topics {
		r.store(Topic{Name: topic.Name, Version: versionFromWire(topic.Version), Payload: topic.Payload}, host.Name)
	}
	// The topics are stored before the leader age is updated: a reader that sees
	// the new age must not read older routes.
	if response.LeaderKnown {
		age := time.Duration(response.LeaderAgeMillis) * time.Millisecond
		r.observeLeader(LeaderAge{Term: topology.Term(response.LeaderTerm), Since: sent.Add(-age)})
	}
	r.mu.Lock()
	delete(r.failedAt, host.Name)
	// The peer was alive when it responded, which was at least HeldMillis after
	// the request was sent. The time of receipt proves nothing: the response may
	// have been buffered while this host was paused.
	if contact := sent.Add(time.Duration(response.HeldMillis) * time.Millisecond); contact.After(r.lastContact) {
		r.lastContact = contact
	}
	r.mu.Unlock()
	return response, nil
}

func (r *Replicator) markFailed(host topology.Host, err error) {
	r.mu.Lock()
	_, known := r.failedAt[host.Name]
	r.failedAt[host.Name] = time.Now()
	r.mu.Unlock()
	if !known {
		r.options.Log.Info("peersync: a source does not answer", zap.String("host", string(host.Name)), zap.Error(err))
	}
}

// Sync handles a peer's pull.
func (r *Replicator) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	cursor, asking := request.Cursor, topology.HostName(request.Host)
	if request.Incarnation != r.incarnation {
		// This is the first pull, possibly after a restart of the peer: it may
		// have lost even the topics that this host received from it.
		cursor, asking = 0, ""
	}
	arrival := time.Now()
	timer := time.NewTimer(min(time.Duration(max(request.WaitMillis, 0))*time.Millisecond, maxWait))
	defer timer.Stop()
	expired := false
	for {
		// The age and the change channel are read before the topics, so that
		// neither is newer than the topics in the response.
		age, leaderKnown := r.LeaderAge()
		changed := r.Changed("")
		topics, next := r.changedSince(cursor, asking, request.Exclude)
		if len(topics) > 0 || expired || request.Incarnation != r.incarnation {
			return &peerpb.SyncResponse{
				Incarnation: r.incarnation, Cursor: next, Topics: topicsToWire(topics),
				LeaderKnown: leaderKnown, LeaderTerm: uint64(age.Term),
				LeaderAgeMillis: ceilMillis(arrival.Sub(age.Since)),
				HeldMillis:      time.Since(arrival).Milliseconds(),
			}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func topicsToWire(topics []Topic) []*peerpb.Topic {
	out := make([]*peerpb.Topic, len(topics))
	for i, t := range topics {
		version := &peerpb.Version{Term: uint64(t.Version.Term), Sequence: t.Version.Sequence}
		out[i] = &peerpb.Topic{Name: t.Name, Version: version, Payload: t.Payload}
	}
	return out
}

func versionFromWire(v *peerpb.Version) topology.Version {
	return topology.Version{Term: topology.Term(v.GetTerm()), Sequence: v.GetSequence()}
}

// ceilMillis rounds up because a reported age must never be too low.
func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
