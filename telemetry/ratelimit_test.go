package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestServerLimitsAreReported guards against a server that receives few requests without
// a line that tells of its limit, and from where the instance knows it.
func TestServerLimitsAreReported(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	registry := backend.NewRegistry()
	registry.Replace([]backend.Info{{ID: "engine-3", Service: "drafting-desk", Started: 7}})
	server := registry.Servers("drafting-desk")[0]
	start := time.Now()
	for k, report := range []backend.RateLimitReport{{Rate: 1.5}, {Rate: 1.5}, {Rate: 2, Relayed: true}, {}, {}} {
		report.ReceivedAt = start.Add(time.Duration(k-5) * time.Second)
		server.RecordRateLimit(report)
		registry.RateLimitChanges(o.ServerLimitChanged)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 3)
	for i, wants := range [][]string{
		{`"event":"server_limit"`, `"server":"engine-3"`, `"service":"drafting-desk"`, `"started":7`, `"change":"began"`, `"rate":1.5`, `"previous":0`, `"relayed":false`, `"since":5`},
		{`"event":"server_limit"`, `"change":"changed"`, `"rate":2`, `"previous":1.5`, `"relayed":true`, `"since":3`},
		{`"event":"server_limit"`, `"change":"ended"`, `"rate":0`, `"previous":2`, `"relayed":false`, `"since":2`},
	} {
		for _, want := range wants {
			c.Check(lines[i], qt.Contains, want)
		}
	}
	page := httptest.NewRecorder()
	o.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, change := range []string{"began", "changed", "ended"} {
		c.Check(page.Body.String(), qt.Contains, `fuchsia_server_limit_changes_total{change="`+change+`",service="drafting-desk"} 1`)
	}
}
