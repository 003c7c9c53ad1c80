package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a process's log output.
const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the output.
	maxQueuedLines = 4096
	// maxLinesPerMessagePerSecond bounds the lines with the same message per
	// second. At a normal load, the failed requests of a host stay below it, so
	// that each one is logged.
	maxLinesPerMessagePerSecond = 200
	// closeTimeout bounds how long Close writes queued lines.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter queues lines for a writer, so that a slow writer never blocks its
// callers. When the queue is full, it drops lines and later writes a line with
// their number.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	group     conc.WaitGroup
	closeOnce sync.Once
	done      chan struct{}
}

// NewAsyncWriter returns an AsyncWriter and starts writing to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	w.group.Go(w.writeQueued)
	return w
}

// Write queues one line or, if the queue is full, drops it. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) writeQueued() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log: lines dropped, the reader is too slow\",\"lines\":%d}\n", dropped), line...)
		}
		// An error cannot be reported, because this is the log itself.
		_, _ = w.out.Write(line)
	}
}

// Close writes the queued lines, for at most closeTimeout. If the queue is full, it
// returns at once, because the reader of the output is too slow.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() {
		select {
		case w.lines <- nil:
		default:
			return
		}
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
		}
	})
}

// NewBoundedLogger returns a logger that never blocks and that writes at most
// maxLinesPerMessagePerSecond lines with the same message per second. Omitted, if
// not nil, is called for each line above this limit.
func NewBoundedLogger(out *AsyncWriter, level string, format Format, omitted func()) (*zap.Logger, error) {
	base, err := NewLogger(out, level, format)
	if err != nil {
		return nil, err
	}
	hook := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if omitted != nil && decision&zapcore.LogDropped != 0 {
			omitted()
		}
	}
	return base.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerMessagePerSecond, 0, zapcore.SamplerHook(hook))
	})), nil
}
