package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/detour"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/pipeline"
	"github.com/cassiasill/cassiasill/internal/placing"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// Limits of the request path.
const (
	// maxBufferedBodyBytes bounds the request body that is buffered for a retry.
	maxBufferedBodyBytes = 256 << 10
	// responseMargin is reserved before the deadline to return the response to the
	// caller.
	responseMargin = 5 * time.Millisecond
	// previouslyRejectedThreshold is how much shorter a caller's time must be than
	// the longest of its route to count as one that returns after a rejection.
	previouslyRejectedThreshold = 20 * time.Millisecond
	// noConfigRetryAfter is the Retry-After value while the host has no
	// configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// noPathRetryAfter is the Retry-After value while no host reaches the servers.
	noPathRetryAfter = time.Second
	// endedOwnerRetryAfter is the Retry-After value if another server has the address of a
	// key's owner, whose ranges are about to move.
	endedOwnerRetryAfter = 500 * time.Millisecond
	// minRetryTimeFraction is the least time left for a retry, as a fraction of the
	// expected work; with less time a retry cannot succeed.
	minRetryTimeFraction = 0.5
)

// Options configure a Handler.
type Options struct {
	AvailabilityZone string
	HeaderNames      exchange.HeaderNames
	View             *control.View
	Reports          *control.Reports
	Placer           *placing.Placer
	ServerPools      *ServerPools
	RetryBudget      *RetryBudget
	RateLimits       *ratelimit.Table
	// Reach judges whether this host is cut off from the servers.
	Reach *detour.Tracker
	// Budget holds the bytes of bodies and responses; nil is one without a limit.
	Budget       *membudget.Budget
	CallerLimits CallerLimits
	// Limits counts and logs the limits that were reached.
	Limits  *LimitEvents
	Metrics *Metrics
	Log     *zap.Logger
	// PipelineDepth bounds the requests of one connection that are in progress at a time.
	// Below 2, requests are served one after another.
	PipelineDepth int
	// ReadAheadBudget bounds the bytes that are read ahead and the responses that wait for
	// their turn. Nil stands for no limit.
	ReadAheadBudget pipeline.Budget
}

// Handler forwards callers' requests to servers.
type Handler struct {
	Options
	splitter    *routes.Splitter
	splitOffset float64
	costs       *costEstimator
	holdOffs    *holdOffs
	drain       atomic.Pointer[drainPeriod] // nil unless the host is stopping
	waits       serverWaits
	readAhead   readAhead
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	options.Log = options.Log.Named("entry")
	if options.Reach == nil {
		options.Reach = detour.NewTracker()
	}
	return &Handler{Options: options, splitter: routes.NewSplitter(), splitOffset: rand.Float64(), costs: newCostEstimator(), holdOffs: newHoldOffs()}
}

// forward sends the request to servers until one responds or no retry is allowed.
func (h *Handler) forward(ctx context.Context, snapshot *control.Snapshot, q *request) (exchange.Result, *apierror.Error) {
	for {
		if h.ServerPools.isEvacuated(q.service) {
			return exchange.Result{}, evacuatedError(q)
		}
		q.stage = h.waitingStage(q.service)
		decision, ticket, err := h.acquire(ctx, q)
		switch {
		case errors.Is(err, errStopping):
			return exchange.Result{}, stoppingError(q)
		case err != nil:
			return exchange.Result{}, apierror.New(apierror.KindCanceled, "the caller left while the request waited")
		}
		if decision.Server == "" && h.ServerPools.isEvacuated(q.service) {
			return exchange.Result{}, evacuatedError(q)
		}
		if decision.Server == "" {
			return exchange.Result{}, h.placementError(q, decision)
		}
		q.stage = stageConnecting
		h.RateLimits.CountAllowed(decision.Server)
		result := h.attempt(ctx, q, decision, ticket)
		if errors.Is(result.Err, detour.ErrNoPath) {
			return result, &apierror.Error{Kind: kindIfNotExecuted(q.attempts, apierror.KindNoUpstream), Detail: "cut off from all servers", Err: result.Err, RetryAfter: noPathRetryAfter}
		}
		if errors.Is(result.Err, errHeldOff) && q.position != dispatch.NoPosition {
			return result, &apierror.Error{Kind: kindIfNotExecuted(q.attempts, apierror.KindOverloaded), Detail: "the owner wants no requests yet", Err: result.Err, RetryAfter: max(q.heldOff, 2*responseMargin)}
		}
		if result.OtherInstance && q.position != dispatch.NoPosition {
			// The owner has ended. Further attempts would reach a server of another service
			// and use up that service's retries.
			return result, &apierror.Error{Kind: kindIfNotExecuted(q.attempts, apierror.KindNoOwner), Detail: "the owner has ended", RetryAfter: endedOwnerRetryAfter}
		}
		v := decideAfterAttempt(q.route.Kind, q.route.MaxAttempts, q.attempts, result)
		if v.action == actionRetry {
			q.stage = stageRetrying
			switch {
			case q.caller.hasLeft(): // before the retry uses the budget
				v = attemptDecision{action: actionDrop}
			case !h.mayRetry(q, v):
				v = h.decideWithoutRetry(q, result)
			}
		}
		switch v.action {
		case actionDeliver:
			return result, nil
		case actionDrop:
			if result.RemainingBody != nil {
				h.closeRemainingBody(result)
			}
			return result, apierror.New(apierror.KindCanceled, "the caller left")
		case actionFail:
			return result, h.attemptError(q, v.kind, result)
		}
		if result.RemainingBody != nil {
			h.closeRemainingBody(result)
		}
	}
}

