package proxy

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/routing"
)

// waiterBytes is what one waiting request is taken to hold besides its body:
// its goroutine's stack, its headers and the connection's buffers.
const waiterBytes = 16 << 10

// awaitOwner returns the key's owner. While there is none, or while the owner
// just failed, the request waits within the bounds of bytes and time.
func (q *request) awaitOwner() (routing.Owner, error) {
	waiting := false
	defer func() {
		if waiting {
			q.leaveWaiting()
		}
	}()
	for {
		// The channel is taken before the lookup, so no change is missed.
		changed := q.handler.options.Resolver.Changed(q.service.Name)
		owner := q.handler.options.Resolver.Owner(q.service.Name, q.position)
		now := time.Now()
		var err error
		var retryAt time.Time
		switch owner.State {
		case routing.StateServed:
			if q.avoid.err == nil {
				return owner, nil
			}
			err, retryAt = q.avoid.err, q.avoid.until
			changed := owner != q.avoid.owner
			if changed || !retryAt.IsZero() && !now.Before(retryAt) {
				if !q.avoid.budgeted || q.service.budget.Allow(now) {
					q.avoid = avoidance{}
					return owner, nil
				}
				if changed {
					return owner, err
				}
				// The budget may allow it later.
				retryAt = now.Add(retryLimit)
			}
		case routing.StateWaiting:
			err = apierror.New(apierror.KindNoOwner, "the key's range is without an owner")
		case routing.StateStale:
			err = apierror.New(apierror.KindStaleHost, "the routes of this host are too old")
		default:
			return owner, apierror.New(apierror.KindNoOwner, "the service's keys are not assigned")
		}
		if !waiting {
			if !q.enterWaiting(now) {
				return owner, apierror.New(apierror.KindOverloaded, "too many requests wait for an owner")
			}
			waiting = true
		}
		if !now.Before(q.waitEnd) {
			return owner, err
		}
		if retryAt.IsZero() || retryAt.After(q.waitEnd) {
			retryAt = q.waitEnd
		}
		if !q.awaitChange(changed, retryAt.Sub(now)) {
			return owner, q.ended()
		}
	}
}

// awaitChange waits for a change of the routes or until d has passed. It
// returns false if the request ended.
func (q *request) awaitChange(changed <-chan struct{}, d time.Duration) bool {
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

// enterWaiting reserves the request's bytes in the waiting buffer.
func (q *request) enterWaiting(now time.Time) bool {
	h := q.handler
	if h.waitingBytes.Add(q.waitingSize()) > h.limits.WaitBytes {
		h.waitingBytes.Add(-q.waitingSize())
		return false
	}
	if q.waitEnd.IsZero() {
		q.waitEnd = now.Add(h.limits.WaitTime)
	}
	h.metrics.Waiting(q.service.Name, q.service.waiting.Add(1))
	return true
}

func (q *request) leaveWaiting() {
	q.handler.waitingBytes.Add(-q.waitingSize())
	q.handler.metrics.Waiting(q.service.Name, q.service.waiting.Add(-1))
}

func (q *request) waitingSize() int64 { return waiterBytes + int64(len(q.body.buffer)) }
