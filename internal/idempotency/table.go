// Package idempotency prevents a request that must not be repeated from being
// executed again when its caller retries it with the same Idempotency-Key.
//
// Before the request is sent, a claim on (caller, key) is placed on two replica
// hosts, chosen by rendezvous hashing over the live hosts. Replicas hold claims
// in memory only, for ClaimTTL. The guarantees and their limits are:
//
//   - A retry through any host is refused, gets the stored response, or gets the
//     outcome of the first request. This holds as long as one of the two replicas
//     holds the claim and the receiving host selects and reaches it.
//   - The loss of one replica within ClaimTTL is tolerated. A restarted replica
//     receives the claim again at the next retry. If both are lost or restarted
//     before that, the claim is lost and a retry is executed again.
//   - While hosts disagree about which hosts are live, two hosts may select
//     replicas without a common member. During a network partition, each side may
//     reach only one of the two replicas. In both cases a retry on the other side
//     can be executed again.
//   - If neither replica can be reached, the request is refused as not executed.
//   - If the host of a claim is lost, the outcome of the claim becomes unknown
//     after InFlightTimeout. The request is not executed again under the same key
//     within ClaimTTL.
//   - Only the host that received a response can replay it. Through other hosts,
//     the caller learns only that the request was executed.
//   - A request without a key is executed at most once each time that the caller
//     sends it.
package idempotency

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// ClaimTTL is the time for which a claim is held after its last change.
	ClaimTTL = 15 * time.Minute
	// InFlightTimeout is the time for which a claim without an outcome counts
	// as in flight. It exceeds the longest deadline of a request.
	InFlightTimeout = time.Minute
	// MinClaimRetention is the time for which a finished claim is held even if
	// the table is full. Callers retry within seconds.
	MinClaimRetention = time.Minute
	// DefaultMaxClaims bounds the table of one replica host to about 20 MB.
	DefaultMaxClaims = 1 << 16
)

// Outcome is what is known about a claimed request.
type Outcome string

// The outcomes. The empty one means that the request is in flight.
const (
	OutcomeInFlight    Outcome = ""
	OutcomeExecuted    Outcome = "executed"
	OutcomeNotExecuted Outcome = "not-executed"
	OutcomeUnknown     Outcome = "unknown"
)

// Claim requests a key, or reports the outcome of the request that claimed it.
// It corresponds to ReserveRequest of the peer protocol.
type Claim struct {
	Caller      topology.Caller
	Key         string
	RequestID   string
	Fingerprint string
	Outcome     Outcome
}

// Reply is the reply of a replica host. It corresponds to ReserveResponse of
// the peer protocol.
type Reply struct {
	Claimed            bool
	Outcome            Outcome
	RequestID          string
	FingerprintDiffers bool
}

// Reserver calls Table.Reserve on a replica host, which may be this host.
type Reserver interface {
	Reserve(ctx context.Context, host topology.HostName, claim Claim) (Reply, error)
}

// claimKey identifies a claim.
type claimKey struct {
	caller topology.Caller
	key    string
}

type storedClaim struct {
	key       claimKey
	claim     Claim
	changedAt time.Time
}

// Table holds the claims of which this host is a replica. Its methods are safe
// for concurrent use.
type Table struct {
	maxClaims int

	mu     sync.Mutex
	claims map[claimKey]*list.Element // elements are of type *storedClaim
	order  *list.List                 // least recently changed first
}

// NewTable returns an empty table. If maxClaims is zero, DefaultMaxClaims is
// used.
func NewTable(maxClaims int) *Table {
	return &Table{maxClaims: cmp.Or(maxClaims, DefaultMaxClaims), claims: make(map[claimKey]*list.Element), order: list.New()}
}

// Reserve claims a key or records an outcome. It fails if the table is full of
// claims that may not be removed yet.
func (t *Table) Reserve(claim Claim, now time.Time) (Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := claimKey{claim.Caller, claim.Key}
	t.evictExpired(now)
	element := t.claims[n]
	if element == nil {
		if !t.evictIfFull(now) {
			return Reply{}, apierror.New(apierror.KindOverloaded, "too many idempotency keys are claimed")
		}
		t.claims[n] = t.order.PushBack(&storedClaim{key: n, claim: claim, changedAt: now})
		return Reply{Claimed: true, Outcome: claim.Outcome, RequestID: claim.RequestID}, nil
	}
	h := element.Value.(*storedClaim)
	outcome := h.outcome(now)
	switch {
	case h.claim.RequestID == claim.RequestID:
		if claim.Outcome != OutcomeInFlight {
			h.claim.Outcome = claim.Outcome
			h.changedAt = now
			t.order.MoveToBack(element)
		}
		return Reply{Claimed: true, Outcome: h.claim.Outcome, RequestID: claim.RequestID}, nil
	case outcome == OutcomeNotExecuted:
		h.claim, h.changedAt = claim, now
		t.order.MoveToBack(element)
		return Reply{Claimed: true, Outcome: claim.Outcome, RequestID: claim.RequestID}, nil
	}
	return Reply{
		Outcome: outcome, RequestID: h.claim.RequestID,
		FingerprintDiffers: h.claim.Fingerprint != claim.Fingerprint,
	}, nil
}

// outcome returns the outcome of the claim. It is unknown if none was reported
// within InFlightTimeout.
func (h *storedClaim) outcome(now time.Time) Outcome {
	if h.claim.Outcome == OutcomeInFlight && now.Sub(h.changedAt) >= InFlightTimeout {
		return OutcomeUnknown
	}
	return h.claim.Outcome
}

func (t *Table) evictExpired(now time.Time) {
	for e := t.order.Front(); e != nil && now.Sub(e.Value.(*storedClaim).changedAt) >= ClaimTTL; e = t.order.Front() {
		t.remove(e)
	}
}

// evictIfFull removes the least recently changed claim of a full table. It
// reports false if that claim is still in flight or too recent.
func (t *Table) evictIfFull(now time.Time) bool {
	if t.order.Len() < t.maxClaims {
		return true
	}
	e := t.order.Front()
	h := e.Value.(*storedClaim)
	if h.outcome(now) == OutcomeInFlight || now.Sub(h.changedAt) < MinClaimRetention {
		return false
	}
	t.remove(e)
	return true
}

func (t *Table) remove(e *list.Element) {
	delete(t.claims, e.Value.(*storedClaim).key)
	t.order.Remove(e)
}
