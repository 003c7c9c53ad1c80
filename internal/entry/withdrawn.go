package entry

import (
	"errors"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/placing"
)

// evacuatedRetryAfter is the Retry-After value while all servers of a service are in
// evacuated availability zones.
const evacuatedRetryAfter = time.Second

// errServerWithdrawn reports that a server was found to leave, to be gone or to be
// evacuated after it was chosen, for example while the connection to it was opened.
var errServerWithdrawn = errors.New("the server is not to be used any more")

// skipServer gives back a server that was chosen for the request, without sending.
func (h *Handler) skipServer(q *request, decision dispatch.Decision, ticket placing.AcquiredSlot, reason error) exchange.Result {
	h.Placer.Release(ticket, dispatch.Result{Outcome: dispatch.Abandoned})
	q.attempts.unsent++
	q.placement.Exclude = append(q.placement.Exclude, decision.Server)
	return exchange.Result{Outcome: exchange.NotSent, Err: reason}
}

// hasKey reports whether only the owner of a key can serve the request.
func (q *request) hasKey() bool { return q.position != dispatch.NoPosition }

// excludeEvacuated excludes all servers of evacuated zones from the further tries of a
// request without a key. The dispatcher that chose one does not know of the evacuation
// yet, or runs a build without evacuations.
func (h *Handler) excludeEvacuated(q *request) {
	if !q.hasKey() {
		q.placement.Exclude = append(q.placement.Exclude, h.ServerPools.evacuatedServers(q.service)...)
	}
}

// evacuatedError returns the error of a request to a service all of whose servers are
// in evacuated availability zones.
func evacuatedError(q *request) *apierror.Error {
	return &apierror.Error{Kind: kindIfNotExecuted(q.attempts, apierror.KindNoUpstream), Detail: "all servers of the service are evacuated", RetryAfter: evacuatedRetryAfter}
}

// isEvacuated reports whether all servers of the service are in evacuated zones.
func (s *ServerPools) isEvacuated(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[service]
}

// evacuatedServers returns the IDs of the service's servers that take no requests without
// a key because their zones are evacuated.
func (s *ServerPools) evacuatedServers(service string) (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pools {
		if p.keysOnly && p.server.Service == service {
			ids = append(ids, id)
		}
	}
	return ids
}
