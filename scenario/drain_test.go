package scenario

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// TestRequestsLeftAtDrainDeadline guards against requests that end with a closed connection
// and without an outcome when the drain of their instance takes too long.
func TestRequestsLeftAtDrainDeadline(t *testing.T) {
	c := qt.New(t)
	f, url, _ := startOneEngine(t, "--drain-notice", "500ms", "--drain-deadline", "1s")
	const tokens = 1000 // 20 s
	routed := func() int { return strings.Count(f.logText("entry-erie"), `"event":"route"`) }
	before := routed()
	type answer struct {
		status  int
		outcome string
	}
	plain := make(chan answer, 1)
	go func() {
		status, o := sendChat(url, "dojo-one-key", "certificate-draft", tokens)
		plain <- answer{status, o}
	}()
	stream, err := postChat(url, "dojo-one-key", "certificate-draft", tokens, true)
	c.Assert(err, qt.IsNil)
	defer stream.Body.Close()
	f.await(startTimeout, "both requests in flight", func() bool { return routed() == before+2 })
	c.Assert(f.processes["entry-erie"].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(<-plain, qt.Equals, answer{http.StatusBadGateway, outcome.MayHaveRun.String()})
	text, err := io.ReadAll(stream.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "event: error\ndata: {")
	c.Assert(strings.Contains(string(text), "[DONE]"), qt.IsFalse)
	c.Assert(stream.Trailer.Get(outcome.Header), qt.Equals, outcome.MayHaveRun.String())
}
