package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/placing"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// Settings of the request path.
const (
	// heldBody is the largest request body that is held for sending it again.
	heldBody = 256 << 10
	// answerMargin is kept from the deadline for the answer's way to the caller.
	answerMargin = 5 * time.Millisecond
	// returnedAfter is how much shorter a caller's time must be than the longest
	// of its route to tell that it has been rejected before.
	returnedAfter = 20 * time.Millisecond
	// unknownRetry is the advice to callers while the host knows no routes.
	unknownRetry = 300 * time.Millisecond
	// minResend is the least time that a repeat must have left, as a part of
	// the expected work; a shorter one can't succeed.
	minResend = 0.5
)

// Options configure a Handler.
type Options struct {
	AvailabilityZone string
	Headers          exchange.Headers
	View             *control.View
	Reports          *control.Reports
	Placer           *placing.Placer
	Servers          *Servers
	Budget           *Budget
	Metrics          *Metrics
	Log              *zap.Logger
}

// Handler serves callers.
type Handler struct {
	Options
	splitter *routes.Splitter
	offset   float64
	traffic  *traffic
	draining atomic.Bool
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	options.Log = options.Log.Named("entry")
	return &Handler{Options: options, splitter: routes.NewSplitter(), offset: rand.Float64(), traffic: newTraffic()}
}

// Drain makes each answer end its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// request is one caller's request on its way.
type request struct {
	id       string
	started  time.Time
	deadline time.Time // of the caller or the route, whichever is first
	route    *routes.Route
	service  string
	position int
	ask      dispatch.Ask
	send     exchange.Request
	tries    tries
	servers  []string // that were tried
	work     time.Duration
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	snapshot := h.View.Load()
	if snapshot.Config == nil || snapshot.Servers == nil {
		h.reject(w, nil, r, &apierror.Error{Kind: apierror.KindStale, Detail: "no configuration yet", RetryAfter: unknownRetry})
		return
	}
	route := snapshot.Config.Match(r.Host, pathOf(r))
	if route == nil {
		h.reject(w, nil, r, apierror.New(apierror.KindNotFound, "no route for host %s", r.Host))
		return
	}
	q, failure := h.accept(r, snapshot, route, started)
	if failure != nil {
		h.reject(w, q, r, failure)
		return
	}
	h.Metrics.began(route)
	result, failure := h.serve(r.Context(), snapshot, q)
	switch {
	case failure != nil && failure.Kind == apierror.KindCanceled:
		h.Metrics.ended(route, "canceled", time.Since(started))
		panic(http.ErrAbortHandler)
	case failure != nil:
		h.reject(w, q, r, failure)
	default:
		h.answer(w, q, result)
	}
}

// pathOf returns the path as the caller sent it, without the query.
func pathOf(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(target, "/") {
		return r.URL.EscapedPath()
	}
	return target
}

