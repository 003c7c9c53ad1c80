package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// maxUnreadTime is how long a response that is too large to buffer may wait for its turn.
// Its server is occupied meanwhile, and cuts the response off after some seconds.
const maxUnreadTime = time.Second

// startedRequest is a request that was started before its turn. It ends once: when its
// response has been written, or when it is abandoned.
type startedRequest struct {
	h        *Handler
	number   uint64 // of the request on its connection
	r        *http.Request
	snapshot *control.Snapshot
	route    *routes.Route
	caller   *caller
	done     chan struct{} // closed when the outcome is known

	mu        sync.Mutex
	reserved  int64 // bytes taken from the budget
	taken     bool  // its turn has come
	abandoned bool  // its turn never comes
	left      bool  // it is abandoned because its caller has left
	ready     bool  // outcome or panicked is set
	outcome   outcome
	panicked  *panics.Recovered
	expiry    *time.Timer // nil unless a response that is too large to buffer waits
	// again is true if the response had to be dropped, so that the request is forwarded
	// again in its turn.
	again bool
}

// run forwards the request.
func (p *startedRequest) run() {
	defer close(p.done)
	var catcher panics.Catcher
	var o outcome
	catcher.Try(func() { o = p.h.execute(p.r, p.snapshot, p.route, p.caller) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcome, p.panicked, p.ready = o, catcher.Recovered(), true
	switch {
	case p.abandoned:
		p.finish()
	case !p.taken && p.panicked == nil && o.failure == nil:
		p.keep()
	}
}

// keep holds the response until the turn of its request. p.mu is held.
func (p *startedRequest) keep() {
	p.outcome.q.stage = stageReady
	if more := int64(len(p.outcome.result.Body)) - p.reserved; more > 0 && !p.reserve(more) {
		p.drop()
		return
	}
	if p.outcome.result.RemainingBody != nil {
		p.expiry = time.AfterFunc(maxUnreadTime, p.expire)
	}
}

// expire drops a response that has waited for too long.
func (p *startedRequest) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.taken && !p.abandoned {
		p.drop()
	}
}

// drop drops the response. p.mu is held.
func (p *startedRequest) drop() {
	p.closeBody()
	p.h.release(p.outcome.q)
	p.outcome.result = exchange.Result{}
	p.again = true
	p.release()
}

// closeBody ends the server's work on a response that is too large to buffer.
func (p *startedRequest) closeBody() {
	if p.outcome.result.RemainingBody != nil {
		p.h.closeRemainingBody(p.outcome.result)
	}
}

// reserve takes bytes from the budget and reports whether they were available.
func (p *startedRequest) reserve(n int64) bool {
	if p.h.ReadAheadBudget != nil && !p.h.ReadAheadBudget.TryAcquire(n) {
		return false
	}
	p.reserved += n
	return true
}

// release gives all bytes back to the budget.
func (p *startedRequest) release() {
	if p.h.ReadAheadBudget != nil && p.reserved > 0 {
		p.h.ReadAheadBudget.Release(p.reserved)
	}
	p.reserved = 0
}

// matches reports whether the request is the one that the HTTP server has read.
func (p *startedRequest) matches(r *http.Request) bool {
	return p.r.Method == r.Method && p.r.RequestURI == r.RequestURI && p.r.Host == r.Host
}

// take records that the turn of the request has come.
func (p *startedRequest) take() {
	p.h.readAhead.countTurn()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = true
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.release()
}

// abandon cancels a request whose turn never comes, because its caller has left or for
// another reason.
func (p *startedRequest) abandon(left bool) {
	p.h.readAhead.countTurn()
	p.caller.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned, p.left = true, left
	if p.ready {
		p.finish()
	}
}

// finish ends an abandoned request. p.mu is held.
func (p *startedRequest) finish() {
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.release()
	p.closeBody()
	p.h.end(p.outcome)
	p.h.Metrics.countCanceledAhead()
	q := p.outcome.q
	switch {
	case p.panicked != nil:
		p.h.Log.Error("entry: panic in a started request", zap.Error(p.panicked.AsError()))
	case p.left:
		p.h.recordDeparted(q)
	default:
		p.h.Metrics.recordResult(q.route, "canceled", time.Since(q.started))
		p.h.Log.Info("entry: started request canceled", zap.String("request", q.id), zap.String("stage", string(q.stage)),
			zap.String("service", q.service), zap.Duration("after", time.Since(q.started)), zap.Strings("servers", q.attemptedServers))
	}
}

// respondStarted waits for the outcome of a started request whose turn has come and
// writes it to the caller.
func (h *Handler) respondStarted(w http.ResponseWriter, r *http.Request, p *startedRequest) {
	defer p.caller.cancel()
	defer context.AfterFunc(r.Context(), p.caller.cancel)()
	<-p.done
	if p.panicked != nil {
		panic(p.panicked.AsError())
	}
	o := p.outcome
	defer h.end(o)
	if p.again {
		o.q.placement.Exclude, o.q.stage = nil, stageRetrying
		o.result, o.failure = h.forward(p.caller.ctx, h.View.Load(), o.q)
	}
	h.respond(w, r, o)
}
