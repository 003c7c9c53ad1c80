package proxy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests or responses that are altered on the way, and against
// reserved headers that a caller sets and that reach the upstream.
func TestForwardsRequestAndResponse(t *testing.T) {
	up := newFakeUpstream(t, raw("HTTP/1.1 201 Created\nID\nContent-Length: 5\nX-Kept: yes\nKeep-Alive: 5\nCassiasill-Secret: x\n\nhello"))
	h := newHarness(t, nil, up)
	response, body, err := h.do(t, "POST", "/keyed/a%2Fb/c?q=1", strings.NewReader("data"),
		"X-Caller", "foreman", "Cassiasill-Fencing-Token", "99.99", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 201)
	assert.Equal(t, body, "hello")
	assert.Equal(t, response.Header.Get("X-Kept"), "yes")
	assert.Equal(t, response.Header.Get("Keep-Alive")+response.Header.Get("Cassiasill-Secret"), "")
	c := up.last()
	assert.Equal(t, c.r.RequestURI, "/keyed/a%2Fb/c?q=1")
	assert.Equal(t, c.body, "data")
	assert.Equal(t, c.r.ContentLength, int64(4))
	for name, want := range map[string]string{
		"Cassiasill-Fencing-Token": "7.1", "Cassiasill-Caller": "foreman", "X-Hop": "", "X-End": "2",
		"Cassiasill-Request-Id": response.Header.Get("Cassiasill-Request-Id"), "User-Agent": "Go-http-client/1.1",
	} {
		assert.Equal(t, strings.Join(c.r.Header.Values(name), "|"), want, name)
	}
}
