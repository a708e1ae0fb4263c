package outcome

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOutcomesSurviveTheWire guards against an outcome that a caller or another instance
// takes for a different one, above all for not-run.
func TestOutcomesSurviveTheWire(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	names := make(map[string]Outcome)
	for o := Unknown; o <= Duplicate; o++ {
		c.Check(Parse(o.String()), qt.Equals, o)
		names[o.String()] = o
	}
	c.Check(names, qt.HasLen, len(wireNames))
	for _, text := range []string{"", "Not-Run", "not-run ", "notrun", "outcome(2)"} {
		c.Check(Parse(text), qt.Equals, Unknown, qt.Commentf("%q", text))
	}
	c.Check((Duplicate + 1).String(), qt.Equals, "outcome(5)")
}

// TestErrorsStateTheirOutcome checks that only a refusal states that a request has not run,
// and what a caller receives of an error: all but its cause.
func TestErrorsStateTheirOutcome(t *testing.T) {
	t.Parallel()
	cause := errors.New("secret cause")
	for name, test := range map[string]struct {
		err        *Error
		status     int
		outcome    string
		kind       string
		retryAfter string
	}{
		"refused":            {Refuse(http.StatusServiceUnavailable, CodeOverloaded, "busy with %d", 3).WithRetryAfter(1200 * time.Millisecond), 503, "not-run", "server_error", "2"},
		"no resource":        {Refuse(http.StatusNotFound, CodeNotFound, "no path"), 404, "not-run", "invalid_request_error", ""},
		"method not allowed": {Refuse(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "no method"), 405, "not-run", "invalid_request_error", ""},
		"failed":             {Fail(CodeBackendFailed, cause, "failed"), 502, "may-have-run", "server_error", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := httptest.NewRecorder()
			test.err.Write(w, "id-1")
			c.Check(w.Code, qt.Equals, test.status)
			c.Check(w.Header().Get(Header), qt.Equals, test.outcome)
			c.Check(w.Header().Get(RequestIDHeader), qt.Equals, "id-1")
			c.Check(w.Header().Get("Retry-After"), qt.Equals, test.retryAfter)
			c.Check(w.Body.String(), qt.Not(qt.Contains), "secret")
			var body Body
			c.Assert(json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil)
			c.Check(body.Error, qt.Equals, BodyError{
				Message: test.err.Message, Type: test.kind, Code: test.err.Code, Outcome: test.outcome, RequestID: "id-1",
			})
		})
	}
	qt.Check(t, Fail(CodeBackendFailed, cause, "failed"), qt.ErrorIs, cause)
	qt.Check(t, Refuse(http.StatusServiceUnavailable, CodeOverloaded, "busy with %d", 3).Message, qt.Equals, "busy with 3")
}
