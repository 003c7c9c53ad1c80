package invariant

import (
	"fmt"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// Guarantee names one of the design page's guarantees.
type Guarantee string

// The guarantees, as the design page numbers them.
const (
	OneOwner         Guarantee = "G1 one owner"
	Durable          Guarantee = "G2 acknowledged assignment survives"
	OwnWholeAnswer   Guarantee = "G3 own whole answer"
	NotRunIsTrue     Guarantee = "G4 executed: no is true"
	AtMostOnce       Guarantee = "G5 at most once"
	LeavingIsIdle    Guarantee = "G6 no new work for a leaving upstream"
	GracefulShutdown Guarantee = "G7 shutdown cuts off no request"
	InForce          Guarantee = "G8 accepted change in force"
)

// Execution is one run of a request on a server, by the server's own account.
type Execution struct {
	RequestID string
	Server    string
	Start     time.Time
}

// Outcome is what a caller was told about one request.
type Outcome struct {
	RequestID string
	// Repeatable is true if the request may be run more than once.
	Repeatable bool
	// Answered is true if the caller got a complete answer of an upstream.
	Answered bool
	// Own is false if the complete answer was not to this very request.
	Own bool
	// Executed is what an error answer said.
	Executed apierror.Executed
}

// CheckRequests compares what callers were told with what servers ran.
// Executions that belong to none of the outcomes are ignored.
func CheckRequests(outcomes []Outcome, executions []Execution) []Violation {
	runs := make(map[string][]Execution, len(executions))
	for _, e := range executions {
		runs[e.RequestID] = append(runs[e.RequestID], e)
	}
	var out []Violation
	report := func(g Guarantee, format string, args ...any) {
		out = append(out, Violation{Guarantee: g, Detail: fmt.Sprintf(format, args...)})
	}
	for _, o := range outcomes {
		ran := runs[o.RequestID]
		if o.Executed == apierror.ExecutedNo && !o.Answered && len(ran) > 0 {
			report(NotRunIsTrue, "request %s was answered executed: no, but %s ran it", o.RequestID, ran[0].Server)
		}
		if !o.Repeatable && len(ran) > 1 {
			report(AtMostOnce, "request %s ran %d times, on %s and %s", o.RequestID, len(ran), ran[0].Server, ran[1].Server)
		}
		if o.Answered && !o.Own {
			report(OwnWholeAnswer, "request %s got an answer that is not its own or not whole", o.RequestID)
		}
		if o.Answered && len(ran) == 0 {
			report(OwnWholeAnswer, "request %s got an answer that no server gave", o.RequestID)
		}
	}
	return out
}
