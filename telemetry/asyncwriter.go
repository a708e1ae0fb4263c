package telemetry

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum size of unwritten lines, in bytes.
	maxPendingBytes = 1 << 20
	// flushInterval is the time between two flushes by Run, and so the longest
	// time that a line is pending.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter is an io.Writer for log lines that does not wait for the
// underlying writer. Run writes the pending lines in batches. A line that does
// not fit into the buffer is dropped and counted.
type AsyncWriter struct {
	next io.Writer

	mu      sync.Mutex
	pending []byte
	dropped uint64
}

// NewAsyncWriter returns an AsyncWriter that writes to next. Nothing is written
// unless Run is running or Flush is called.
func NewAsyncWriter(next io.Writer) *AsyncWriter { return &AsyncWriter{next: next} }

// Write implements io.Writer. Each call must pass one complete line. It reports
// success even if the line is dropped.
func (l *AsyncWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > maxPendingBytes {
		l.dropped++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was full.
func (l *AsyncWriter) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run flushes the pending lines periodically until ctx is done, and once more
// before it returns.
func (l *AsyncWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.Flush()
		case <-ctx.Done():
			l.Flush()
			return
		}
	}
}

// Flush writes the pending lines to the underlying writer. Write errors are
// ignored.
func (l *AsyncWriter) Flush() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	if len(pending) > 0 {
		_, _ = l.next.Write(pending)
	}
}
