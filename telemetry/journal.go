package telemetry

import (
	"bytes"
	"io"
	"sync"
)

// journalLines is how many log lines a Journal keeps.
const journalLines = 16384

// Journal is an io.Writer that passes log lines on and keeps the last ones, so
// that operators can ask why a request went where it did.
type Journal struct {
	next io.Writer

	mu    sync.Mutex
	lines [journalLines][]byte
	count int // lines written so far
}

// NewJournal returns a Journal that passes lines on to next.
func NewJournal(next io.Writer) *Journal { return &Journal{next: next} }

// Write implements io.Writer. Each call is one line.
func (j *Journal) Write(line []byte) (int, error) {
	j.mu.Lock()
	slot := &j.lines[j.count%journalLines]
	*slot = append((*slot)[:0], line...)
	j.count++
	j.mu.Unlock()
	return j.next.Write(line)
}

// Request returns the lines of a request, oldest first.
func (j *Journal) Request(id string) [][]byte {
	field := []byte(`"request_id":"` + id + `"`)
	j.mu.Lock()
	defer j.mu.Unlock()
	var found [][]byte
	for i := max(0, j.count-journalLines); i < j.count; i++ {
		if line := j.lines[i%journalLines]; bytes.Contains(line, field) {
			found = append(found, bytes.Clone(line))
		}
	}
	return found
}
