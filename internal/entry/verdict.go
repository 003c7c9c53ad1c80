package entry

import (
	"net/http"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// next says what follows an exchange.
type next uint8

const (
	// deliver: the answer goes to the caller as it is.
	deliver next = iota
	// resend: the request may be sent to a server once more.
	resend
	// fail: the caller gets an error of the kind in the verdict.
	fail
	// drop: the caller has left.
	drop
)

// maxUnsent bounds the tries of a request that reached no server.
const maxUnsent = 4

// maxRefused bounds the servers that may refuse a request; each refusal proves
// that it did not run.
const maxRefused = 3

// tries counts what has happened to a request so far.
type tries struct {
	unsent  int // no byte was written
	refused int // a server stated that it did not run it
	maybe   int // it may have run
}

// verdict is the decision after an exchange.
type verdict struct {
	next next
	kind apierror.Kind
	// arrival is true if a resend counts against the retry budget.
	arrival bool
}

// judge decides what follows the last exchange of a request, by what it proves:
//
//	not sent             it has not run; any request may be sent again
//	refused              it has not run; any request may be sent again
//	answered             final, but a server error of a repeatable request may
//	                     be replaced by another server's answer
//	broken, timed out    it may have run; only repeatable requests are sent again
//	canceled             nobody waits for an answer
//
// A request that may have run once is never reported as not run.
func judge(kind routes.Kind, attempts int, t tries, result exchange.Result) verdict {
	switch result.Outcome {
	case exchange.Canceled:
		return verdict{next: drop}
	case exchange.Answered:
		if result.Status >= http.StatusInternalServerError && result.Rest == nil && kind.Repeatable() && t.maybe < attempts {
			return verdict{next: resend, arrival: true}
		}
		return verdict{next: deliver}
	case exchange.NotSent:
		if t.unsent < maxUnsent {
			return verdict{next: resend, arrival: t.maybe+t.refused > 0}
		}
		return verdict{next: fail, kind: notRunUnless(t, apierror.KindNoUpstream)}
	case exchange.Refused:
		if t.refused < maxRefused {
			return verdict{next: resend, arrival: true}
		}
		return verdict{next: fail, kind: notRunUnless(t, apierror.KindOverloaded)}
	case exchange.TimedOut:
		return verdict{next: fail, kind: apierror.KindTimeout}
	default:
		if kind.Repeatable() && t.maybe < attempts {
			return verdict{next: resend, arrival: true}
		}
		return verdict{next: fail, kind: apierror.KindUpstreamFailed}
	}
}

// notRunUnless returns kind, which states that the request has not run, unless
// an earlier try may have run.
func notRunUnless(t tries, kind apierror.Kind) apierror.Kind {
	if t.maybe > 0 {
		return apierror.KindUpstreamFailed
	}
	return kind
}
