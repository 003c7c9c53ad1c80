package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wishes to stay away that are misread: fractions, zero, negative
// numbers, dates, huge and repeated values.
func TestParseRetryAfter(t *testing.T) {
	cases := []struct {
		values []string
		want   time.Duration
	}{
		{nil, 0}, {[]string{"2"}, 2 * time.Second}, {[]string{" 0.25 "}, 250 * time.Millisecond}, {[]string{"0"}, 0}, {[]string{"-3"}, 0},
		{[]string{"NaN"}, 0}, {[]string{"soon"}, 0}, {[]string{""}, 0}, {[]string{"Fri, 04 Dec 2026 20:44:00 GMT"}, 0},
		{[]string{"1e300"}, maxRetryAfter}, {[]string{"+Inf"}, maxRetryAfter}, {[]string{"1", "4", "x"}, 4 * time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, parseRetryAfter(c.values), c.want, "%q", c.values)
	}
}
