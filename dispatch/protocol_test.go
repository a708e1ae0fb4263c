package dispatch

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/relay"
)

// TestRefusalNeedsEvidence guards against a refusal without an attempt id that an
// engine sends once more and that is taken as the response to a later attempt. Such
// a refusal must neither count as one nor mark the server as draining.
func TestRefusalNeedsEvidence(t *testing.T) {
	c := qt.New(t)
	for _, refused := range []bool{true, false} {
		for _, echoedID := range []string{"", "attempt-1", "attempt-2"} {
			for _, first := range []bool{true, false} {
				resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: make(http.Header)}
				if refused {
					resp.Header.Set(refusedHeader, "leaving")
				}
				if echoedID != "" {
					resp.Header.Set(relay.AttemptHeader, echoedID)
				}
				server := backend.NewServer(backend.Info{ID: "engine-1", State: backend.StateLive})
				info := defaultProtocol{}.ReadResponse(Attempt{ID: "attempt-1", FirstOnConnection: first}, resp)
				info.updateServer(time.Now(), server)
				mismatched := echoedID == "attempt-2" || echoedID == "" && refused && !first
				comment := qt.Commentf("refused: %t, echoed id %q, first on connection: %t", refused, echoedID, first)
				c.Check(info.Mismatched, qt.Equals, mismatched, comment)
				c.Check(server.Accepts(), qt.Equals, mismatched || !refused, comment)
			}
		}
	}
}
