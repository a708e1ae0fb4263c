package boundedhttp

import (
	"net/http"
	"testing"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestHeadIsBounded guards against a transport that reads the header of a response for
// as long as a faulty server sends it.
func TestHeadIsBounded(t *testing.T) {
	endless.CheckHeads(t, func(addr string) (func() error, *http.Transport) {
		transport := NewTransport()
		client := http.Client{Transport: transport}
		return func() error {
			_, err := client.Get("http://" + addr + "/")
			return err
		}, transport
	})
}