// accept reads the request and works out its limits.
func (h *Handler) accept(r *http.Request, snapshot *control.Snapshot, route *routes.Route, started time.Time) (*request, *apierror.Error) {
	q := &request{id: r.Header.Get(h.Headers.RequestID), started: started, route: route, position: dispatch.NoPosition}
	q.deadline = started.Add(route.Timeout)
	clientDeadline := q.deadline
	if text := r.Header.Get(h.Headers.DeadlineMillis); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis < 0 {
			return q, apierror.New(apierror.KindBadRequest, "%s: %q is not a number of milliseconds", h.Headers.DeadlineMillis, text)
		}
		clientDeadline = started.Add(time.Duration(millis * float64(time.Millisecond)))
	}
	if clientDeadline.Before(q.deadline) {
		q.deadline = clientDeadline
	}
	if limit := snapshot.Config.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return q, apierror.New(apierror.KindTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	q.service = h.splitter.Pick(route, h.offset)
	if text := r.Header.Get(h.Headers.KeyPosition); text != "" && snapshot.Config.Services[q.service].KeyOwned {
		position, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return q, apierror.New(apierror.KindBadRequest, "%s: %q is not a key position", h.Headers.KeyPosition, text)
		}
		q.position = int(position)
		h.Reports.CountKey(q.service, uint16(position))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, heldBody))
	if err != nil {
		return q, apierror.Wrap(apierror.KindCanceled, err, "the body could not be read")
	}
	q.send = exchange.Request{ID: q.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarded(r.Header, &h.Headers),
		Body: body, Length: r.ContentLength, FreshOnly: !route.Kind.Repeatable()}
	if len(body) == heldBody {
		q.send.Rest = r.Body
	} else {
		q.send.Length = int64(len(body))
	}
	if snapshot.Blocked[string(h.fingerprint(q))] {
		return q, apierror.New(apierror.KindQuarantined, "the request has crashed several servers")
	}
	work, size := h.traffic.cost(route)
	q.work = work
	waited := time.Duration(0)
	if left := clientDeadline.Sub(started); clientDeadline != started.Add(route.Timeout) {
		waited = h.traffic.waited(route, left)
	}
	q.ask = dispatch.Ask{Service: q.service, Position: q.position, Priority: route.Priority, Repeatable: route.Kind.Repeatable(),
		Zone: h.AvailabilityZone, AnswerBytes: size, Work: work, Salt: rand.Uint64(),
		Target: h.Placer.At(started.Add(route.Target - waited)), Returned: waited > returnedAfter, Deadline: h.Placer.At(q.deadline.Add(-answerMargin))}
	h.Budget.Request(q.service, started)
	return q, nil
}

// fingerprint identifies requests that are equal for a server.
func (h *Handler) fingerprint(q *request) []byte {
	f := quarantine.FingerprintOf("", q.send.Method, q.send.Host+q.send.Target, q.send.Body)
	return f[:]
}

// serve sends the request until it has an answer or may be sent no more.
func (h *Handler) serve(ctx context.Context, snapshot *control.Snapshot, q *request) (exchange.Result, *apierror.Error) {
	for {
		decision, ticket := h.Placer.Acquire(ctx, q.ask)
		if ctx.Err() != nil && decision.Server == "" {
			return exchange.Result{}, apierror.New(apierror.KindCanceled, "the caller left while the request waited")
		}
		if decision.Server == "" {
			return exchange.Result{}, h.notPlaced(q, decision)
		}
		result := h.try(ctx, q, decision, ticket)
		v := judge(q.route.Kind, q.route.Attempts, q.tries, result)
		if v.next == resend && !h.mayResend(q, v) {
			v = h.final(q, result)
		}
		switch v.next {
		case deliver:
			return result, nil
		case drop:
			return result, apierror.New(apierror.KindCanceled, "the caller left")
		case fail:
			return result, h.failed(q, v.kind, result)
		}
		if result.Rest != nil {
			h.close(result)
		}
	}
}

// try sends the request to one server.
func (h *Handler) try(ctx context.Context, q *request, decision dispatch.Decision, ticket placing.Ticket) exchange.Result {
	pool, instance, ok := h.Servers.Pool(decision.Server)
	if !ok {
		h.Placer.Release(ticket, dispatch.Result{Outcome: dispatch.Abandoned})
		q.tries.unsent++
		return exchange.Result{Outcome: exchange.NotSent, Err: errors.New("the server has left")}
	}
	q.send.Deadline, q.send.Instance = q.deadline, instance
	sentAt := time.Now()
	result := pool.Do(ctx, &q.send)
	took := time.Since(sentAt)
	h.count(q, decision, result, took)
	h.Placer.Release(ticket, outcomeOf(result))
	h.Metrics.tried(result, took)
	if result.Outcome != exchange.Answered || result.Status >= http.StatusInternalServerError {
		h.Log.Info("entry: try ended without success", zap.String("request", q.id), zap.String("route", q.route.Name),
			zap.String("server", decision.Server), zap.Stringer("outcome", result.Outcome), zap.Int("status", result.Status),
			zap.Duration("waited", decision.Waited), zap.Duration("took", took), zap.Int64("config", h.configVersion()), zap.Error(result.Err))
	}
	return result
}