// attempt sends the request to one server.
func (h *Handler) attempt(ctx context.Context, q *request, decision dispatch.Decision, ticket placing.AcquiredSlot) exchange.Result {
	pool, server, ok := h.ServerPools.Pool(decision.Server)
	if !ok {
		return h.skipServer(q, decision, ticket, errors.New("the server is no longer listed"))
	}
	if left := h.holdOffs.left(server, time.Now()); left > 0 {
		q.heldOff = left
		return h.skipServer(q, decision, ticket, errHeldOff)
	}
	if !h.ServerPools.isUsable(server, q.hasKey()) {
		h.excludeEvacuated(q)
		return h.skipServer(q, decision, ticket, errServerWithdrawn)
	}
	q.upstream.Deadline, q.upstream.ExpectedInstance = q.deadline, server.ID
	q.upstream.BeforeSend = func() error {
		switch {
		case q.caller.hasLeft():
			return context.Canceled
		case !h.ServerPools.isUsable(server, q.hasKey()):
			return errServerWithdrawn
		default:
			return nil
		}
	}
	sentAt := time.Now()
	result := pool.Do(ctx, &q.upstream)
	q.heldBytes += result.HeldBytes
	if errors.Is(result.Err, errServerWithdrawn) {
		return h.skipServer(q, decision, ticket, errServerWithdrawn)
	}
	took := time.Since(sentAt)
	if result.Sent {
		q.stage = stageSent
	}
	if result.SentLate {
		h.Metrics.countLateSend()
	}
	h.observeRateLimit(server, result, took)
	if result.RetryAfter > 0 {
		h.holdOffs.add(server, time.Now().Add(result.RetryAfter))
		h.Log.Info("entry: server wants no requests for a time", zap.String("server", server.ID), zap.Duration("retry_after", result.RetryAfter))
	}
	if result.Leaving {
		h.Reports.ReportLeaving(server.ID, server.Incarnation)
	}
	h.recordAttempt(q, decision, result, took)
	h.Placer.Release(ticket, h.judgeServer(result))
	h.Metrics.recordAttempt(result, took)
	if result.Outcome != exchange.Canceled && (result.Outcome != exchange.Answered || result.Status >= http.StatusInternalServerError) {
		h.Log.Info("entry: try ended without success", zap.String("request", q.id), zap.String("route", q.route.Name),
			zap.String("server", decision.Server), zap.Stringer("outcome", result.Outcome), zap.Int("status", result.Status),
			zap.Duration("waited", decision.QueueTime), zap.Duration("took", took), zap.Int64("config", h.configVersion()), zap.Error(result.Err))
	}
	return result
}

// observeRateLimit records what the result says about the server's rate limit.
func (h *Handler) observeRateLimit(server ratelimit.Server, result exchange.Result, took time.Duration) {
	if result.Sent {
		h.RateLimits.CountSent(server.ID)
	}
	if result.RateLimitErr != nil {
		h.Metrics.countInvalidRateLimit()
		h.RateLimits.ReportInvalid(server, result.RateLimitErr)
	}
	h.RateLimits.Observe(server, result.RateLimit, result.Rate, took)
}

