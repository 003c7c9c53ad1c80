package entry

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// request is the state of one caller's request.
type request struct {
	id               string
	started          time.Time
	deadline         time.Time // the caller's or the route's, whichever is earlier
	route            *routes.Route
	service          string
	position         int
	placement        dispatch.Request
	upstream         exchange.Request
	attempts         attemptCounts
	attemptedServers []string
	expectedWork     time.Duration
	caller           *caller
	// lacksChunks is true if the caller's version of HTTP has no chunks, so that a body
	// without a length ends with the connection.
	lacksChunks bool
	stage       stage
	// body is nil if the request has none.
	body *requestBody
	// heldBytes are the bytes of the responses to the request that are taken from the
	// budget.
	heldBytes int64
	// closesConn is true if an error response must close the caller's connection.
	closesConn bool
	// boundByDrain is true if the request must be placed earlier than by its own deadline,
	// because the host is stopping.
	boundByDrain bool
	// heldOff is when the first server that wants no request yet will take one.
	heldOff time.Duration
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(target, "/") {
		return r.URL.EscapedPath()
	}
	return target
}

// newRequest reads the caller's request and sets its deadline, service, key
// position and placement. On a failure it still returns the request, for the log.
func (h *Handler) newRequest(r *http.Request, snapshot *control.Snapshot, route *routes.Route, c *caller) (*request, *apierror.Error) {
	started := c.since
	q := &request{id: r.Header.Get(h.HeaderNames.RequestID), started: started, route: route, position: dispatch.NoPosition, caller: c, lacksChunks: !r.ProtoAtLeast(1, 1), stage: stageReading}
	// A host that was frozen or is busy reads requests of callers that left long ago.
	if c.hasLeft() {
		return q, apierror.New(apierror.KindCanceled, "the caller left before its request was read")
	}
	q.deadline = started.Add(route.Timeout)
	clientDeadline := q.deadline
	if text := r.Header.Get(h.HeaderNames.DeadlineMillis); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis < 0 {
			return q, apierror.New(apierror.KindBadRequest, "%s: %q is not a number of milliseconds", h.HeaderNames.DeadlineMillis, text)
		}
		clientDeadline = started.Add(time.Duration(millis * float64(time.Millisecond)))
	}
	if clientDeadline.Before(q.deadline) {
		q.deadline = clientDeadline
	}
	if h.mayOutlastDrain(q) {
		return q, &apierror.Error{Kind: apierror.KindShuttingDown, Detail: "the request may take longer than the host's stop", RetryAfter: 2 * responseMargin}
	}
	if limit := snapshot.Config.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return q, apierror.New(apierror.KindTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	if limit := snapshot.Config.Limits.MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		h.Limits.Reached(LimitHeader, "max_header_bytes")
		return q, apierror.New(apierror.KindTooLarge, "the head has more than %d bytes", limit)
	}
	q.service = h.splitter.Pick(route, h.splitOffset)
	if text := r.Header.Get(h.HeaderNames.KeyPosition); text != "" && snapshot.Config.Services[q.service].HasKeyOwners {
		position, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return q, apierror.New(apierror.KindBadRequest, "%s: %q is not a key position", h.HeaderNames.KeyPosition, text)
		}
		q.position = int(position)
		h.Reports.CountKey(q.service, uint16(position))
	}
	body, complete, err := h.readBody(q, r, snapshot.Config.Limits.MaxBodyBytes)
	if err != nil {
		q.closesConn = true
		return q, h.bodyError(err)
	}
	q.upstream = exchange.Request{ID: q.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: upstreamRequestHeaders(r.Header, &h.HeaderNames),
		Body: body, ContentLength: r.ContentLength, FreshConnOnly: !route.Kind.Repeatable()}
	if !complete {
		q.upstream.RemainingBody = q.body
	} else {
		q.upstream.ContentLength = int64(len(body))
	}
	if snapshot.BlockedFingerprints[string(h.fingerprint(q))] {
		return q, apierror.New(apierror.KindQuarantined, "the request has crashed several servers")
	}
	work, responseBytes := h.costs.estimate(route)
	q.expectedWork = work
	waited := time.Duration(0)
	if left := clientDeadline.Sub(started); clientDeadline != started.Add(route.Timeout) {
		waited = h.costs.callerWaited(route, left)
	}
	q.placement = dispatch.Request{Service: q.service, Position: q.position, Priority: route.Priority, Repeatable: route.Kind.Repeatable(),
		Zone: h.AvailabilityZone, ResponseBytes: responseBytes, Work: work, Salt: rand.Uint64(),
		Target: h.Placer.At(started.Add(route.Target - waited)), PreviouslyRejected: waited > previouslyRejectedThreshold, Deadline: h.Placer.At(q.deadline.Add(-responseMargin))}
	if q.position == dispatch.NoPosition {
		q.placement.Exclude, q.heldOff = h.holdOffs.active(q.service, started, h.ServerPools.isReplaced)
	}
	h.boundByDrain(q)
	h.RetryBudget.CountRequest(q.service, started)
	return q, nil
}

// headBytes returns the size of a request's head without white space that does not matter.
func headBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host) + 8 // spaces and line ends
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// fingerprint identifies requests that look the same to a server.
func (h *Handler) fingerprint(q *request) []byte {
	f := quarantine.FingerprintOf("", q.upstream.Method, q.upstream.Host+q.upstream.Target, q.upstream.Body)
	return f[:]
}
