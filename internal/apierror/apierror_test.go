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

// renderTable renders the kinds for docs/errors.md.
func renderTable() string {
	var b strings.Builder
	b.WriteString("| kind | status | executed | Retry-After | log level | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	kinds := Kinds()
	names := make([]string, 0, len(kinds))
	for k := range kinds {
		names = append(names, string(k))
	}
	slices.Sort(names)
	for _, name := range names {
		a := kinds[Kind(name)]
		retry := "no"
		if a.RetryAfter > 0 {
			retry = fmt.Sprintf("%d s", int(a.RetryAfter/time.Second))
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", name, a.Status, a.Executed, retry, a.Level, a.Title)
	}
	return b.String()
}

// Guards against a page that tells callers another answer than they get.
func TestErrorPageShowsTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), renderTable()), "docs/errors.md lacks this table:\n%s", renderTable())
}

// Guards against an override that turns an unknown outcome into a proven one.
func TestExecutedCanOnlyBecomeUnknown(t *testing.T) {
	e := New(KindTimeout, "slow")
	e.Executed = ExecutedNo
	assert.Equal(t, e.Answer().Executed, ExecutedUnknown)
	e = New(KindOverloaded, "full")
	e.Executed = ExecutedUnknown
	assert.Equal(t, e.Answer().Executed, ExecutedUnknown)
}

// Guards against an error answer whose header and body disagree, or that claims
// something about an error of no kind.
func TestWriteAnswersHeaderAndBodyAlike(t *testing.T) {
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
