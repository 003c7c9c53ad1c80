package exchange

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fourth figure, or a bad one, that makes the whole header invalid.
func TestParseLoad(t *testing.T) {
	for text, percent := range map[string]int{"1,0,2": 0, "1,0,2,300": 300, "1, 0, 2, 1": 1, "1,0,2,10000": 10_000, "1,0,2,10001": 0, "1,0,2,0": 0,
		"1,0,2,-5": 0, "1,0,2,": 0, "1,0,2,fast": 0, "1,0,2,1e3": 0, "1,0,2,99999999999999999999": 0} {
		load, ok := parseLoad(text)
		assert.Assert(t, ok, text)
		assert.Equal(t, load, ServerLoad{Running: 1, Slots: 2, TimePercent: percent}, text)
	}
	for _, text := range []string{"", "1,0", "1,0,x,100", "1,0,2,100,1", "-1,0,2,100"} {
		_, ok := parseLoad(text)
		assert.Assert(t, !ok, text)
	}
}
