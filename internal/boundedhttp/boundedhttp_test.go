package boundedhttp

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestHeadIsBounded guards against a transport that reads the header of a response for
// as long as a faulty server sends it.
func TestHeadIsBounded(t *testing.T) {
	for name, response := range endless.Heads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			transport := NewTransport()
			defer transport.CloseIdleConnections()
			read := endless.CountReads(transport)
			client := http.Client{Transport: transport}
			_, err := client.Get("http://" + endless.StartServer(t, response[0], response[1]) + "/")
			c.Assert(err, qt.IsNotNil)
			c.Assert(read.Load() <= endless.MaxHeaderRead, qt.IsTrue, qt.Commentf("read %d bytes", read.Load()))
		})
	}
}
