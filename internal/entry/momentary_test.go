package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cost estimates that leave out the slow moments of servers: waits and
// capacities that are estimated from them would then be too good.
func TestCostsIncludeSlowMoments(t *testing.T) {
	const work = 50 * time.Millisecond
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		w.Header().Set("X-Load", "1,0,2,10000")
		respondOK(w, r)
	})
	route := p.handler.View.Load().Config.Match("a.example", "/safe/")
	p.handler.costs.costOf(route).workSeconds = 0
	status, _, _, err := p.do(t, http.MethodGet, "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	estimated := 2 * p.handler.costs.costOf(route).workSeconds // the first response weighs a half
	assert.Assert(t, estimated >= work.Seconds(), "%g s of work in a response that took at least %s", estimated, work)
}
