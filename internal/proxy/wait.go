package proxy

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/routing"
)

// waiterBytes is the estimated memory of one waiting request besides its body:
// the goroutine's stack, the headers and the connection's buffers.
const waiterBytes = 16 << 10

// awaitOwner returns the key's owner. While there is none, or while an attempt at
// the owner just failed, the request waits within the limits of memory and time.
func (q *request) awaitOwner() (routing.Owner, error) {
	waiting := false
	defer func() {
		if waiting {
			q.endWait()
		}
	}()
	for {
		// The channel is obtained before the lookup so that no change is missed.
		changed := q.handler.options.Resolver.Changed(q.service.Name)
		owner := q.handler.options.Resolver.Owner(q.service.Name, q.position)
		now := time.Now()
		var err error
		var retryAt time.Time
		switch owner.State {
		case routing.StateServed:
			if q.ownerAvoidance.err == nil {
				return owner, nil
			}
			err, retryAt = q.ownerAvoidance.err, q.ownerAvoidance.until
			changed := owner != q.ownerAvoidance.owner
			if changed || !retryAt.IsZero() && !now.Before(retryAt) {
				if !q.ownerAvoidance.usesBudget || q.service.retryBudget.Allow(now) {
					q.ownerAvoidance = avoidance{}
					return owner, nil
				}
				if changed {
					return owner, err
				}
				// The budget may allow the retry later.
				retryAt = now.Add(maxRetryDelay)
			}
		case routing.StateWaiting:
			err = apierror.New(apierror.KindNoOwner, "the key's range is without an owner")
		case routing.StateStale:
			err = apierror.New(apierror.KindStaleHost, "the routes of this host are too old")
		default:
			return owner, apierror.New(apierror.KindNoOwner, "the service's keys are not assigned")
		}
		if !waiting {
			if !q.beginWait(now) {
				return owner, apierror.New(apierror.KindOverloaded, "too many requests wait for an owner")
			}
			waiting = true
		}
		if !now.Before(q.ownerWaitEnd) {
			return owner, err
		}
		if retryAt.IsZero() || retryAt.After(q.ownerWaitEnd) {
			retryAt = q.ownerWaitEnd
		}
		if !q.awaitRouteChange(changed, retryAt.Sub(now)) {
			return owner, q.contextError()
		}
	}
}

// awaitRouteChange waits for a change of the routes or until d has passed. It
// returns false if the request's context ended.
func (q *request) awaitRouteChange(changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-q.ctx.Done():
		return false
	}
	return true
}

// beginWait reserves memory for the waiting request. It returns false if the
// memory limit of waiting requests is reached.
func (q *request) beginWait(now time.Time) bool {
	h := q.handler
	if h.waitingBytes.Add(q.waitBytes()) > h.limits.MaxWaitingBytes {
		h.waitingBytes.Add(-q.waitBytes())
		return false
	}
	if q.ownerWaitEnd.IsZero() {
		q.ownerWaitEnd = now.Add(h.limits.OwnerWaitTimeout)
	}
	h.metrics.SetWaiting(q.service.Name, q.service.waitingRequests.Add(1))
	return true
}

func (q *request) endWait() {
	q.handler.waitingBytes.Add(-q.waitBytes())
	q.handler.metrics.SetWaiting(q.service.Name, q.service.waitingRequests.Add(-1))
}

func (q *request) waitBytes() int64 { return waiterBytes + int64(len(q.body.buffer)) }
