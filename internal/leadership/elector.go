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
	// callTimeout bounds one request to a witness; two rounds of renewal can
	// be outstanding to a host that does not answer.
	callTimeout = 2 * RenewInterval
	// campaignLimit bounds one attempt, after which its promises are released.
	campaignLimit = 150 * time.Millisecond
	// electionJitter spreads the attempts of several hosts after the loss of a
	// leader. The time budget allows 150 ms for an election.
	electionJitter = 80 * time.Millisecond
	// followInterval is the longest time between two looks of a host that is
	// not a witness at whether there is a leader. Witnesses are candidates
	// themselves and notice a loss at once, so that the others need not.
	followInterval = 2 * time.Second
	// giveWayDelay keeps a host that gave way from being elected at once
	// again; grants outlast it.
	giveWayDelay = 400 * time.Millisecond
)

// Transport carries requests to the other hosts.
type Transport interface {
	Promise(ctx context.Context, host topology.HostName, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error)
	Seal(ctx context.Context, host topology.HostName, request *peerpb.SealRequest) (*peerpb.SealResponse, error)
}

// Options sets up an Elector.
type Options struct {
	Self      topology.HostName
	Transport Transport
	Store     store.Store
	Hosts     hostlist.Lister
	Log       *zap.Logger
	// Random seeds the jitter and the low part of terms.
	Random rand.Source
}

// Elector runs this host's witness and candidate.
type Elector struct {
	self      topology.HostName
	transport Transport
	records   records
	hosts     hostlist.Lister
	log       *zap.Logger

	mu        sync.Mutex
	random    *rand.Rand
	witness   *Witness
	candidate *Candidate
	changed   chan struct{}
	reached   time.Time // last successful store call, zero if none
	notBefore time.Time // no campaign earlier
	attempts  int
	ledSince  time.Time
	leader    topology.HostName
}

// New returns an Elector. Its restart wait starts now.
func New(options Options) *Elector {
	return &Elector{
		self: options.Self, transport: options.Transport, hosts: options.Hosts,
		records: records{store: options.Store}, log: options.Log.Named("leadership"),
		random: rand.New(options.Random), witness: NewWitness(options.Self, time.Now()),
		candidate: NewCandidate(options.Self), changed: make(chan struct{}),
	}
}

// Authority returns the term and the end of this host's authority, if it is
// the leader at now. It must be asked again immediately before each action.
func (e *Elector) Authority(now time.Time) (term topology.Term, until time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	led := e.candidate.leading
	term, until, ok = e.candidate.Authority(now)
	if led && !ok {
		e.noteLocked("authority lapsed", 0)
	}
	return term, until, ok
}

// Changed returns a channel that is closed when this host next becomes leader
// or ceases to be it by resigning or by noticing that its authority lapsed.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Leader returns the host that this host last knew to be the leader.
func (e *Elector) Leader() topology.HostName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Observe reports a term seen elsewhere, in an assignment or at a server, so
// that the next term of this host is higher. A leader whose term is lower than
// term resigns: servers would refuse it.
func (e *Elector) Observe(term topology.Term) {
	e.mu.Lock()
	e.candidate.Observe(term)
	outdated := e.candidate.leading && e.candidate.term < term
	e.mu.Unlock()
	if outdated {
		e.resign("a server has seen a higher term", 0)
	}
}

// StoreReached reports a successful call of the store by another part of this
// process.
func (e *Elector) StoreReached() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reached = time.Now()
}

// Resign gives up leadership and releases the promises. The caller must have
// stopped acting as leader.
func (e *Elector) Resign() { e.resign("asked to", giveWayDelay) }

func (e *Elector) resign(reason string, delay time.Duration) {
	e.mu.Lock()
	led, record, request := e.candidate.leading, e.candidate.record, e.releaseLocked()
	if led {
		e.noteLocked(reason, request.GetTerm())
	}
	e.notBefore = time.Now().Add(delay)
	e.mu.Unlock()
	if request.GetTerm() != 0 {
		e.round(context.Background(), record, request, nil)
	}
}

// releaseLocked ends the candidate's term and returns the request that
// releases its promises.
func (e *Elector) releaseLocked() *peerpb.PromiseRequest {
	request := e.candidate.Request()
	request.Release = true
	e.candidate.StepDown()
	return request
}

// noteLocked logs a change of leadership and wakes those who wait for it.
func (e *Elector) noteLocked(what string, term uint64) {
	e.log.Info("leadership: "+what, zap.String("host", string(e.self)), zap.Uint64("term", term))
	close(e.changed)
	e.changed = make(chan struct{})
}

// HandlePromise answers a request from another host.
func (e *Elector) HandlePromise(request *peerpb.PromiseRequest) *peerpb.PromiseResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promiseLocked(time.Now(), request)
}

func (e *Elector) promiseLocked(now time.Time, request *peerpb.PromiseRequest) *peerpb.PromiseResponse {
	age := time.Duration(-1)
	if !e.reached.IsZero() {
		age = now.Sub(e.reached)
	}
	response := e.witness.Promise(now, request, age)
	if response.GetGranted() && !request.GetRelease() {
		e.leader = topology.HostName(request.GetCandidate())
	}
	return response
}

// HandleSeal answers a request from another host.
func (e *Elector) HandleSeal(request *peerpb.SealRequest) *peerpb.SealResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := e.witness.Seal(time.Now(), request)
	e.candidate.SetRecord(e.witness.Record())
	return response
}

// Run takes part in elections until ctx ends, then resigns.
func (e *Elector) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { e.maintain(ctx) })
	for ctx.Err() == nil {
		_ = pause.For(ctx, e.step(ctx, &group))
	}
	e.resign("stopping", 0)
	return nil
}

