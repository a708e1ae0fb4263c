package listing_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/listing"
	standin "github.com/fuchsiastack/fuchsiastack/standin/platform"
)

// Checks that an unchanged list is not transferred again, and that the next call
// after a change returns the new list.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	platform := standin.New(0)
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		platform.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		w.Header().Set("ETag", recorder.Header().Get("ETag"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := listing.New(server.URL)
	ctx := context.Background()
	for step, want := range []int{1, 1, 2, 2} {
		if step%2 == 0 {
			platform.Put(standin.Server{ID: string(rune('a' + step)), Region: "cairo"})
		}
		servers, err := client.Servers(ctx, "cairo")
		c.Assert(err, qt.IsNil)
		c.Assert(servers, qt.HasLen, want)
	}
	c.Assert(statuses, qt.DeepEquals, []int{200, 304, 200, 304})
}
