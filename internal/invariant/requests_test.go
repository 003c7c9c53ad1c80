package invariant

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// Guards against a checker that misses a violation.
func TestCheckRequestsFindsEachViolation(t *testing.T) {
	ran := func(servers ...string) []Execution {
		var out []Execution
		for _, s := range servers {
			out = append(out, Execution{RequestID: "r", Server: s})
		}
		return out
	}
	cases := map[string]struct {
		outcome    Outcome
		executions []Execution
		want       []Guarantee
	}{
		"answered once":               {Outcome{HasResponse: true, OwnResponse: true}, ran("a"), nil},
		"unknown and ran":             {Outcome{Executed: apierror.ExecutedUnknown}, ran("a"), nil},
		"repeatable ran twice":        {Outcome{HasResponse: true, OwnResponse: true, Repeatable: true}, ran("a", "b"), nil},
		"told no but ran":             {Outcome{Executed: apierror.ExecutedNo}, ran("a"), []Guarantee{NotExecutedIsTrue}},
		"ran twice":                   {Outcome{HasResponse: true, OwnResponse: true}, ran("a", "b"), []Guarantee{AtMostOnce}},
		"another caller's answer":     {Outcome{HasResponse: true}, ran("a"), []Guarantee{CompleteOwnResponse}},
		"answer from nowhere":         {Outcome{HasResponse: true, OwnResponse: true}, nil, []Guarantee{CompleteOwnResponse}},
		"other request ran elsewhere": {Outcome{Executed: apierror.ExecutedNo}, []Execution{{RequestID: "other", Server: "a"}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.outcome.RequestID = "r"
			var got []Guarantee
			for _, v := range CheckRequests([]Outcome{c.outcome}, c.executions) {
				got = append(got, v.Guarantee)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
