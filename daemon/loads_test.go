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

// TestEndlessHeadOfEngine guards against an instance that reads the header of a response
// for as long as a faulty backend server sends it, to a query for its load or its state.
func TestEndlessHeadOfEngine(t *testing.T) {
	for name, response := range endless.Heads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			addr := endless.StartServer(t, response[0], response[1])
			loads, engines := newLoadFetcher(), newEngineClient()
			loadRead := endless.CountReads(loads.client.Transport.(*http.Transport))
			engineRead := endless.CountReads(engines.Client.Transport.(*http.Transport))
			_, _, err := loads.FetchLoad(t.Context(), backend.NewServer(backend.Info{ID: "engine", Addr: addr}))
			c.Check(err, qt.IsNotNil)
			c.Check(loadRead.Load() <= endless.MaxHeaderRead, qt.IsTrue, qt.Commentf("load: read %d bytes", loadRead.Load()))
			_, err = engines.Report(t.Context(), backend.Info{ID: "engine", Addr: addr})
			c.Check(err, qt.IsNotNil)
			c.Check(engineRead.Load() <= endless.MaxHeaderRead, qt.IsTrue, qt.Commentf("report: read %d bytes", engineRead.Load()))
		})
	}
}
