package entryhost

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Guards against turns of servers to cold and to warm that leave no log line at the
// dispatcher, or one at each host.
func TestTurnsAreLoggedAtTheDispatcher(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	s := newDispatchService(Options{DispatchAddress: "self", Log: zap.New(core)}, ratelimit.NewTable(boottime.Now, zap.NewNop()))
	server := dispatch.Server{ID: "a", Slots: 2, WarmupRate: 3.75, WarmupMax: 11.75}
	for _, dispatcher := range []string{"other", "self"} {
		s.placer.SetDispatchers(map[string]string{"svc": dispatcher})
		for _, warmup := range []time.Duration{0, time.Second, time.Second, 0} {
			server.Warmup = warmup
			s.central.SetService("svc", 1, 0, nil, []dispatch.Server{server})
		}
	}
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, logs.All()[0].ContextMap()["rate"], 3.75)
	assert.Equal(t, logs.All()[1].ContextMap()["sent_while_cold"], int64(0))
}
