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
	// pullTimeout is added to the wait of a pull; a source that takes longer
	// counts as gone and the next in rendezvous order is used.
	pullTimeout = 300 * time.Millisecond
	// goneFor is how long a source that failed is left out of the choice.
	goneFor = 2 * time.Second
	// retryPause is the least time between failed pulls of one source.
	retryPause = 50 * time.Millisecond
	// sourcesInterval is how often the choice of sources is made anew.
	sourcesInterval = 200 * time.Millisecond
	// maxWait bounds how long a pull is held open for a peer.
	maxWait = 5 * time.Second
)

// Puller asks a peer for its changes.
type Puller interface {
	Sync(ctx context.Context, host topology.Host, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error)
}

// Options configure a Replicator.
type Options struct {
	Self topology.Host
	// Hosts returns the hosts that may be live; the list may lag.
	Hosts func() []topology.Host
	// Wait is how long a pull is held open. It bounds the age of routes for
	// services whose servers do not check fencing tokens.
	Wait time.Duration
	// Exclude returns the prefixes of topics that this host does not need.
	Exclude func() []string
	Puller  Puller
	Log     *zap.Logger
}

// Replicator keeps the topics of this host and its peers the same.
type Replicator struct {
	*Topics
	options     Options
	incarnation string

	mu          sync.Mutex
	gone        map[topology.HostName]time.Time
	lastContact time.Time
	pulls       map[topology.HostName]context.CancelFunc
}

// NewReplicator returns a Replicator; Run makes it work.
func NewReplicator(options Options) *Replicator {
	return &Replicator{
		Topics: NewTopics(), options: options,
		incarnation: rand.Text(),
		gone:        make(map[topology.HostName]time.Time),
		pulls:       make(map[topology.HostName]context.CancelFunc),
	}
}

// LastContact returns a time at which a peer surely lived, at the latest when it
// answered; zero if none has answered.
func (r *Replicator) LastContact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
}

// Live returns the hosts that are listed and did not just fail to answer,
// without this one.
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
		if failed, ok := r.gone[h.Name]; ok && now.Sub(failed) < goneFor {
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

// reconcile starts pulls from new sources and ends those no longer chosen.
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
			r.markGone(host, err)
			_ = pause.For(ctx, retryPause)
			continue
		}
		incarnation, cursor = response.Incarnation, response.Cursor
	}
}

// pull asks host once and stores what it answers.
func (r *Replicator) pull(ctx context.Context, host topology.Host, incarnation string, cursor uint64) (*peerpb.SyncResponse, error) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, r.options.Wait+pullTimeout)
	defer cancel()
	request := &peerpb.SyncRequest{
		Host: string(r.options.Self.Name), Incarnation: incarnation, Cursor: cursor,
		WaitMillis: r.options.Wait.Milliseconds(),
	}
	if r.options.Exclude != nil {
		request.Exclude = r.options.Exclude()
	}
	response, err := r.options.Puller.Sync(callCtx, host, request)
	if err != nil {
		return nil, err
	}
	for _, topic := range response.Topics {
		r.store(Topic{Name: topic.Name, Version: versionFrom(topic.Version), Payload: topic.Payload}, host.Name)
	}
	// The topics are stored before the age is raised: a reader that sees the
	// new age must not read routes from before it.
	if response.LeaderKnown {
		age := time.Duration(response.LeaderAgeMillis) * time.Millisecond
		r.observeLeader(LeaderAge{Term: topology.Term(response.LeaderTerm), Since: sent.Add(-age)})
	}
	r.mu.Lock()
	delete(r.gone, host.Name)
	// The peer lived when it answered, which was at least the held time after
	// the request was sent. The time of receipt proves nothing: the answer may
	// have waited while this host was paused.
	if contact := sent.Add(time.Duration(response.HeldMillis) * time.Millisecond); contact.After(r.lastContact) {
		r.lastContact = contact
	}
	r.mu.Unlock()
	return response, nil
}

func (r *Replicator) markGone(host topology.Host, err error) {
	r.mu.Lock()
	_, known := r.gone[host.Name]
	r.gone[host.Name] = time.Now()
	r.mu.Unlock()
	if !known {
		r.options.Log.Info("peersync: a source does not answer", zap.String("host", string(host.Name)), zap.Error(err))
	}
}

// Sync answers a peer's pull.
func (r *Replicator) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	cursor, asking := request.Cursor, topology.HostName(request.Host)
	if request.Incarnation != r.incarnation {
		// A first pull, maybe after a restart: the host may have lost even
		// what this one learnt from it.
		cursor, asking = 0, ""
	}
	arrival := time.Now()
	timer := time.NewTimer(min(time.Duration(max(request.WaitMillis, 0))*time.Millisecond, maxWait))
	defer timer.Stop()
	expired := false
	for {
		// The age and the change channel are taken before the topics, so that
		// neither claims more than what the answer carries.
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

func versionFrom(v *peerpb.Version) topology.Version {
	return topology.Version{Term: topology.Term(v.GetTerm()), Sequence: v.GetSequence()}
}

// ceilMillis rounds up: an age may never be told too young.
func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
