package entry

import (
	"net/http"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// nextAction is what follows an attempt.
type nextAction uint8

const (
	// actionDeliver returns the server's response to the caller.
	actionDeliver nextAction = iota
	// actionRetry sends the request to a server again.
	actionRetry
	// actionFail returns an error of the decision's kind to the caller.
	actionFail
	// actionDrop returns nothing: the caller has left.
	actionDrop
)

// maxUnsentAttempts bounds the attempts of one request that reach no server.
const maxUnsentAttempts = 4

// maxRefusals bounds how often servers may refuse one request. A refusal proves
// that the server did not execute it.
const maxRefusals = 3

// attemptCounts counts the attempts of one request by what they prove.
type attemptCounts struct {
	unsent           int // no byte of the request was written
	refused          int // the server stated that it did not execute the request
	possiblyExecuted int // the server may have executed the request
}

// attemptDecision is what to do after an attempt.
type attemptDecision struct {
	action nextAction
	kind   apierror.Kind // of the error if the action is actionFail
	// usesRetryBudget is true if the retry counts against the retry budget.
	usesRetryBudget bool
}

// decideAfterAttempt decides what follows the last attempt of a request, by what
// its outcome proves:
//
//	not sent     not executed; any request may be retried
//	refused      not executed; any request may be retried
//	answered     final, but a server error on a repeatable request is retried
//	             on another server
//	broken       possibly executed; only repeatable requests are retried
//	timed out    possibly executed, and the deadline leaves no time for a retry
//	canceled     the caller no longer waits for a response
//
// A request that was possibly executed once is never reported as not executed.
func decideAfterAttempt(kind routes.RequestKind, maxAttempts int, counts attemptCounts, result exchange.Result) attemptDecision {
	switch result.Outcome {
	case exchange.Canceled:
		return attemptDecision{action: actionDrop}
	case exchange.Answered:
		if result.Status >= http.StatusInternalServerError && result.RemainingBody == nil && kind.Repeatable() && counts.possiblyExecuted < maxAttempts {
			return attemptDecision{action: actionRetry, usesRetryBudget: true}
		}
		return attemptDecision{action: actionDeliver}
	case exchange.NotSent:
		if counts.unsent < maxUnsentAttempts {
			return attemptDecision{action: actionRetry, usesRetryBudget: counts.possiblyExecuted+counts.refused > 0}
		}
		return attemptDecision{action: actionFail, kind: kindIfNotExecuted(counts, apierror.KindNoUpstream)}
	case exchange.Refused:
		if counts.refused < maxRefusals {
			return attemptDecision{action: actionRetry, usesRetryBudget: true}
		}
		return attemptDecision{action: actionFail, kind: kindIfNotExecuted(counts, apierror.KindOverloaded)}
	case exchange.TimedOut:
		return attemptDecision{action: actionFail, kind: apierror.KindTimeout}
	default:
		if kind.Repeatable() && counts.possiblyExecuted < maxAttempts {
			return attemptDecision{action: actionRetry, usesRetryBudget: true}
		}
		return attemptDecision{action: actionFail, kind: apierror.KindUpstreamFailed}
	}
}

// kindIfNotExecuted returns kind, which states that the request was not executed,
// unless an earlier attempt was possibly executed.
func kindIfNotExecuted(counts attemptCounts, kind apierror.Kind) apierror.Kind {
	if counts.possiblyExecuted > 0 {
		return apierror.KindUpstreamFailed
	}
	return kind
}
