package telemetry

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDroppedLinesAreReported guards against gaps in the log that an operator does not
// see: dropped lines were counted, and nothing told of the count.
func TestDroppedLinesAreReported(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	line := []byte(strings.Repeat("x", maxPendingBytes/2-1) + "\n")
	for range 5 {
		_, err := w.Write(line)
		c.Assert(err, qt.IsNil)
	}
	w.Flush()
	c.Check(out.Len() > maxPendingBytes, qt.IsTrue)
	report := out.String()[maxPendingBytes:]
	c.Check(report, qt.Matches, `\{"time":"[^"]*","level":"warn","event":"log_lines_dropped","lines":3,"buffer_bytes":1048576\}\n`)
	out.Reset()
	w.Flush()
	c.Check(out.Len(), qt.Equals, 0, qt.Commentf("reported twice"))
}
