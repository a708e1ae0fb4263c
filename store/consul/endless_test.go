package consul

import (
	"net/http"
	"testing"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestEndlessHeadOfStore guards against an instance that reads the header of a response
// for as long as a faulty store sends it.
func TestEndlessHeadOfStore(t *testing.T) {
	endless.CheckHeads(t, func(addr string) (func() error, *http.Transport) {
		client := New("http://" + addr)
		return func() error {
			_, err := client.Get(t.Context(), "key")
			return err
		}, client.httpClient.Transport.(*http.Transport)
	})
}
