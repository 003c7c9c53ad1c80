package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Guards against several attempts at an address that has passed to a server of another
// service: they count as retries at that service (seen as 434 retries in 10 s where 366
// are allowed, seed 303663464688 of trouble-3 on aserrin-gw).
func TestKeyOfAnEndedOwnerIsNotSentTwiceToItsAddress(t *testing.T) {
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	pools := p.handler.ServerPools
	snapshot := *pools.lastSnapshot
	config := *snapshot.Config
	config.Services = make(map[string]routes.Service)
	snapshot.Assignments = make(map[string]*shards.Assignment)
	for name, service := range snapshot.Config.Services {
		service.HasKeyOwners = true
		config.Services[name] = service
		for id, server := range snapshot.Servers.Servers {
			snapshot.Assignments[name] = &shards.Assignment{Version: 1, Ranges: []shards.Range{{To: shards.PositionCount - 1, Owner: id, Incarnation: server.Incarnation, Token: 1}}}
		}
	}
	snapshot.Config = &config
	pools.Update(&snapshot)
	p.handler.View = control.NewStaticView(snapshot)
	request, err := http.NewRequest(http.MethodGet, p.url+"/safe/x", nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Key", "7")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.500")
	assert.Equal(t, p.executions.Load(), int64(1))
}
