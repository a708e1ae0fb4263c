package telemetry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// TestOverLimitLogsWhatDecided guards against a refusal whose share of the limit
// cannot be read afterwards.
func TestOverLimitLogsWhatDecided(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	metrics, err := NewMetrics()
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	observer, err := NewAdmissionObserver(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, metrics)
	c.Assert(err, qt.IsNil)
	exceeded := &ratelimit.Refusal{
		Limit: ratelimit.Requests, RetryAfter: 2 * time.Second, Allowed: 12.5, Used: 12.25,
		Share: share.Share{Fraction: 0.25, HeldUnits: 4096, Members: 4, Bound: share.Settling}, ShareAge: 300 * time.Millisecond,
	}
	refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateLimited, "over the limit").WithRetryAfter(exceeded.RetryAfter)
	observer.OverLimit(&filters.Exchange{ID: "id-1"}, exceeded, refusal)
	line := out.String()
	c.Assert(strings.Count(line, "\n"), qt.Equals, 1)
	for _, want := range []string{
		`"event":"refused"`, `"request_id":"id-1"`, `"filter":"limit"`, `"reason":"requests_per_second"`, `"allowed":12.5`, `"used":12.25`,
		`"share":0.25`, `"units":4096`, `"members":4`, `"bound":"settling"`, `"share_age":300`, `"retry_after":2000`,
	} {
		c.Check(line, qt.Contains, want)
	}
	out.Reset()
	observer.ShareMember(&share.MemberChange{Kind: share.MemberForgotten, Topic: "limits", Instance: "entry-1", Members: 3, Departed: 1, Age: time.Second})
	for _, want := range []string{`"event":"share_member"`, `"topic":"limits"`, `"change":"forgotten"`, `"instance":"entry-1"`, `"members":3`, `"departed":1`, `"age":1000`} {
		c.Check(out.String(), qt.Contains, want)
	}
}
