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

// Bounds of what a process logs.
const (
	// queuedLines is how many lines may wait for a slow reader of the output.
	queuedLines = 4096
	// linesPerSecond is how many lines with one message are written in each
	// second; a host that serves its share writes a line for each failed
	// request below it.
	linesPerSecond = 200
	// closeLimit bounds the writing of what waits when the process ends.
	closeLimit = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer without ever waiting for it. Lines
// that find the queue full are dropped, counted, and reported in a line of
// their own.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	group   conc.WaitGroup
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a running AsyncWriter.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	w.group.Go(w.run)
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log: lines dropped, the reader is too slow\",\"lines\":%d}\n", dropped), line...)
		}
		// There is nowhere to report that the log can't be written.
		_, _ = w.out.Write(line)
	}
}

// Close writes what waits, for a short time at most.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		select {
		case w.lines <- nil:
		default:
			return
		}
		select {
		case <-w.done:
		case <-time.After(closeLimit):
		}
	})
}

// NewBoundedLogger returns a logger whose volume is bounded for each message and
// which never waits for out. Omitted, if not nil, is called for each line that
// is left out because its message came too often.
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
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(hook))
	})), nil
}
