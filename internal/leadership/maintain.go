package leadership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// probeInterval keeps the age of a witness's last store call well below
	// storeLimit. Hosts that are not witnesses call less often, because the
	// store's rates grow more slowly than the fleet.
	probeInterval     = 300 * time.Millisecond
	idleProbeInterval = 20 * time.Second
	probeTimeout      = 700 * time.Millisecond
	// replaceAfter is how long a witness must be silent before the leader
	// replaces it; an ordinary restart takes less.
	replaceAfter = 30 * time.Second
	// replaceInterval paces the changes of the record.
	replaceInterval = time.Second
	// maxAsked bounds how many hosts are asked whether they could be added.
	maxAsked = 64
)

// maintain learns the witness record, creates it in a new deployment, and as
// leader replaces witnesses.
func (e *Elector) maintain(ctx context.Context) {
	var changedAt time.Time
	for ctx.Err() == nil {
		e.probe(ctx, probeTimeout)
		e.mu.Lock()
		record, waiting := e.witness.Record(), e.witness.Waiting(time.Now())
		e.mu.Unlock()
		_, _, leads := e.Authority(time.Now())
		if record.Version == 0 && !waiting {
			e.learnFromPeers(ctx)
		}
		if leads && time.Since(changedAt) >= replaceInterval && e.reachedWithin(storeLimit) {
			changedAt = time.Now()
			e.replace(ctx)
		}
		if leads || record.Names(e.self) || record.Version == 0 {
			_ = pause.For(ctx, probeInterval)
		} else {
			_ = pause.For(ctx, idleProbeInterval)
		}
	}
}

func (e *Elector) reachedWithin(limit time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.reached.IsZero() && time.Since(e.reached) <= limit
}

// probe reads the witness record from the store and creates it if there is
// none.
func (e *Elector) probe(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	record, revision, err := e.records.load(ctx)
	if err != nil {
		e.log.Debug("leadership: store not reached", zap.Error(err))
		return
	}
	e.mu.Lock()
	e.reached = time.Now()
	if revision != 0 {
		e.learnLocked(record)
	}
	e.mu.Unlock()
	if revision != 0 {
		return
	}
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		e.log.Warn("leadership: host list not read", zap.Error(err))
		return
	}
	first, ok := firstRecord(hosts, e.newID())
	if !ok {
		return
	}
	// Whichever host's write is applied, the next probe reads it.
	if applied, err := e.records.write(ctx, first, 0); err != nil || applied {
		e.log.Info("leadership: first witness record written", zap.Any("hosts", first.Hosts), zap.Bool("applied", applied), zap.Error(err))
	}
}

func (e *Elector) newID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s-%016x", e.self, e.random.Uint64())
}

// learnFromPeers learns the record during an outage of the store. The newest
// record counts once a majority of its witnesses other than this host has
// answered: among them is one that confirmed the sealing of an older record.
// The requests are sent after the restart wait for the same reason.
func (e *Elector) learnFromPeers(ctx context.Context) {
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := make(map[topology.HostName]*peerpb.PromiseResponse)
	var group conc.WaitGroup
	for _, h := range hosts {
		if h.Name == e.self {
			continue
		}
		group.Go(func() {
			response, err := e.transport.Promise(ctx, h.Name, &peerpb.PromiseRequest{Candidate: string(e.self)})
			if err == nil && response.GetReason() != ReasonRecovering {
				mu.Lock()
				defer mu.Unlock()
				answers[h.Name] = response
			}
		})
	}
	group.Wait()
	if record, ok := recordFromPeers(e.self, answers); ok {
		e.mu.Lock()
		e.learnLocked(record)
		e.mu.Unlock()
		e.log.Info("leadership: witness record learnt from peers", zap.Uint64("version", record.Version))
	}
}

