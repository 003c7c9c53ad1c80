package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Guards against a limit that a response of another server, one without a signature
// or a malformed one sets or ends.
func TestResponsesThatStateARateLimit(t *testing.T) {
	const signed, limit = "X-Signature: s\r\n", "X-Limit: 2.5\r\n"
	for _, c := range []struct {
		name, status, headers string
		announcement          ratelimit.Announcement
		rate                  float64
		invalid               bool
	}{
		{"limit", "200 OK", signed + limit, ratelimit.Limited, 2.5, false},
		{"none", "200 OK", signed, ratelimit.Unlimited, 0, false},
		{"failure with a limit", "500 Failed", limit, ratelimit.Limited, 2.5, false},
		{"failure without signature", "500 Failed", "", ratelimit.Unstated, 0, false},
		{"refusal with a limit", "503 Full", limit + "X-Refused: 1\r\n", ratelimit.Limited, 2.5, false},
		{"refusal without signature", "503 Full", "X-Refused: 1\r\n", ratelimit.Unstated, 0, false},
		{"another server's", "421 Misdirected", signed + limit, ratelimit.Unstated, 0, false},
		{"another server's without a limit", "421 Misdirected", signed, ratelimit.Unstated, 0, false},
		{"not the server's whole response", "200 OK", limit, ratelimit.Unstated, 0, false},
		{"two limits", "200 OK", signed + limit + limit, ratelimit.Unstated, 0, true},
		{"not a number", "200 OK", signed + "X-Limit: NaN\r\n", ratelimit.Unstated, 0, true},
		{"empty", "200 OK", signed + "X-Limit:\r\n", ratelimit.Unstated, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := servePool(t, func(conn net.Conn, _ int, r *http.Request) {
				_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", c.status, r.Header.Get("X-Id"), c.headers))
			})
			result := pool.Do(context.Background(), newRequest("a"))
			assert.Equal(t, result.RateLimit, c.announcement)
			assert.Equal(t, result.Rate, c.rate)
			assert.Equal(t, result.RateLimitErr != nil, c.invalid)
		})
	}
}