// step does what is due and returns how long to wait.
func (e *Elector) step(ctx context.Context, group *conc.WaitGroup) time.Duration {
	now := time.Now()
	if _, _, ok := e.Authority(now); ok {
		e.mu.Lock()
		giveWay := e.candidate.GiveWay(now, e.reached)
		request, record := e.candidate.Request(), e.candidate.record
		e.mu.Unlock()
		if giveWay {
			e.resign("resigned, another host reaches the store", giveWayDelay)
			return 0
		}
		group.Go(func() { e.round(ctx, record, request, nil) })
		return RenewInterval
	}
	e.mu.Lock()
	holder, left := e.witness.Holder(now)
	record, early := e.witness.Record(), e.notBefore.Sub(now)
	jitter := time.Duration(e.random.Int64N(int64(electionJitter)))
	waiting := e.witness.Waiting(now)
	if holder != "" && holder != e.self {
		e.attempts = 0
	}
	e.mu.Unlock()
	switch {
	case waiting || record.Version == 0:
		return jitter
	case holder != "" && holder != e.self:
		return left + jitter
	case early > 0:
		return early
	}
	if !record.Names(e.self) && e.anyHolder(ctx, record) {
		return followInterval + jitter
	}
	return e.campaign(ctx, record, jitter)
}

// anyHolder asks one witness, chosen at random, whether a promise to a leader is
// in effect. Most hosts are not witnesses: if each asked all witnesses, these
// would answer as many questions as there are hosts.
func (e *Elector) anyHolder(ctx context.Context, record Record) bool {
	e.mu.Lock()
	host := record.Hosts[e.random.IntN(len(record.Hosts))]
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.PromiseRequest{Candidate: string(e.self), RecordVersion: record.Version}
	response, sentAt, err := e.ask(ctx, host, request)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredLocked(host, sentAt, request, response)
	if response.GetHolder() == "" {
		return false
	}
	e.leader = topology.HostName(response.GetHolder())
	return true
}

// campaign asks whether there is a leader and, if not, tries to become it. The
// question first keeps a host that cannot reach the leader from raising the
// term at witnesses that can.
func (e *Elector) campaign(ctx context.Context, record Record, jitter time.Duration) time.Duration {
	ask := &peerpb.PromiseRequest{Candidate: string(e.self), RecordVersion: record.Version}
	free, held := 0, time.Duration(0)
	e.round(ctx, record, ask, func(response *peerpb.PromiseResponse) bool {
		switch {
		case response.GetHolder() != "":
			e.leader = topology.HostName(response.GetHolder())
			held = max(held, time.Duration(response.GetRemainingMillis())*time.Millisecond)
		case response.GetReason() == ReasonTerm:
			free++
		}
		return free >= record.Majority()
	})
	if !record.Names(e.self) && !e.reachedWithin(storeLimit) {
		e.probe(ctx, campaignLimit)
	}
	e.mu.Lock()
	// A host that does not reach the store leaves the first attempt to others.
	giveWay := e.attempts == 0 && e.candidate.GiveWay(time.Now(), e.reached)
	if free < record.Majority() || giveWay {
		e.attempts++
		e.mu.Unlock()
		if giveWay {
			return giveWayDelay
		}
		if record.Names(e.self) {
			return max(min(held, followInterval), RenewInterval/5) + jitter
		}
		return followInterval + jitter
	}
	e.candidate.Campaign(time.Now(), e.random.Uint64())
	request := e.candidate.Request()
	e.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, campaignLimit)
	defer cancel()
	answers := 0
	e.round(limited, record, request, func(*peerpb.PromiseResponse) bool {
		answers++
		return e.candidate.leading || answers == len(record.Hosts)
	})
	if _, _, ok := e.Authority(time.Now()); ok {
		return RenewInterval
	}
	e.mu.Lock()
	e.attempts++
	backoff := min(e.attempts, 4)
	release := e.releaseLocked()
	e.mu.Unlock()
	e.round(context.WithoutCancel(ctx), record, release, nil)
	return RenewInterval/5 + time.Duration(backoff)*jitter
}

// round sends request to every witness and feeds the answers to the candidate.
// It returns when all have answered or timed out or, if enough is not nil, as
// soon as enough returns true. The function enough runs under the lock.
func (e *Elector) round(ctx context.Context, record Record, request *peerpb.PromiseRequest, enough func(*peerpb.PromiseResponse) bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, host := range record.Hosts {
		group.Go(func() {
			response, sentAt, err := e.ask(ctx, host, request)
			if err != nil {
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			e.answeredLocked(host, sentAt, request, response)
			if enough != nil && enough(response) {
				cancel()
			}
		})
	}
}

// ask sends one request; this host's own witness is asked directly.
func (e *Elector) ask(ctx context.Context, host topology.HostName, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, time.Time, error) {
	sentAt := time.Now()
	if host == e.self {
		return e.HandlePromise(request), sentAt, nil
	}
	response, err := e.transport.Promise(ctx, host, request)
	return response, sentAt, err
}

func (e *Elector) answeredLocked(host topology.HostName, sentAt time.Time, request *peerpb.PromiseRequest, response *peerpb.PromiseResponse) {
	if next := recordOf(response.GetRecord()); next.Version > e.witness.Record().Version {
		// A promise of this host as witness does not need the proof that a
		// restarted witness needs: the newer record exists.
		e.learnLocked(next)
	}
	if request.GetRelease() {
		return
	}
	if e.candidate.Response(time.Now(), sentAt, host, topology.Term(request.GetTerm()), response) {
		e.attempts, e.ledSince, e.leader = 0, time.Now(), e.self
		e.noteLocked("elected", request.GetTerm())
	}
}

func (e *Elector) learnLocked(record Record) {
	e.witness.Learn(record)
	e.candidate.SetRecord(e.witness.Record())
}
