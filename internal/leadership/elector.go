package leadership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/hostlist"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// callTimeout bounds one request to a witness. At most two renewals are
	// outstanding to a host that doesn't respond.
	callTimeout = 2 * RenewInterval
	// campaignTimeout bounds one campaign, after which its promises are released.
	campaignTimeout = 150 * time.Millisecond
	// maxElectionJitter spreads the campaigns of several hosts after the loss
	// of a leader. The time budget allows 150 ms for an election.
	maxElectionJitter = 80 * time.Millisecond
	// leaderCheckInterval is the interval, before jitter, at which a host that
	// isn't a witness checks whether there is a leader. Witnesses are
	// candidates too and notice the loss of a leader at once, so the other hosts
	// needn't check more often.
	leaderCheckInterval = 2 * time.Second
	// reelectionDelay keeps a host that resigned in favor of others from being
	// elected again at once. It is shorter than the TTL of grants, so that
	// servers keep their ranges meanwhile.
	reelectionDelay = 400 * time.Millisecond
)

// Transport sends requests to the other hosts.
type Transport interface {
	Promise(ctx context.Context, host topology.HostName, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error)
	Seal(ctx context.Context, host topology.HostName, request *peerpb.SealRequest) (*peerpb.SealResponse, error)
}

// Options configures an Elector.
type Options struct {
	Self      topology.HostName
	Transport Transport
	Store     store.Store
	Hosts     hostlist.Lister
	Log       *zap.Logger
	// Random provides the jitter, the low part of terms and the IDs of writes.
	Random rand.Source
}

// Elector runs the witness and the candidate of this host.
type Elector struct {
	self        topology.HostName
	transport   Transport
	recordStore recordStore
	hosts       hostlist.Lister
	log         *zap.Logger

	mu                sync.Mutex
	random            *rand.Rand
	witness           *Witness
	candidate         *Candidate
	leadershipChanged chan struct{}
	storeReachedAt    time.Time // last successful store call, zero if none
	earliestCampaign  time.Time // no campaign starts before
	campaignAttempts  int
	leaderSince       time.Time
	knownLeader       topology.HostName
}

// New returns an Elector. The time in which its witness grants no promise starts
// now.
func New(options Options) *Elector {
	return &Elector{
		self: options.Self, transport: options.Transport, hosts: options.Hosts,
		recordStore: recordStore{store: options.Store}, log: options.Log.Named("leadership"),
		random: rand.New(options.Random), witness: NewWitness(options.Self, time.Now()),
		candidate: NewCandidate(options.Self), leadershipChanged: make(chan struct{}),
	}
}

// LeaderLease returns the term and the expiry of this host's leader lease, and
// whether the host is the leader at now. Callers check it again immediately
// before each action as leader.
func (e *Elector) LeaderLease(now time.Time) (term topology.Term, until time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wasLeading := e.candidate.leading
	term, until, ok = e.candidate.LeaderLease(now)
	if wasLeading && !ok {
		e.announceChangeLocked("leader lease expired", 0)
	}
	return term, until, ok
}

// Changed returns a channel that is closed when this host next becomes leader,
// resigns, or notices that its leader lease expired.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leadershipChanged
}

// Leader returns the last known leader, which may no longer lead.
func (e *Elector) Leader() topology.HostName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knownLeader
}

// ObserveTerm records a term found in an assignment or at a server, so that the next
// term of this host is higher. A leader with a lower term resigns, because
// servers would refuse its grants.
func (e *Elector) ObserveTerm(term topology.Term) {
	e.mu.Lock()
	e.candidate.ObserveTerm(term)
	outdated := e.candidate.leading && e.candidate.term < term
	e.mu.Unlock()
	if outdated {
		e.resign("resigned, a higher term was observed", 0)
	}
}

// RecordStoreReachable records a successful store call by another part of this process.
func (e *Elector) RecordStoreReachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeReachedAt = time.Now()
}

// Resign gives up leadership and releases the promises. The caller must have
// stopped acting as leader.
func (e *Elector) Resign() { e.resign("resigned on request", reelectionDelay) }

func (e *Elector) resign(reason string, delay time.Duration) {
	e.mu.Lock()
	wasLeading, record, request := e.candidate.leading, e.candidate.record, e.stepDownLocked()
	if wasLeading {
		e.announceChangeLocked(reason, request.GetTerm())
	}
	e.earliestCampaign = time.Now().Add(delay)
	e.mu.Unlock()
	if request.GetTerm() != 0 {
		e.sendToWitnesses(context.Background(), record, request, nil)
	}
}

