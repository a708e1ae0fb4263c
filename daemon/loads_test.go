package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestBusyLoadReportIsNoLeaving guards against a server that is lost for good because
// it refuses a query for its load while it is busy, and against an announcement that
// is missed in a repeated header or a list.
func TestBusyLoadReportIsNoLeaving(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, value string
		leaving     bool
	}{
		{"Fuchsia-Refused", "busy", false},
		{"Fuchsia-Refused", "leaving", true},
		{"Fuchsia-Leaving", "0", false},
		{"Fuchsia-Leaving", "1", true},
		{"Fuchsia-Leaving", "0, 1", true},
	} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(test.name, test.value)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		server := backend.NewServer(backend.Info{ID: "engine", Addr: engine.Listener.Addr().String()})
		_, leaving, err := httpLoadFetcher{}.FetchLoad(context.Background(), server)
		engine.Close()
		c.Check(err, qt.IsNotNil)
		c.Check(leaving, qt.Equals, test.leaving, qt.Commentf("%s: %s", test.name, test.value))
	}
}
