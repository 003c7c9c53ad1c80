package headers

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against forwarding hop-by-hop headers, including those that a Connection
// header lists in any letter case or on any of its lines.
func TestCopyEndToEnd(t *testing.T) {
	src := http.Header{
		"Connection": {"close, x-Private", " X-Other "}, "X-Private": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=5"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"X-Kept": {"a", "b"}, "X-Skipped": {"c"}, "Content-Type": {"text/plain"},
	}
	dst := http.Header{}
	CopyEndToEnd(dst, src, func(name string) bool { return name == "X-Skipped" })
	assert.DeepEqual(t, dst, http.Header{"X-Kept": {"a", "b"}, "Content-Type": {"text/plain"}})
	all := http.Header{}
	CopyEndToEnd(all, src, nil)
	assert.DeepEqual(t, all["X-Skipped"], []string{"c"})
}