// stepDownLocked ends the candidate's term and returns the request that
// releases its promises.
func (e *Elector) stepDownLocked() *peerpb.PromiseRequest {
	request := e.candidate.Request()
	request.Release = true
	e.candidate.StepDown()
	return request
}

// announceChangeLocked logs a change of leadership and notifies the users of
// Changed.
func (e *Elector) announceChangeLocked(event string, term uint64) {
	e.log.Info("leadership: "+event, zap.String("host", string(e.self)), zap.Uint64("term", term))
	close(e.leadershipChanged)
	e.leadershipChanged = make(chan struct{})
}

// HandlePromise handles a candidate's request to this host's witness.
func (e *Elector) HandlePromise(request *peerpb.PromiseRequest) *peerpb.PromiseResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handlePromiseLocked(time.Now(), request)
}

func (e *Elector) handlePromiseLocked(now time.Time, request *peerpb.PromiseRequest) *peerpb.PromiseResponse {
	age := time.Duration(-1)
	if !e.storeReachedAt.IsZero() {
		age = now.Sub(e.storeReachedAt)
	}
	response := e.witness.HandlePromise(now, request, age)
	if response.GetGranted() && !request.GetRelease() {
		e.knownLeader = topology.HostName(request.GetCandidate())
	}
	return response
}

// HandleSeal handles the announcement of a witness record by a leader.
func (e *Elector) HandleSeal(request *peerpb.SealRequest) *peerpb.SealResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := e.witness.HandleSeal(time.Now(), request)
	e.candidate.SetRecord(e.witness.Record())
	return response
}

// Run takes part in elections and maintains the witness record until ctx ends,
// then resigns.
func (e *Elector) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { e.maintain(ctx) })
	for ctx.Err() == nil {
		_ = pause.For(ctx, e.runOnce(ctx, &group))
	}
	e.resign("stopping", 0)
	return nil
}

// runOnce renews the promises of a leader or campaigns if there is no leader. It
// returns the delay until the next call.
func (e *Elector) runOnce(ctx context.Context, group *conc.WaitGroup) time.Duration {
	now := time.Now()
	if _, _, ok := e.LeaderLease(now); ok {
		e.mu.Lock()
		giveWay := e.candidate.ShouldResign(now, e.storeReachedAt)
		request, record := e.candidate.Request(), e.candidate.record
		e.mu.Unlock()
		if giveWay {
			e.resign("resigned, another host reaches the store", reelectionDelay)
			return 0
		}
		group.Go(func() { e.sendToWitnesses(ctx, record, request, nil) })
		return RenewInterval
	}
	e.mu.Lock()
	holder, remaining := e.witness.Holder(now)
	record, delay := e.witness.Record(), e.earliestCampaign.Sub(now)
	jitter := time.Duration(e.random.Int64N(int64(maxElectionJitter)))
	waiting := e.witness.InStartupWait(now)
	if holder != "" && holder != e.self {
		e.campaignAttempts = 0
	}
	e.mu.Unlock()
	switch {
	case waiting || record.Version == 0:
		return jitter
	case holder != "" && holder != e.self:
		return remaining + jitter
	case delay > 0:
		return delay
	}
	if !record.HasWitness(e.self) && e.leaderExists(ctx, record) {
		return leaderCheckInterval + jitter
	}
	return e.campaign(ctx, record, jitter)
}

// leaderExists queries one random witness whether some host has a valid promise.
// Most hosts are not witnesses. If each of them queried all witnesses, every
// witness would handle as many queries as there are hosts.
func (e *Elector) leaderExists(ctx context.Context, record Record) bool {
	e.mu.Lock()
	host := record.Hosts[e.random.IntN(len(record.Hosts))]
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.PromiseRequest{Candidate: string(e.self), RecordVersion: record.Version}
	response, sentAt, err := e.sendPromiseRequest(ctx, host, request)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handleResponseLocked(host, sentAt, request, response)
	if response.GetHolder() == "" {
		return false
	}
	e.knownLeader = topology.HostName(response.GetHolder())
	return true
}

