package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cost estimates that take in that a server is slow at present.
func TestCostsAreThoseOfUsualTimes(t *testing.T) {
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "1,0,2,10000")
		respondOK(w, r)
	})
	route := p.handler.View.Load().Config.Match("a.example", "/safe/")
	p.handler.costs.costOf(route).workSeconds = 0
	started := time.Now()
	status, _, _, err := p.do(t, http.MethodGet, "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	elapsed := time.Since(started)
	work := 2 * p.handler.costs.costOf(route).workSeconds // the first response weighs a half
	assert.Assert(t, work > 0 && work <= elapsed.Seconds()/100, "%g s of work in a response after %s at a hundredth of the speed", work, elapsed)
}
