package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
)

// Guards against cold servers with more keys than they bear, and against a pace of warm
// servers or of services that state none.
func TestMaxRateOfColdServers(t *testing.T) {
	warm, cold := registry.Server{}, registry.Server{Warmup: time.Second}
	stated := routes.Warmup{Rate: 3.75}
	for _, c := range []struct {
		server      registry.Server
		warmup      routes.Warmup
		limit, want float64
	}{{cold, stated, 0, 3.75}, {cold, stated, 1.5, 1.5}, {cold, stated, 20, 3.75}, {warm, stated, 0, 0}, {warm, stated, 1.5, 1.5}, {cold, routes.Warmup{}, 0, 0}, {cold, routes.Warmup{}, 1.5, 1.5}} {
		assert.Equal(t, maxRate(c.server, c.limit, c.warmup), c.want, "%+v", c)
	}
}