// recordFromPeers returns the newest record in the answers if a majority of
// its witnesses other than self answered.
func recordFromPeers(self topology.HostName, answers map[topology.HostName]*peerpb.PromiseResponse) (Record, bool) {
	var newest Record
	for _, a := range answers {
		if r := recordOf(a.GetRecord()); r.Version > newest.Version {
			newest = r
		}
	}
	others, answered := 0, 0
	for _, h := range newest.Hosts {
		if h == self {
			continue
		}
		others++
		if _, ok := answers[h]; ok {
			answered++
		}
	}
	return newest, newest.Version > 0 && answered >= others/2+1
}

// replace takes one step towards a record of live witnesses: it seals the
// previous record, removes one that is gone, or adds one.
func (e *Elector) replace(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	record, revision, err := e.records.load(ctx)
	if err != nil || revision == 0 {
		return
	}
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	next, ok := e.chooseNext(ctx, record, hosts)
	if !ok || !e.seal(ctx, record, record.Previous) {
		return
	}
	next.ID = e.newID()
	if _, _, leads := e.Authority(time.Now()); !leads {
		return
	}
	applied, err := e.records.write(ctx, next, revision)
	e.log.Info("leadership: witness record changed", zap.Any("from", record.Hosts), zap.Any("to", next.Hosts), zap.Bool("applied", applied), zap.Error(err))
	if !applied {
		return
	}
	e.mu.Lock()
	e.learnLocked(next)
	e.mu.Unlock()
	e.seal(ctx, next, slices.Concat(next.Hosts, next.Previous))
}

// chooseNext returns the next record. A host is added only if it answers: the
// list of hosts lags, and the host just removed may still be on it.
func (e *Elector) chooseNext(ctx context.Context, record Record, hosts []topology.Host) (Record, bool) {
	var mu sync.Mutex
	answered := make(map[topology.HostName]bool)
	gone := func(h topology.HostName) bool {
		if !record.Names(h) {
			return !answered[h]
		}
		return h != e.self && e.candidate.gone(time.Now(), e.ledSince, h, replaceAfter)
	}
	e.mu.Lock()
	complete := len(record.Hosts) >= wantedWitnesses(len(hosts)) && !slices.ContainsFunc(record.Hosts, gone)
	e.mu.Unlock()
	if complete {
		return Record{}, false
	}
	asking, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	group := pool.New().WithMaxGoroutines(maxAsked)
	for _, h := range hosts[:min(len(hosts), maxAsked)] {
		if record.Names(h.Name) {
			continue
		}
		group.Go(func() {
			if _, err := e.transport.Promise(asking, h.Name, &peerpb.PromiseRequest{Candidate: string(e.self)}); err == nil {
				mu.Lock()
				defer mu.Unlock()
				answered[h.Name] = true
			}
		})
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return nextRecord(record, hosts, gone)
}

// seal sends record to hosts and reports whether a majority of the previous
// witnesses confirmed within PromiseTTL that they refuse older records. The
// confirmations must lie that close together: a witness that restarts in
// between waits as long and then asks the others.
func (e *Elector) seal(ctx context.Context, record Record, hosts []topology.HostName) bool {
	ctx, cancel := context.WithTimeout(ctx, PromiseTTL)
	defer cancel()
	previous := Record{Hosts: record.Previous}
	request := &peerpb.SealRequest{Next: record.message()}
	asked := make(map[topology.HostName]bool)
	var mu sync.Mutex
	sealed := 0
	var group conc.WaitGroup
	for _, h := range hosts {
		if asked[h] {
			continue
		}
		asked[h] = true
		group.Go(func() {
			var response *peerpb.SealResponse
			if h == e.self {
				response = e.HandleSeal(request)
			} else if answer, err := e.transport.Seal(ctx, h, request); err == nil {
				response = answer
			}
			mu.Lock()
			defer mu.Unlock()
			if response.GetSealed() && previous.Names(h) {
				sealed++
			}
		})
	}
	group.Wait()
	return len(record.Previous) == 0 || sealed >= previous.Majority()
}
