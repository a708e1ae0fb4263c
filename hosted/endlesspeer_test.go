package hosted

import (
	"io"
	"maps"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestEndlessPeerResponse guards against an instance that reads the response to a query
// to another instance for as long as it is sent. The address of an instance that has
// ended may belong to another program.
func TestEndlessPeerResponse(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	responses := map[string][2]string{
		"no length": {head + "\r\n", endless.Filler},
		"chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + endless.Filler + "\r\n"},
		"failure":   {"HTTP/1.1 500 Failed\r\n\r\n", endless.Filler},
	}
	maps.Copy(responses, endless.Heads)
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			n, err := New(f.settings("cairo"), Options{LogLevel: "info"}, io.Discard)
			f.Assert(err, qt.IsNil)
			read := endless.CountReads(n.peers.Transport.(*http.Transport))
			limit := int64(endless.MaxHeaderRead)
			if _, isHead := endless.Heads[name]; !isHead {
				limit += maxPeerResponseBytes
			}
			var state stateResponse
			err = n.queryPeer(t.Context(), peerQuery{endless.StartServer(t, response[0], response[1]), statePath, nil, waitTimeout}, &state)
			f.Assert(err, qt.IsNotNil)
			f.Assert(read.Load() <= limit, qt.IsTrue, qt.Commentf("read %d bytes, limit %d", read.Load(), limit))
		})
	}
}
