package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// TestIgnoredHeadersAreLoggedAtBoundedRate guards against a log that is flooded by a
// server with a faulty header in each of its responses. The counter counts them all.
func TestIgnoredHeadersAreLoggedAtBoundedRate(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	synctest.Test(t, func(*testing.T) {
		server := backend.NewServer(backend.Info{ID: "engine-3", Service: "drafting-desk", Started: 7})
		for range 250 {
			o.HeaderIgnored(&filters.Exchange{ID: "request-1"}, server, &check.FieldError{Field: "Retry-After", Value: "soon", Cause: check.ErrUnknown})
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 3)
		for _, want := range []string{
			`"event":"header_ignored"`, `"server":"engine-3"`, `"started":7`, `"request_id":"request-1"`, `Retry-After`, `soon`,
			`"suppressed":0`, `"suppressed":99`,
		} {
			c.Assert(out.String(), qt.Contains, want)
		}
	})
	page := httptest.NewRecorder()
	o.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(page.Body.String(), qt.Contains, `fuchsia_ignored_headers_total{header="Retry-After",service="drafting-desk"} 250`)
}

// TestWithdrawalsAreReported guards against a server that receives no requests without
// a line that tells why and until when.
func TestWithdrawalsAreReported(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	server := backend.NewServer(backend.Info{ID: "engine-3", Service: "drafting-desk", State: backend.StateLive, Started: 7})
	x := &filters.Exchange{ID: "request-1"}
	o.ServerWithdrew(x, server, dispatch.Withdrawal{Cause: dispatch.CauseLeaving, Status: http.StatusOK, Elapsed: 20 * time.Millisecond})
	until := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	o.ServerWithdrew(x, server, dispatch.Withdrawal{
		Cause: dispatch.CausePause, Status: http.StatusServiceUnavailable, Refused: true, Asked: 2 * time.Second, Until: until,
	})
	o.ServerResumed(server, 100*time.Millisecond)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 3)
	for i, wants := range [][]string{
		{`"event":"server_withdrew"`, `"server":"engine-3"`, `"started":7`, `"request_id":"request-1"`, `"cause":"leaving"`, `"status":200`, `"elapsed":20`},
		{`"event":"server_withdrew"`, `"cause":"pause"`, `"status":503`, `"refusal":true`, `"asked":2000`, `"until":"2026-12-05T06:00:00`},
		{`"event":"server_resumed"`, `"server":"engine-3"`, `"accepts":true`, `"since":100`},
	} {
		for _, want := range wants {
			c.Check(lines[i], qt.Contains, want)
		}
	}
	page := httptest.NewRecorder()
	o.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`fuchsia_server_withdrawals_total{cause="leaving",service="drafting-desk"} 1`,
		`fuchsia_server_withdrawals_total{cause="pause",service="drafting-desk"} 1`,
		`fuchsia_servers_resumed_total{service="drafting-desk"} 1`,
	} {
		c.Check(page.Body.String(), qt.Contains, want)
	}
}
