package telemetry

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

// newTestDirectory returns a Directory and its log output.
func newTestDirectory(c *qt.C) (*Directory, *bytes.Buffer) {
	metrics, err := NewMetrics()
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	directory, err := NewDirectory(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, metrics)
	c.Assert(err, qt.IsNil)
	return directory, &out
}

// TestDirectoryLogsChanges guards against a directory whose decisions cannot be
// read afterwards, and against a line for each of its responses.
func TestDirectoryLogsChanges(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	directory, out := newTestDirectory(c)
	now := time.Unix(1000, 0)
	response := DirectoryResponse{Host: "a.example", Region: "cairo", Zone: "cairo-a", Reason: "region", Instances: 2, Regions: []string{"cairo"}, Revision: 7}
	for range 10 {
		directory.Responded(now, response)
	}
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 1)
	out.Reset()
	response.Reason, response.Regions, response.Revision = "homes", []string{"alex"}, 8
	directory.Responded(now.Add(3*time.Second), response)
	line := out.String()
	for _, want := range []string{`"event":"directory"`, `"reason":"homes"`, `"regions":["alex"]`, `"revision":8`, `"previous_reason":"region"`, `"previous_for":3000`} {
		c.Check(line, qt.Contains, want)
	}
}

// TestDirectoryLogIsBounded guards against a log and a memory that grow with the
// names that callers send.
func TestDirectoryLogIsBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	directory, out := newTestDirectory(c)
	for k := range 3 * maxDirectoryCallers {
		directory.Responded(time.Unix(1000, 0), DirectoryResponse{Host: "host-" + strconv.Itoa(k), Reason: "region"})
	}
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, maxDirectoryCallers)
	c.Assert(directory.last, qt.HasLen, maxDirectoryCallers)
}
