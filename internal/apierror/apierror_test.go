package apierror

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// renderTable renders the table of kinds in docs/errors.md.
func renderTable() string {
	var b strings.Builder
	b.WriteString("| kind | status | executed | Retry-After | log level | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	kinds := Responses()
	names := make([]string, 0, len(kinds))
	for k := range kinds {
		names = append(names, string(k))
	}
	slices.Sort(names)
	for _, name := range names {
		response := kinds[Kind(name)]
		retry := "no"
		if response.RetryAfter > 0 {
			retry = fmt.Sprintf("%d s", int(response.RetryAfter/time.Second))
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", name, response.Status, response.Executed, retry, response.LogLevel, response.Title)
	}
	return b.String()
}

// Guards against a page that documents other responses than callers get.
func TestErrorPageContainsTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), renderTable()), "docs/errors.md lacks this table:\n%s", renderTable())
}

// Guards against an override that reports a possibly executed request as not
// executed.
func TestExecutedCanOnlyBecomeUnknown(t *testing.T) {
	e := New(KindTimeout, "slow")
	e.Executed = ExecutedNo
	assert.Equal(t, e.Response().Executed, ExecutedUnknown)
	e = New(KindOverloaded, "full")
	e.Executed = ExecutedUnknown
	assert.Equal(t, e.Response().Executed, ExecutedUnknown)
}

// Guards against an error response whose header and body disagree, and against an
// unclassified error that is reported with a kind other than internal.
func TestWriteSetsMatchingHeaderAndBody(t *testing.T) {
	cases := map[Kind]error{
		KindNoOwner:  fmt.Errorf("wrapped: %w", New(KindNoOwner, "lost")),
		KindInternal: errors.New("unclassified"),
	}
	for kind, err := range cases {
		w := httptest.NewRecorder()
		Write(w, "id-1", err)
		var problem Problem
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &problem))
		assert.Equal(t, problem.Kind, kind)
		assert.Equal(t, w.Code, problem.Status)
		assert.Equal(t, w.Header().Get(HeaderExecuted), string(problem.Executed))
		assert.Equal(t, w.Header().Get(HeaderRequestID), "id-1")
		assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
	}
}
