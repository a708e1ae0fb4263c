package telemetry

import (
	"bytes"
	"io"
	"sync"
)

// retainedLines is the number of log lines that a RecentLog retains.
const retainedLines = 16384

// RecentLog is an io.Writer that forwards log lines to another writer and
// retains the most recent ones in memory, so that operators can look up why a
// request was routed to its destination. It is safe for concurrent use if the
// other writer is.
type RecentLog struct {
	next io.Writer

	mu    sync.Mutex
	lines [retainedLines][]byte
	count int // lines written so far
}

// NewRecentLog returns a RecentLog that forwards lines to next.
func NewRecentLog(next io.Writer) *RecentLog { return &RecentLog{next: next} }

// Write implements io.Writer. Each call must pass one complete line.
func (j *RecentLog) Write(line []byte) (int, error) {
	j.mu.Lock()
	slot := &j.lines[j.count%retainedLines]
	*slot = append((*slot)[:0], line...)
	j.count++
	j.mu.Unlock()
	return j.next.Write(line)
}

// RequestLines returns copies of the retained lines whose request_id field is
// id, oldest first.
func (j *RecentLog) RequestLines(id string) [][]byte {
	field := []byte(`"request_id":"` + id + `"`)
	j.mu.Lock()
	defer j.mu.Unlock()
	var found [][]byte
	for i := max(0, j.count-retainedLines); i < j.count; i++ {
		if line := j.lines[i%retainedLines]; bytes.Contains(line, field) {
			found = append(found, bytes.Clone(line))
		}
	}
	return found
}
