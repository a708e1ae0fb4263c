package telemetry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
)

const (
	// maxPendingBytes is the maximum size of unwritten lines, in bytes.
	maxPendingBytes = 1 << 20
	// flushInterval is the longest time that a line is pending. Run collects the lines
	// of this time in one write.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter is an io.Writer for log lines that does not wait for the
// underlying writer. Run writes the pending lines in batches. A line that does
// not fit into the buffer is dropped and counted, and Flush logs how many were.
type AsyncWriter struct {
	next io.Writer

	written chan struct{} // has an element if there may be pending lines

	mu       sync.Mutex
	pending  []byte
	dropped  uint64
	reported uint64 // part of dropped that has been logged
}

// NewAsyncWriter returns an AsyncWriter that writes to next. Nothing is written
// unless Run is running or Flush is called.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	return &AsyncWriter{next: next, written: make(chan struct{}, 1)}
}

// Write implements io.Writer. Each call must pass one complete line. It reports
// success even if the line is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.written <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was full.
func (w *AsyncWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run flushes the pending lines until ctx is done, and once more before it returns.
func (w *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case <-w.written:
			loop.Sleep(ctx, flushInterval)
			w.Flush()
		case <-ctx.Done():
			w.Flush()
			return
		}
	}
}

// Flush writes the pending lines to the underlying writer, and a line with the
// number of lines dropped since the last call, if any. Write errors are ignored.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	pending, dropped := w.pending, w.dropped-w.reported
	w.pending, w.reported = nil, w.dropped
	w.mu.Unlock()
	if len(pending) > 0 {
		_, _ = w.next.Write(pending)
	}
	if dropped > 0 {
		logger := log.Logger{Writer: &log.IOWriter{Writer: w.next}}
		logger.Warn().Str("event", "log_lines_dropped").Uint64("lines", dropped).Int("buffer_bytes", maxPendingBytes).Msg("")
	}
}
