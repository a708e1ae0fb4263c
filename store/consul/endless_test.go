package consul

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestEndlessHeadOfStore guards against an instance that reads the header of a response
// for as long as a faulty store sends it.
func TestEndlessHeadOfStore(t *testing.T) {
	for name, response := range endless.Heads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := New("http://" + endless.StartServer(t, response[0], response[1]))
			read := endless.CountReads(client.httpClient.Transport.(*http.Transport))
			_, err := client.Get(t.Context(), "key")
			c.Assert(err, qt.IsNotNil)
			c.Assert(read.Load() <= endless.MaxHeaderRead, qt.IsTrue, qt.Commentf("read %d bytes", read.Load()))
		})
	}
}
