package telemetry

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// newTestObserver returns an observer and the buffer that its log lines are written to.
func newTestObserver(c *qt.C) (*Observer, *bytes.Buffer) {
	metrics, err := NewMetrics()
	c.Assert(err, qt.IsNil)
	out := &bytes.Buffer{}
	return &Observer{Log: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}, Metrics: metrics}, out
}

// TestLengthOfStreamIsLogged guards against streams whose length, progress and time left
// cannot be told from the log.
func TestLengthOfStreamIsLogged(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	x := &filters.Exchange{
		ID: "request-1", Service: &catalog.Service{Name: "drafting-desk"}, Snapshot: &catalog.Snapshot{}, Stream: true,
		Received: time.Now(), Deadline: time.Now().Add(time.Minute), MaxOutputTokens: 954, OutputTokensHint: 280,
	}
	o.RouteDecided(x, 1, routing.Decision{ColdFor: 2 * time.Second, LimitRate: 1.5, ListAge: 3 * time.Second})
	x.EventsSent = 38
	o.Begin(x)(nil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Check(lines[0], qt.Contains, `"cold":2000,"limit_rate":1.5,"list_age":3000`)
	for n, want := range []string{`"events":0`, `"events":38`} {
		c.Check(lines[n], qt.Contains, want)
		c.Check(lines[n], qt.Contains, `"output_tokens":954,"output_hint":280`)
		c.Check(lines[n], qt.Matches, `.*"remaining":59\d\d\d\b.*`)
	}
}

// TestDecisionsAreReported checks that each decision and failed attempt writes
// one log line, that decisions are counted in the metrics, and that no log line
// contains content of the request.
func TestDecisionsAreReported(t *testing.T) {
	c := qt.New(t)
	o, out := newTestObserver(c)
	x := &filters.Exchange{
		ID: "request-1", Caller: "nile-press", Service: &catalog.Service{Name: "drafting-desk"},
		Work: catalog.Work{Name: "grade-enquiry"}, Snapshot: &catalog.Snapshot{Revision: 7}, Body: []byte("secret grade"),
	}
	server := backend.NewServer(backend.Info{ID: "engine-3", Service: "drafting-desk"})
	decision := routing.Decision{Server: server, Reason: routing.ReasonPrefix, Candidates: 9, Cost: 250 * time.Millisecond, CachedTokens: 64, Spill: routing.SpillTargetMet}
	o.RouteDecided(x, 1, decision)
	o.AttemptEnded(x, 1, decision, outcome.MayHaveRun, errors.New("connection reset"))
	o.RetryDecided(x, 1, retry.Verdict{Reason: retry.ReasonBudget})
	o.SuspectState(x, quarantine.Key("key").Digest("drafting-desk", "/", x.Body), quarantine.Suspect, server.ID)
	o.ResponseDiscarded(x, server, dispatch.DiscardedResponse{Status: http.StatusServiceUnavailable, Refused: true, Elapsed: time.Millisecond})
	o.EjectionChanged(routing.Ejection{Server: server, Cause: routing.CauseSlow, ProbeAt: time.Now()})

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 6)
	for _, want := range []string{
		`"event":"route"`, `"reason":"prefix_cached"`, `"server":"engine-3"`, `"candidates":9`, `"cached_tokens":64`,
		`"spill":"local_target_met"`, `"event":"retry"`, `"reason":"budget"`, `"event":"suspect"`, `"state":"suspect"`,
		`"event":"response_discarded"`, `"refusal":true`, `"first_on_connection":false`, `"event":"eject"`, `"cause":"slow"`,
	} {
		c.Assert(out.String(), qt.Contains, want)
	}
	c.Assert(out.String(), qt.Not(qt.Contains), "secret")
	page := httptest.NewRecorder()
	o.Metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		"fuchsia_routing_decisions_total", "fuchsia_routing_cost_seconds", "fuchsia_retries_total",
		`fuchsia_responses_discarded_total{refusal="true",service="drafting-desk"} 1`, "fuchsia_ejections_total", "fuchsia_suspects_total", `reason="prefix_cached"`, `state="suspect"`,
	} {
		c.Assert(page.Body.String(), qt.Contains, want)
	}
}