// campaign queries the witnesses for a leader and, if there is none, campaigns for
// a new term. It returns the delay until the next attempt. The query comes first
// so that a host that can't reach the leader doesn't raise the term at witnesses
// that can (like the pre-vote of Raft).
func (e *Elector) campaign(ctx context.Context, record Record, jitter time.Duration) time.Duration {
	query := &peerpb.PromiseRequest{Candidate: string(e.self), RecordVersion: record.Version}
	available, heldFor := 0, time.Duration(0)
	e.sendToWitnesses(ctx, record, query, func(response *peerpb.PromiseResponse) bool {
		switch {
		case response.GetHolder() != "":
			e.knownLeader = topology.HostName(response.GetHolder())
			heldFor = max(heldFor, time.Duration(response.GetRemainingMillis())*time.Millisecond)
		case response.GetReason() == ReasonLowerTerm:
			available++
		}
		return available >= record.Majority()
	})
	if !record.HasWitness(e.self) && !e.storeReachedWithin(maxStoreAge) {
		e.syncRecord(ctx, campaignTimeout)
	}
	e.mu.Lock()
	// A host that doesn't reach the store skips its first campaign if another
	// host does.
	giveWay := e.campaignAttempts == 0 && e.candidate.ShouldResign(time.Now(), e.storeReachedAt)
	if available < record.Majority() || giveWay {
		e.campaignAttempts++
		e.mu.Unlock()
		if giveWay {
			return reelectionDelay
		}
		if record.HasWitness(e.self) {
			return max(min(heldFor, leaderCheckInterval), RenewInterval/5) + jitter
		}
		return leaderCheckInterval + jitter
	}
	e.candidate.Campaign(time.Now(), e.random.Uint64())
	request := e.candidate.Request()
	e.mu.Unlock()
	campaignCtx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	responses := 0
	e.sendToWitnesses(campaignCtx, record, request, func(*peerpb.PromiseResponse) bool {
		responses++
		return e.candidate.leading || responses == len(record.Hosts)
	})
	if _, _, ok := e.LeaderLease(time.Now()); ok {
		return RenewInterval
	}
	e.mu.Lock()
	e.campaignAttempts++
	backoff := min(e.campaignAttempts, 4)
	release := e.stepDownLocked()
	e.mu.Unlock()
	e.sendToWitnesses(context.WithoutCancel(ctx), record, release, nil)
	return RenewInterval/5 + time.Duration(backoff)*jitter
}

// sendToWitnesses sends request to every witness and passes the responses to the
// candidate. It returns when every witness has responded or timed out or, if done
// is not nil, as soon as done returns true. The function done runs with e.mu held.
func (e *Elector) sendToWitnesses(ctx context.Context, record Record, request *peerpb.PromiseRequest, done func(*peerpb.PromiseResponse) bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, host := range record.Hosts {
		group.Go(func() {
			response, sentAt, err := e.sendPromiseRequest(ctx, host, request)
			if err != nil {
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			e.handleResponseLocked(host, sentAt, request, response)
			if done != nil && done(response) {
				cancel()
			}
		})
	}
}

// sendPromiseRequest sends one request and returns the time before it was sent.
// It calls this host's own witness directly.
func (e *Elector) sendPromiseRequest(ctx context.Context, host topology.HostName, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, time.Time, error) {
	sentAt := time.Now()
	if host == e.self {
		return e.HandlePromise(request), sentAt, nil
	}
	response, err := e.transport.Promise(ctx, host, request)
	return response, sentAt, err
}

func (e *Elector) handleResponseLocked(host topology.HostName, sentAt time.Time, request *peerpb.PromiseRequest, response *peerpb.PromiseResponse) {
	if next := recordFromMessage(response.GetRecord()); next.Version > e.witness.Record().Version {
		// One peer is enough, because it proves that the newer record exists;
		// only a restarted witness without a record needs a majority.
		e.updateRecordLocked(next)
	}
	if request.GetRelease() {
		return
	}
	if e.candidate.HandleResponse(time.Now(), sentAt, host, topology.Term(request.GetTerm()), response) {
		e.campaignAttempts, e.leaderSince, e.knownLeader = 0, time.Now(), e.self
		e.announceChangeLocked("elected", request.GetTerm())
	}
}

func (e *Elector) updateRecordLocked(record Record) {
	e.witness.UpdateRecord(record)
	e.candidate.SetRecord(e.witness.Record())
}
