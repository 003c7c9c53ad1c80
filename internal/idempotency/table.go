// Package idempotency keeps a request that must not be repeated from being
// executed again when its caller resends it under the same Idempotency-Key.
//
// A claim on (caller, key) is placed on two keeper hosts, chosen by rendezvous
// hashing over the live hosts, before the request is sent. Keepers hold claims
// in memory only, for KeepFor. How far the promise goes:
//
//   - A resend through any host is refused, answered from the kept answer or told
//     the outcome, as long as one of the two keepers still holds the claim and
//     the resending host chooses and reaches it.
//   - The loss of one keeper within KeepFor is tolerated; a restarted one learns
//     the claim again at the next resend. If both are lost or restarted before
//     that, the claim is forgotten and a resend is executed again.
//   - While hosts disagree about which hosts are live, two hosts may choose keepers
//     without a common member; while the network is divided, each side may reach
//     only one of the two. In both cases a resend on the other side can be
//     executed again.
//   - If neither keeper can be reached, the request is refused as not executed.
//   - A claim whose host was lost is taken as of unknown outcome after
//     InFlightFor; it is never run again under the same key within KeepFor.
//   - Only the host that received an answer can replay it; elsewhere a resend
//     learns that the request was executed.
//   - Requests without a key are executed at most once per sending by the caller.
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
	// KeepFor is how long a claim is remembered after its last change.
	KeepFor = 15 * time.Minute
	// InFlightFor is how long a claim without an outcome counts as in flight.
	// It is above the longest deadline of a request.
	InFlightFor = time.Minute
	// MinKeep is how long a finished claim is kept even if the table is full:
	// callers resend within seconds.
	MinKeep = time.Minute
	// DefaultMaxClaims bounds a keeper's table to about 20 MB.
	DefaultMaxClaims = 1 << 16
)

// Outcome is what is known of a claimed request.
type Outcome string

// The outcomes; the empty one means in flight.
const (
	OutcomeInFlight    Outcome = ""
	OutcomeExecuted    Outcome = "executed"
	OutcomeNotExecuted Outcome = "not-executed"
	OutcomeUnknown     Outcome = "unknown"
)

// Claim asks for a key, or reports the outcome of a request that claimed it. It
// corresponds to ReserveRequest of the peer protocol.
type Claim struct {
	Caller      topology.Caller
	Key         string
	RequestID   string
	Fingerprint string
	Outcome     Outcome
}

// Reply is a keeper's answer. It corresponds to ReserveResponse.
type Reply struct {
	Claimed            bool
	Outcome            Outcome
	RequestID          string
	FingerprintDiffers bool
}

// Keeper reaches the tables of keeper hosts, this host's own among them.
type Keeper interface {
	Reserve(ctx context.Context, host topology.HostName, claim Claim) (Reply, error)
}

// name identifies a claim.
type name struct {
	caller topology.Caller
	key    string
}

type held struct {
	name  name
	claim Claim
	since time.Time
}

// Table holds the claims for which this host is a keeper. Its methods are safe
// for concurrent use.
type Table struct {
	maxClaims int

	mu     sync.Mutex
	claims map[name]*list.Element // of *held
	order  *list.List             // least recently changed first
}

// NewTable returns an empty table. If maxClaims is zero, DefaultMaxClaims holds.
func NewTable(maxClaims int) *Table {
	return &Table{maxClaims: cmp.Or(maxClaims, DefaultMaxClaims), claims: make(map[name]*list.Element), order: list.New()}
}

// Reserve claims a key or records an outcome. It fails if the table is full of
// claims that may not be forgotten yet.
func (t *Table) Reserve(claim Claim, now time.Time) (Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := name{claim.Caller, claim.Key}
	t.expire(now)
	element := t.claims[n]
	if element == nil {
		if !t.makeRoom(now) {
			return Reply{}, apierror.New(apierror.KindOverloaded, "too many idempotency keys are claimed")
		}
		t.claims[n] = t.order.PushBack(&held{name: n, claim: claim, since: now})
		return Reply{Claimed: true, Outcome: claim.Outcome, RequestID: claim.RequestID}, nil
	}
	h := element.Value.(*held)
	outcome := h.outcome(now)
	switch {
	case h.claim.RequestID == claim.RequestID:
		if claim.Outcome != OutcomeInFlight {
			h.claim.Outcome = claim.Outcome
			h.since = now
			t.order.MoveToBack(element)
		}
		return Reply{Claimed: true, Outcome: h.claim.Outcome, RequestID: claim.RequestID}, nil
	case outcome == OutcomeNotExecuted:
		h.claim, h.since = claim, now
		t.order.MoveToBack(element)
		return Reply{Claimed: true, Outcome: claim.Outcome, RequestID: claim.RequestID}, nil
	}
	return Reply{
		Outcome: outcome, RequestID: h.claim.RequestID,
		FingerprintDiffers: h.claim.Fingerprint != claim.Fingerprint,
	}, nil
}

// outcome returns the claim's outcome; without a report it becomes unknown.
func (h *held) outcome(now time.Time) Outcome {
	if h.claim.Outcome == OutcomeInFlight && now.Sub(h.since) >= InFlightFor {
		return OutcomeUnknown
	}
	return h.claim.Outcome
}

func (t *Table) expire(now time.Time) {
	for e := t.order.Front(); e != nil && now.Sub(e.Value.(*held).since) >= KeepFor; e = t.order.Front() {
		t.remove(e)
	}
}

// makeRoom removes the least recently changed claim of a full table if it is
// finished and old enough.
func (t *Table) makeRoom(now time.Time) bool {
	if t.order.Len() < t.maxClaims {
		return true
	}
	e := t.order.Front()
	h := e.Value.(*held)
	if h.outcome(now) == OutcomeInFlight || now.Sub(h.since) < MinKeep {
		return false
	}
	t.remove(e)
	return true
}

func (t *Table) remove(e *list.Element) {
	delete(t.claims, e.Value.(*held).name)
	t.order.Remove(e)
}
