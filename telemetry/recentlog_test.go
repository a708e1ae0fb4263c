package telemetry

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Checks that a log at its capacity returns the lines of recent requests, no longer
// returns overwritten lines, and matches whole request ids only.
func TestRecentLogRetainsLastLines(t *testing.T) {
	c := qt.New(t)
	r := NewRecentLog(io.Discard)
	for i := range retainedLines + 10 {
		fmt.Fprintf(r, `{"event":"route","request_id":"r%d"}`+"\n", i/2)
	}
	c.Assert(r.RequestLines("r0"), qt.HasLen, 0)
	c.Assert(r.RequestLines("r100"), qt.HasLen, 2)
	c.Assert(r.RequestLines(fmt.Sprint("r", retainedLines/2)), qt.HasLen, 2)
	c.Assert(r.RequestLines("r"), qt.HasLen, 0)
}
