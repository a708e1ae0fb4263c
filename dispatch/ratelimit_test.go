package dispatch

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestRateLimitValues guards against a limit taken from a value that is none, and
// against one that such a value ends. It lists what each value results in.
func TestRateLimitValues(t *testing.T) {
	c := qt.New(t)
	const nothing = -1 // the response does not tell
	for _, test := range []struct {
		values  []string
		rate    float64
		ignored string
	}{
		{nil, 0, ""},
		{[]string{"2"}, 2, ""},
		{[]string{"1.25"}, 1.25, ""},
		{[]string{" 3. "}, 3, ""},
		{[]string{"0.001"}, 0.001, ""},
		{[]string{"1000000"}, 1e6, ""},
		{[]string{""}, nothing, `""`},
		{[]string{"."}, nothing, `"."`},
		{[]string{"0"}, nothing, `"0"`},
		{[]string{"0.0"}, nothing, `"0.0"`},
		{[]string{"0.0001"}, nothing, `"0.0001"`},
		{[]string{"-1"}, nothing, `"-1"`},
		{[]string{"+1"}, nothing, `"+1"`},
		{[]string{"1e3"}, nothing, `"1e3"`},
		{[]string{"0x10"}, nothing, `"0x10"`},
		{[]string{"NaN"}, nothing, `"NaN"`},
		{[]string{"Inf"}, nothing, `"Inf"`},
		{[]string{"many"}, nothing, `"many"`},
		{[]string{"1.2.3"}, nothing, `"1.2.3"`},
		{[]string{"1000001"}, nothing, `"1000001"`},
		{[]string{strings.Repeat("9", 40)}, nothing, `"` + strings.Repeat("9", 40) + `"`},
		{[]string{"1, 2"}, nothing, `"1, 2"`},
		{[]string{"1", "2"}, nothing, `"1, 2"`},
		{[]string{"1", ""}, nothing, `"1, "`},
	} {
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
			var info ResponseInfo
			info.ReadRateLimit(&http.Response{StatusCode: status, Header: http.Header{rateLimitHeader: test.values}}, rateLimitHeader)
			c.Check(ignoredValues(info), qt.Equals, test.ignored, qt.Commentf("%q", test.values))
			if test.rate == nothing {
				c.Check(info.RateLimit, qt.IsNil, qt.Commentf("%q", test.values))
				continue
			}
			c.Assert(info.RateLimit, qt.IsNotNil, qt.Commentf("%q", test.values))
			c.Check(info.RateLimit.Rate, qt.Equals, test.rate, qt.Commentf("%q", test.values))
			c.Check(info.RateLimit.ReceivedAt.IsZero(), qt.IsFalse)
		}
	}
	for _, text := range []string{strings.Repeat("9", 400), "0." + strings.Repeat("0", 400) + "1"} {
		rate, err := parseRateLimit([]string{text})
		c.Check(err, qt.IsNotNil, qt.Commentf("%.10s: %g", text, rate))
	}
}

// FuzzRateLimit guards against a rate outside of its bounds, whatever a server sends.
func FuzzRateLimit(f *testing.F) {
	for _, text := range []string{"1.5", "", "0", "-1", "1e300", "NaN", "1,2", " 7 "} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, err := parseRateLimit([]string{text})
		if err == nil && !(rate >= backend.MinRateLimit && rate <= backend.MaxRateLimit) {
			t.Fatalf("%q: rate %g", text, rate)
		}
	})
}

// TestResponsesSetRateLimit guards against a limit that is missed because the response
// is a refusal, a failure or too large, and against one that is set or ended by a
// response to an earlier request.
func TestResponsesSetRateLimit(t *testing.T) {
	const maxUnsent = 10
	c := qt.New(t)
	var respond http.HandlerFunc
	i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, r *http.Request) { respond(w, r) })
	server := i.registry.Servers("desk")[0]
	other := func(w http.ResponseWriter) { w.Header().Set("Fuchsia-Attempt", "another") }
	named := func(rate string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.Header().Set(rateLimitHeader, rate) }
	}
	status := func(code int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.WriteHeader(code) }
	}
	refused := func(w http.ResponseWriter) { w.Header().Set(refusedHeader, refusedBusy) }
	large := func(w http.ResponseWriter) { w.Header().Set("Content-Length", "1000000000000") }
	for _, step := range []struct {
		name  string
		parts []func(http.ResponseWriter)
		want  float64
	}{
		{"no limit", nil, 0},
		{"success", []func(http.ResponseWriter){named("2")}, 2},
		{"refusal", []func(http.ResponseWriter){named("3"), refused, status(http.StatusServiceUnavailable)}, 3},
		{"failure", []func(http.ResponseWriter){named("4"), status(http.StatusInternalServerError)}, 4},
		{"too large", []func(http.ResponseWriter){named("5"), large, status(http.StatusOK)}, 5},
		{"earlier request with a limit", []func(http.ResponseWriter){named("6"), other}, 5},
		{"earlier request without a limit", []func(http.ResponseWriter){other}, 5},
		{"bad value", []func(http.ResponseWriter){named("-7")}, 5},
		{"end", nil, 0},
	} {
		var responses atomic.Int32
		respond = func(w http.ResponseWriter, r *http.Request) {
			responses.Add(1)
			w.Header().Set("Fuchsia-Attempt", r.Header.Get("Fuchsia-Attempt"))
			for _, part := range step.parts {
				part(w)
			}
		}
		// A request on a connection that is just being closed after the response to an
		// earlier one does not reach the server.
		for range maxUnsent {
			if _, _ = i.send("order", deskService); responses.Load() > 0 {
				break
			}
		}
		c.Assert(responses.Load(), qt.Equals, int32(1), qt.Commentf(step.name))
		rate, limited := server.RateLimit()
		c.Check(rate, qt.Equals, step.want, qt.Commentf(step.name))
		c.Check(limited, qt.Equals, step.want > 0, qt.Commentf(step.name))
	}
	c.Assert(observer.ignored, qt.HasLen, 1)
	c.Check(observer.ignored[0].Error(), qt.Equals, `field Fuchsia-Rate-Limit: value "-7": is no single decimal number`)
}
