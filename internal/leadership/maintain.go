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
	// recordSyncInterval keeps the age of a witness's last store call well
	// below maxStoreAge. Hosts that are not witnesses use the longer
	// idleRecordSyncInterval, so that the load on the store grows more slowly
	// than the number of hosts.
	recordSyncInterval     = 300 * time.Millisecond
	idleRecordSyncInterval = 20 * time.Second
	recordSyncTimeout      = 700 * time.Millisecond
	// witnessSilenceTimeout is how long a witness must send no response before
	// the leader replaces it. A normal restart takes less.
	witnessSilenceTimeout = 30 * time.Second
	// recordChangeInterval is the shortest time between two record changes.
	recordChangeInterval = time.Second
	// maxCandidateProbes bounds how many hosts are checked as new witnesses.
	maxCandidateProbes = 64
)

// maintain keeps the witness record up to date. It creates the record of a new
// deployment and, on the leader, replaces witnesses.
func (e *Elector) maintain(ctx context.Context) {
	var changedAt time.Time
	for ctx.Err() == nil {
		e.syncRecord(ctx, recordSyncTimeout)
		e.mu.Lock()
		record, waiting := e.witness.Record(), e.witness.InStartupWait(time.Now())
		e.mu.Unlock()
		_, _, leads := e.LeaderLease(time.Now())
		if record.Version == 0 && !waiting {
			e.syncRecordFromPeers(ctx)
		}
		if leads && time.Since(changedAt) >= recordChangeInterval && e.storeReachedWithin(maxStoreAge) {
			changedAt = time.Now()
			e.updateWitnesses(ctx)
		}
		if leads || record.HasWitness(e.self) || record.Version == 0 {
			_ = pause.For(ctx, recordSyncInterval)
		} else {
			_ = pause.For(ctx, idleRecordSyncInterval)
		}
	}
}

func (e *Elector) storeReachedWithin(limit time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.storeReachedAt.IsZero() && time.Since(e.storeReachedAt) <= limit
}

// syncRecord reads the witness record from the store and creates it if there is
// none. A successful read also shows that this host reaches the store.
func (e *Elector) syncRecord(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	record, revision, err := e.recordStore.load(ctx)
	if err != nil {
		e.log.Debug("leadership: cannot read the witness record from the store", zap.Error(err))
		return
	}
	e.mu.Lock()
	e.storeReachedAt = time.Now()
	if revision != 0 {
		e.updateRecordLocked(record)
	}
	e.mu.Unlock()
	if revision != 0 {
		return
	}
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		e.log.Warn("leadership: cannot read the host list", zap.Error(err))
		return
	}
	first, ok := initialRecord(hosts, e.newID())
	if !ok {
		return
	}
	// If another host's write was applied instead, the next call reads it.
	if applied, err := e.recordStore.write(ctx, first, 0); err != nil || applied {
		e.log.Info("leadership: first witness record written", zap.Any("hosts", first.Hosts), zap.Bool("applied", applied), zap.Error(err))
	}
}

func (e *Elector) newID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s-%016x", e.self, e.random.Uint64())
}

// syncRecordFromPeers obtains the record during an outage of the store. The newest
// record counts once a majority of its witnesses other than this host has
// responded: at least one of them confirmed the seal of the older record. The
// requests are sent after the wait that follows a start for the same reason.
func (e *Elector) syncRecordFromPeers(ctx context.Context) {
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	responses := make(map[topology.HostName]*peerpb.PromiseResponse)
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
				responses[h.Name] = response
			}
		})
	}
	group.Wait()
	if record, ok := recordFromPeers(e.self, responses); ok {
		e.mu.Lock()
		e.updateRecordLocked(record)
		e.mu.Unlock()
		e.log.Info("leadership: witness record obtained from peers", zap.Uint64("version", record.Version))
	}
}

