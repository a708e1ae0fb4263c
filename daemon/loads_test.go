package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/standin/endless"
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
		_, leaving, err := newLoadFetcher().FetchLoad(context.Background(), server)
		engine.Close()
		c.Check(err, qt.IsNotNil)
		c.Check(leaving, qt.Equals, test.leaving, qt.Commentf("%s: %s", test.name, test.value))
	}
}

// TestEndlessHeadOfLoad guards against an instance that reads the header of a response to
// a query for the load of a backend server for as long as a faulty one sends it.
func TestEndlessHeadOfLoad(t *testing.T) {
	endless.CheckHeads(t, func(addr string) (func() error, *http.Transport) {
		loads := newLoadFetcher()
		return func() error {
			_, _, err := loads.FetchLoad(t.Context(), backend.NewServer(backend.Info{ID: "engine", Addr: addr}))
			return err
		}, loads.client.Transport.(*http.Transport)
	})
}

// TestEndlessHeadOfEngine guards against the same of a query for the state of an engine.
func TestEndlessHeadOfEngine(t *testing.T) {
	endless.CheckHeads(t, func(addr string) (func() error, *http.Transport) {
		engines := newEngineClient()
		return func() error {
			_, err := engines.Report(t.Context(), backend.Info{ID: "engine", Addr: addr})
			return err
		}, engines.Client.Transport.(*http.Transport)
	})
}
