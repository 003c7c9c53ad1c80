package entry

import (
	"net/http"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// outcome is how a request has ended at the servers, before anything is written to its
// caller.
type outcome struct {
	q          *request // nil if no route was found
	result     exchange.Result
	failure    *apierror.Error // nil if result is the response
	stopChecks func()          // ends the examination of the caller's connection, or nil
}

// ServeHTTP forwards one request, unless that has been started already, and writes the
// response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	s := sessionOf(r.Context())
	defer s.finish()
	p := s.take(r)
	h.announceClose(w, s)
	if p != nil {
		h.respondStarted(w, r, p)
		return
	}
	snapshot, route, failure := h.match(r)
	if failure != nil {
		h.writeError(w, nil, r, failure)
		return
	}
	c := newCaller(r.Context(), started)
	defer c.cancel()
	o := h.execute(r, snapshot, route, c)
	defer h.end(o)
	h.respond(w, r, o)
}

// announceClose makes a stopping host close the connection with the response, unless started
// requests wait behind it.
func (h *Handler) announceClose(w http.ResponseWriter, s *session) {
	if h.drain.Load() != nil && s.stop() == 0 {
		w.Header().Set("Connection", "close")
	}
}

// match returns the snapshot by which the request is served and its route.
func (h *Handler) match(r *http.Request) (*control.Snapshot, *routes.Route, *apierror.Error) {
	snapshot := h.View.Load()
	if snapshot.Config == nil || snapshot.Servers == nil || !snapshot.Evacuations.Known() {
		return nil, nil, &apierror.Error{Kind: apierror.KindStaleHost, Detail: "no configuration yet", RetryAfter: noConfigRetryAfter}
	}
	route := snapshot.Config.Match(r.Host, rawPath(r))
	if route == nil {
		return nil, nil, apierror.New(apierror.KindNotFound, "no route for host %s", r.Host)
	}
	return snapshot, route, nil
}

// execute forwards the request to servers. The outcome must be passed to end.
func (h *Handler) execute(r *http.Request, snapshot *control.Snapshot, route *routes.Route, c *caller) outcome {
	q, failure := h.newRequest(r, snapshot, route, c)
	if failure != nil {
		return outcome{q: q, failure: failure}
	}
	h.Metrics.countRequest(route)
	o := outcome{q: q, stopChecks: c.startChecks()}
	o.result, o.failure = h.forward(c.ctx, snapshot, q)
	return o
}

// respond writes an outcome to the caller.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, o outcome) {
	h.announceClose(w, sessionOf(r.Context())) // the stop may have begun meanwhile
	if o.failure != nil {
		h.writeError(w, o.q, r, o.failure)
		return
	}
	h.writeResponse(w, o.q, o.result)
}

// end ends what watches the caller and gives back what the request holds of the budget. It
// must be called when the response has been written or is dropped.
func (h *Handler) end(o outcome) {
	if o.stopChecks != nil {
		o.stopChecks()
	}
	if o.q != nil {
		o.q.caller.cancel()
		h.release(o.q)
	}
}
