package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/capacity"
)

// TestConcurrencyChangesAreReported guards against a server that receives fewer requests
// without a line that tells why.
func TestConcurrencyChangesAreReported(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	server := backend.NewServer(backend.Info{ID: "engine-3", Service: "drafting-desk", Started: 7})
	o.ServerConcurrencyChanged(backend.ConcurrencyChange{Server: server, Slots: 9, From: 16, Nominal: 16, Evidence: capacity.Evidence{Samples: 12, Misses: 3}})
	o.ServerConcurrencyChanged(backend.ConcurrencyChange{Server: server, Slots: 16, From: 9, Nominal: 16})
	for _, want := range []string{
		`"event":"server_concurrency","server":"engine-3","service":"drafting-desk","started":7,"change":"lowered","slots":9,"previous":16,"nominal":16,"relayed":false,"samples":12,"late":3`,
		`"change":"raised","slots":16,"previous":9`,
	} {
		c.Check(out.String(), qt.Contains, want)
	}
	page := httptest.NewRecorder()
	o.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, change := range []string{"lowered", "raised"} {
		c.Check(page.Body.String(), qt.Contains, `fuchsia_server_concurrency_changes_total{change="`+change+`",service="drafting-desk"} 1`)
	}
}