// recordAttempt updates the request's counts, the route's cost estimate and the
// server's reports after an attempt.
func (h *Handler) recordAttempt(q *request, decision dispatch.Decision, result exchange.Result, took time.Duration) {
	q.attemptedServers = append(q.attemptedServers, decision.Server)
	answered := result.Outcome == exchange.Answered
	success := answered && result.Status < http.StatusInternalServerError
	switch {
	case !result.Sent:
		q.attempts.unsent++
	case result.Outcome == exchange.Refused:
		q.attempts.refused++
	default:
		q.attempts.possiblyExecuted++
	}
	if !result.Misdirected || result.OtherInstance {
		q.placement.Exclude = append(q.placement.Exclude, decision.Server)
	}
	if success {
		// Time spent queueing at the server says nothing about the work.
		uncontended := !decision.Saturated && (!result.HasLoad || result.Load.Waiting == 0)
		if !uncontended {
			took = 0
		}
		h.costs.recordResponse(q.route, took, decision.Speed, len(result.Body))
		observed := took
		expected := q.expectedWork
		if took == 0 {
			expected = 0
		}
		h.Reports.CountResponse(decision.Server, false, expected, observed)
		if q.attempts.possiblyExecuted > 1 {
			h.Reports.ReportCrash(h.fingerprint(q), decision.Server, true)
		}
		return
	}
	if result.Outcome == exchange.Canceled || h.isMisleading(result) {
		return
	}
	h.Reports.CountResponse(decision.Server, true, 0, 0)
	if result.Outcome == exchange.Broken {
		h.Reports.ReportCrash(h.fingerprint(q), decision.Server, false)
	}
}

// isMisleading reports whether a failure may be that of this host's path to the
// servers, so that it says nothing about the server.
func (h *Handler) isMisleading(result exchange.Result) bool {
	switch result.Outcome {
	case exchange.NotSent, exchange.Broken, exchange.TimedOut:
		return h.Reach.MayMislead(time.Now())
	default:
		return false
	}
}

// judgeServer returns what a result tells the dispatcher about the server.
func (h *Handler) judgeServer(result exchange.Result) dispatch.Result {
	if h.isMisleading(result) {
		return dispatch.Result{Outcome: dispatch.Inconclusive}
	}
	return dispatchResult(result)
}

// dispatchResult converts a result for the dispatcher.
func dispatchResult(result exchange.Result) dispatch.Result {
	out := dispatch.Result{Running: result.Load.Running, Waiting: result.Load.Waiting, HasLoad: result.HasLoad, TimePercent: result.Load.TimePercent}
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

// mayRetry reports whether the buffered body, the time left and the retry budget
// allow another attempt.
func (h *Handler) mayRetry(q *request, v attemptDecision) bool {
	if q.upstream.RemainingBody != nil {
		return false
	}
	if time.Until(q.deadline) < time.Duration(minRetryTimeFraction*float64(q.expectedWork)) {
		return false
	}
	return !v.usesRetryBudget || h.RetryBudget.Allow(q.service, time.Now())
}

// decideWithoutRetry decides what follows an attempt that may not be retried.
func (h *Handler) decideWithoutRetry(q *request, result exchange.Result) attemptDecision {
	switch result.Outcome {
	case exchange.Answered:
		return attemptDecision{action: actionDeliver}
	case exchange.NotSent, exchange.Refused:
		return attemptDecision{action: actionFail, kind: kindIfNotExecuted(q.attempts, apierror.KindOverloaded)}
	default:
		return attemptDecision{action: actionFail, kind: apierror.KindUpstreamFailed}
	}
}

// placementError returns the error of a request for which the dispatcher found no
// server.
func (h *Handler) placementError(q *request, decision dispatch.Decision) *apierror.Error {
	kind := apierror.KindOverloaded
	switch decision.Reason {
	case dispatch.ReasonNoOwner:
		kind = apierror.KindNoOwner
	case dispatch.ReasonNoServer:
		kind = apierror.KindNoUpstream
	case dispatch.ReasonRateLimited:
		kind = apierror.KindRateLimited
	}
	retryAfter := decision.RetryAfter
	if decision.Reason == dispatch.ReasonNoServer {
		retryAfter = max(retryAfter, q.heldOff)
	}
	return &apierror.Error{Kind: kindIfNotExecuted(q.attempts, kind), RetryAfter: retryAfter,
		Detail: "waited " + decision.QueueTime.Round(time.Millisecond).String()}
}

// attemptError returns the error of a request whose last attempt failed.
func (h *Handler) attemptError(q *request, kind apierror.Kind, result exchange.Result) *apierror.Error {
	if time.Now().After(q.deadline.Add(-responseMargin)) && q.attempts.possiblyExecuted > 0 {
		kind = apierror.KindTimeout
	}
	return &apierror.Error{Kind: kind, Detail: result.Outcome.String(), Err: result.Err, RetryAfter: 2 * responseMargin}
}
