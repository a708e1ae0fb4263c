package listing

import (
	"net/http"
	"testing"

	"github.com/fuchsiastack/fuchsiastack/standin/endless"
)

// TestEndlessHeadOfPlatform guards against an instance that reads the header of a
// response for as long as a faulty platform sends it.
func TestEndlessHeadOfPlatform(t *testing.T) {
	endless.CheckHeads(t, func(addr string) (func() error, *http.Transport) {
		client := New("http://" + addr)
		return func() error {
			_, err := client.Servers(t.Context(), "cairo")
			return err
		}, client.http.Transport.(*http.Transport)
	})
}
