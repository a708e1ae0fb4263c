package telemetry

import (
	"bytes"
	"io"
	"sync"
)

// retainedLines is the number of log lines that a Journal retains.
const retainedLines = 16384

// RecentLog is an io.Writer that forwards log lines to another writer and retains
// the most recent ones in memory, so that operators can look up why a request
// was routed to its destination. It is safe for concurrent use if the other
// writer is.
type RecentLog struct {
	next io.Writer

	mu    sync.Mutex
	lines [retainedLines][]byte
	count int // lines written so far
}

// NewRecentLog returns a Journal that forwards lines to next.
func NewRecentLog(next io.Writer) *RecentLog { return &RecentLog{next: next} }

// Write implements io.Writer. Each call must pass one complete line.
func (r *RecentLog) Write(line []byte) (int, error) {
	r.mu.Lock()
	slot := &r.lines[r.count%retainedLines]
	*slot = append((*slot)[:0], line...)
	r.count++
	r.mu.Unlock()
	return r.next.Write(line)
}

// RequestLines returns copies of the retained lines whose request_id field is id,
// oldest first.
func (r *RecentLog) RequestLines(id string) [][]byte {
	field := []byte(`"request_id":"` + id + `"`)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found [][]byte
	for i := max(0, r.count-retainedLines); i < r.count; i++ {
		if line := r.lines[i%retainedLines]; bytes.Contains(line, field) {
			found = append(found, bytes.Clone(line))
		}
	}
	return found
}