// count notes what an exchange says of the request, the route and the server.
func (h *Handler) count(q *request, decision dispatch.Decision, result exchange.Result, took time.Duration) {
	q.servers = append(q.servers, decision.Server)
	answered := result.Outcome == exchange.Answered
	success := answered && result.Status < http.StatusInternalServerError
	switch {
	case result.Outcome == exchange.NotSent:
		q.tries.unsent++
	case result.Outcome == exchange.Refused:
		q.tries.refused++
	default:
		q.tries.maybe++
	}
	if !result.Misdirected {
		q.ask.Exclude = append(q.ask.Exclude, decision.Server)
	}
	if success {
		calm := !decision.Crowded && (!result.HasLoad || result.Load.Waiting == 0)
		if !calm {
			took = 0
		}
		h.traffic.note(q.route, took, decision.Speed, len(result.Body))
		observed := took
		expected := q.work
		if took == 0 {
			expected = 0
		}
		h.Reports.CountAnswer(decision.Server, false, expected, observed)
		if q.tries.maybe > 1 {
			h.Reports.CountCrash(h.fingerprint(q), decision.Server, true)
		}
		return
	}
	h.Reports.CountAnswer(decision.Server, true, 0, 0)
	if result.Outcome == exchange.Broken {
		h.Reports.CountCrash(h.fingerprint(q), decision.Server, false)
	}
}

// outcomeOf translates a result for the dispatcher.
func outcomeOf(result exchange.Result) dispatch.Result {
	out := dispatch.Result{Running: result.Load.Running, Waiting: result.Load.Waiting, HasLoad: result.HasLoad}
	switch {
	case result.Outcome == exchange.Answered && result.Status < http.StatusInternalServerError:
		out.Outcome = dispatch.Succeeded
	case result.Misdirected, result.Outcome == exchange.Canceled:
		out.Outcome = dispatch.Abandoned
	case result.Outcome == exchange.Refused:
		out.Outcome = dispatch.Shed
	case result.Outcome == exchange.NotSent:
		out.Outcome = dispatch.Unreachable
	default:
		out.Outcome = dispatch.Failed
	}
	return out
}

// mayResend reports whether budget and time allow another try.
func (h *Handler) mayResend(q *request, v verdict) bool {
	if q.send.Rest != nil {
		return false
	}
	if time.Until(q.deadline) < time.Duration(minResend*float64(q.work)) {
		return false
	}
	return !v.arrival || h.Budget.Allow(q.service, time.Now())
}

// final is the verdict on a result that may not be followed by another try.
func (h *Handler) final(q *request, result exchange.Result) verdict {
	switch result.Outcome {
	case exchange.Answered:
		return verdict{next: deliver}
	case exchange.NotSent, exchange.Refused:
		return verdict{next: fail, kind: notRunUnless(q.tries, apierror.KindOverloaded)}
	default:
		return verdict{next: fail, kind: apierror.KindUpstreamFailed}
	}
}

// notPlaced is the error of a request that got no server.
func (h *Handler) notPlaced(q *request, decision dispatch.Decision) *apierror.Error {
	kind := apierror.KindOverloaded
	switch decision.Reason {
	case dispatch.ReasonNoOwner:
		kind = apierror.KindNoOwner
	case dispatch.ReasonNoServer:
		kind = apierror.KindNoUpstream
	}
	return &apierror.Error{Kind: notRunUnless(q.tries, kind), RetryAfter: decision.RetryAfter,
		Detail: "waited " + decision.Waited.Round(time.Millisecond).String()}
}

func (h *Handler) failed(q *request, kind apierror.Kind, result exchange.Result) *apierror.Error {
	if time.Now().After(q.deadline.Add(-answerMargin)) && q.tries.maybe > 0 {
		kind = apierror.KindTimeout
	}
	return &apierror.Error{Kind: kind, Detail: result.Outcome.String(), Err: result.Err, RetryAfter: 2 * answerMargin}
}
