package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// Guards against a limit that floods the log, and against one that hides another.
func TestLimitIsLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		events, err := NewLimitEvents(noop.Meter{}, zap.New(core))
		assert.NilError(t, err)
		for range 25 {
			events.Reached(LimitMemory, "callers.memory")
			time.Sleep(100 * time.Millisecond)
		}
		events.Reached(LimitConnections, "callers.maxConnections")
		assert.Equal(t, logs.FilterField(zap.String("limit", "memory")).Len(), 3)
		assert.Equal(t, logs.FilterField(zap.Int("times", 10)).Len(), 2)
		assert.Equal(t, logs.FilterField(zap.String("setting", "callers.maxConnections")).Len(), 1)
	})
}
