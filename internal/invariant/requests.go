package invariant

import (
	"fmt"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// Guarantee identifies one of the guarantees in the design page.
type Guarantee string

// The guarantees, as the design page numbers them.
const (
	OneOwner            Guarantee = "G1 one owner"
	Durable             Guarantee = "G2 acknowledged assignment survives"
	CompleteOwnResponse Guarantee = "G3 own whole answer"
	NotExecutedIsTrue   Guarantee = "G4 executed: no is true"
	AtMostOnce          Guarantee = "G5 at most once"
	NoWorkWhileLeaving  Guarantee = "G6 no new work for a leaving upstream"
	GracefulShutdown    Guarantee = "G7 shutdown cuts off no request"
	ChangeInEffect      Guarantee = "G8 accepted change in force"
)

// Execution is one execution of a request as recorded by the server.
type Execution struct {
	RequestID string
	Server    string
	Start     time.Time
}

// Outcome is the result of one request that its caller received.
type Outcome struct {
	RequestID string
	// Repeatable is true if the request may be executed more than once.
	Repeatable bool
	// HasResponse is true if the caller got a complete response of an upstream.
	HasResponse bool
	// OwnResponse is true if the complete response belongs to this request.
	OwnResponse bool
	// Executed is what an error response says about the execution.
	Executed apierror.Executed
}

// CheckRequests checks G3, G4 and G5: it compares the outcomes that callers
// received with the executions on servers. It ignores executions of other requests.
func CheckRequests(outcomes []Outcome, executions []Execution) []Violation {
	executionsByID := make(map[string][]Execution, len(executions))
	for _, e := range executions {
		executionsByID[e.RequestID] = append(executionsByID[e.RequestID], e)
	}
	var out []Violation
	report := func(g Guarantee, format string, args ...any) {
		out = append(out, Violation{Guarantee: g, Detail: fmt.Sprintf(format, args...)})
	}
	for _, o := range outcomes {
		matching := executionsByID[o.RequestID]
		if o.Executed == apierror.ExecutedNo && !o.HasResponse && len(matching) > 0 {
			report(NotExecutedIsTrue, "request %s was answered executed: no, but %s ran it", o.RequestID, matching[0].Server)
		}
		if !o.Repeatable && len(matching) > 1 {
			report(AtMostOnce, "request %s ran %d times, on %s and %s", o.RequestID, len(matching), matching[0].Server, matching[1].Server)
		}
		if o.HasResponse && !o.OwnResponse {
			report(CompleteOwnResponse, "request %s got an answer that is not its own or not whole", o.RequestID)
		}
		if o.HasResponse && len(matching) == 0 {
			report(CompleteOwnResponse, "request %s got an answer that no server gave", o.RequestID)
		}
	}
	return out
}