// recordFromPeers returns the newest record in the responses if a majority of
// its witnesses other than self has responded.
func recordFromPeers(self topology.HostName, responses map[topology.HostName]*peerpb.PromiseResponse) (Record, bool) {
	var newest Record
	for _, a := range responses {
		if r := recordFromMessage(a.GetRecord()); r.Version > newest.Version {
			newest = r
		}
	}
	others, responded := 0, 0
	for _, h := range newest.Hosts {
		if h == self {
			continue
		}
		others++
		if _, ok := responses[h]; ok {
			responded++
		}
	}
	return newest, newest.Version > 0 && responded >= others/2+1
}

// updateWitnesses adds or removes one witness if the record needs a change. It
// first seals the current record, so that a majority of the previous witnesses
// refuses requests under the record before.
func (e *Elector) updateWitnesses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordSyncTimeout)
	defer cancel()
	record, revision, err := e.recordStore.load(ctx)
	if err != nil || revision == 0 {
		return
	}
	hosts, err := e.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	next, ok := e.chooseNextRecord(ctx, record, hosts)
	if !ok || !e.sealRecord(ctx, record, record.Previous) {
		return
	}
	next.ID = e.newID()
	if _, _, leads := e.LeaderLease(time.Now()); !leads {
		return
	}
	applied, err := e.recordStore.write(ctx, next, revision)
	e.log.Info("leadership: witness record changed", zap.Any("from", record.Hosts), zap.Any("to", next.Hosts), zap.Bool("applied", applied), zap.Error(err))
	if !applied {
		return
	}
	e.mu.Lock()
	e.updateRecordLocked(next)
	e.mu.Unlock()
	e.sealRecord(ctx, next, slices.Concat(next.Hosts, next.Previous))
}

// chooseNextRecord returns the next record and whether one is needed. A host is
// added only if it responds, because the host list may be outdated and still
// contain the host that was just removed.
func (e *Elector) chooseNextRecord(ctx context.Context, record Record, hosts []topology.Host) (Record, bool) {
	var mu sync.Mutex
	responsive := make(map[topology.HostName]bool)
	unavailable := func(h topology.HostName) bool {
		if !record.HasWitness(h) {
			return !responsive[h]
		}
		return h != e.self && e.candidate.silentFor(time.Now(), e.leaderSince, h, witnessSilenceTimeout)
	}
	e.mu.Lock()
	complete := len(record.Hosts) >= targetWitnessCount(len(hosts)) && !slices.ContainsFunc(record.Hosts, unavailable)
	e.mu.Unlock()
	if complete {
		return Record{}, false
	}
	probeCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	group := pool.New().WithMaxGoroutines(maxCandidateProbes)
	for _, h := range hosts[:min(len(hosts), maxCandidateProbes)] {
		if record.HasWitness(h.Name) {
			continue
		}
		group.Go(func() {
			if _, err := e.transport.Promise(probeCtx, h.Name, &peerpb.PromiseRequest{Candidate: string(e.self)}); err == nil {
				mu.Lock()
				defer mu.Unlock()
				responsive[h.Name] = true
			}
		})
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return nextRecord(record, hosts, unavailable)
}

// sealRecord sends record to hosts and reports whether a majority of the previous
// witnesses confirmed that they refuse older records. All confirmations must
// arrive within PromiseTTL: a witness that restarts meanwhile forgets its
// confirmation, waits that long, and only then requests the record from the
// others.
func (e *Elector) sealRecord(ctx context.Context, record Record, hosts []topology.HostName) bool {
	ctx, cancel := context.WithTimeout(ctx, PromiseTTL)
	defer cancel()
	previous := Record{Hosts: record.Previous}
	request := &peerpb.SealRequest{Next: record.toMessage()}
	requested := make(map[topology.HostName]bool)
	var mu sync.Mutex
	sealed := 0
	var group conc.WaitGroup
	for _, h := range hosts {
		if requested[h] {
			continue
		}
		requested[h] = true
		group.Go(func() {
			var response *peerpb.SealResponse
			if h == e.self {
				response = e.HandleSeal(request)
			} else if peerResponse, err := e.transport.Seal(ctx, h, request); err == nil {
				response = peerResponse
			}
			mu.Lock()
			defer mu.Unlock()
			if response.GetSealed() && previous.HasWitness(h) {
				sealed++
			}
		})
	}
	group.Wait()
	return len(record.Previous) == 0 || sealed >= previous.Majority()
}
