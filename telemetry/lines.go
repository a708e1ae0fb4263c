package telemetry

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingLines bounds the memory of lines that are not written yet.
	maxPendingLines = 1 << 20
	// flushInterval is the longest time that a line waits.
	flushInterval = 50 * time.Millisecond
)

// Lines is an io.Writer of log lines that never blocks. Lines are written
// together, a few times a second; those that exceed the memory for them are
// dropped and counted.
type Lines struct {
	next io.Writer

	mu      sync.Mutex
	pending []byte
	dropped uint64
}

// NewLines returns a Lines that writes to next.
func NewLines(next io.Writer) *Lines { return &Lines{next: next} }

// Write implements io.Writer. Each call is one line.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > maxPendingLines {
		l.dropped++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (l *Lines) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run writes the lines until ctx ends, and then the rest.
func (l *Lines) Run(ctx context.Context) {
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

// Flush writes what is pending.
func (l *Lines) Flush() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	if len(pending) > 0 {
		_, _ = l.next.Write(pending)
	}
}
