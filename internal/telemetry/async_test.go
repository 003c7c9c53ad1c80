package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against requests that wait for a slow reader of the log.
func TestBlockedOutputDelaysNoWrite(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	start := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 500*time.Millisecond)
	close(out.release)
	_, _ = w.Write([]byte("last\n"))
	time.Sleep(50 * time.Millisecond)
	w.Close()
	assert.Assert(t, strings.Contains(out.String(), "lines dropped"))
}

// Guards against a log volume that grows with the load, and against omitted lines
// that are not counted.
func TestVolumeIsBoundedPerMessage(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := NewAsyncWriter(out)
	omitted := 0
	log, err := NewBoundedLogger(w, "info", FormatJSON, func() { omitted++ })
	assert.NilError(t, err)
	for range 1000 {
		log.Info("entry: frequent")
	}
	log.Info("entry: request failed", zap.String("request", "id-1"))
	w.Close()
	written := strings.Count(out.String(), "frequent")
	assert.Assert(t, written >= maxLinesPerMessagePerSecond && written <= 2*maxLinesPerMessagePerSecond, "%d lines", written)
	assert.Equal(t, omitted+written, 1000)
	assert.Assert(t, strings.Contains(out.String(), "id-1"))
}
