package telemetry

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The journal keeps the lines of the last requests and no more.
func TestJournalKeepsTheLastLines(t *testing.T) {
	c := qt.New(t)
	j := NewJournal(io.Discard)
	for i := range journalLines + 10 {
		fmt.Fprintf(j, `{"event":"route","request_id":"r%d"}`+"\n", i/2)
	}
	c.Assert(j.Request("r0"), qt.HasLen, 0)
	c.Assert(j.Request("r100"), qt.HasLen, 2)
	c.Assert(j.Request(fmt.Sprint("r", journalLines/2)), qt.HasLen, 2)
	c.Assert(j.Request("r"), qt.HasLen, 0)
}
