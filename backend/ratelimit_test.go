package backend

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestNewestRateLimitCounts guards against a limit that is lost or comes back because of
// an older report, received late through another instance.
func TestNewestRateLimitCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		server := NewServer(Info{ID: "i-1"})
		var newest RateLimitReport
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				report := RateLimitReport{
					Rate:       rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "rate"),
					ReceivedAt: start.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond),
				}
				server.RecordRateLimit(report)
				if report.ReceivedAt.After(newest.ReceivedAt) {
					newest = report
				}
			},
			"": func(t *rapid.T) {
				rate, limited := server.RateLimit()
				report, changedAt := server.LastRateLimit()
				if rate != newest.Rate || limited != (newest.Rate > 0) || report != newest {
					t.Fatalf("limit %g, %t, last report %+v, newest %+v", rate, limited, report, newest)
				}
				if changedAt.After(newest.ReceivedAt) || limited && changedAt.IsZero() {
					t.Fatalf("changed at %v, newest report %+v", changedAt, newest)
				}
			},
		})
	})
}

// TestRateLimitBelongsToProcess guards against a limit that is forgotten with a change,
// or the loss, of the server's entry, and against one that its successor inherits.
func TestRateLimitBelongsToProcess(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry()
	info := Info{ID: "i-1", Service: "desk", Addr: "10.0.0.1:80", State: StateLive, Started: 7}
	registry.Replace([]Info{info})
	registry.Servers("desk")[0].RecordRateLimit(RateLimitReport{Rate: 1.5, ReceivedAt: time.Now()})
	limit := func() float64 {
		rate, _ := registry.Servers("desk")[0].RateLimit()
		return rate
	}
	info.Slots = 4
	registry.Replace([]Info{info})
	c.Check(limit(), qt.Equals, 1.5)
	registry.Replace(nil)
	registry.Replace([]Info{info})
	c.Check(limit(), qt.Equals, 1.5)
	info.Started = 8
	registry.Replace([]Info{info})
	c.Check(limit(), qt.Equals, 0.0)
}

// TestRateLimitChangesAreReportedOnce guards against a change of a limit without a log
// line, or with one for each response.
func TestRateLimitChangesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry()
	registry.Replace([]Info{{ID: "i-1", Service: "desk"}, {ID: "i-2", Service: "desk"}})
	server := registry.Servers("desk")[0]
	now := time.Now()
	changes := func() (rates [][2]float64) {
		registry.RateLimitChanges(func(change RateLimitChange) {
			c.Check(change.Server, qt.Equals, server)
			rates = append(rates, [2]float64{change.From, change.Report.Rate})
		})
		return rates
	}
	record := func(rate float64) {
		now = now.Add(time.Millisecond)
		server.RecordRateLimit(RateLimitReport{Rate: rate, ReceivedAt: now})
	}
	record(0)
	c.Check(changes(), qt.HasLen, 0)
	record(2)
	record(2)
	began := now.Add(-time.Millisecond)
	c.Check(changes(), qt.DeepEquals, [][2]float64{{0, 2}})
	c.Check(changes(), qt.HasLen, 0)
	_, changedAt := server.LastRateLimit()
	c.Check(changedAt, qt.Equals, began)
	record(3)
	c.Check(changes(), qt.DeepEquals, [][2]float64{{2, 3}})
	record(0)
	record(0)
	c.Check(changes(), qt.DeepEquals, [][2]float64{{3, 0}})
}

// TestRateLimitIsValidated guards against a rate from which no share can be computed.
func TestRateLimitIsValidated(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{0, MinRateLimit, 2.5, MaxRateLimit} {
		c.Check(RateLimitReport{Rate: rate}.Validate(), qt.IsNil, qt.Commentf("%g", rate))
	}
	for _, rate := range []float64{-1, MinRateLimit / 2, 2 * MaxRateLimit, math.NaN(), math.Inf(1), math.Inf(-1), math.SmallestNonzeroFloat64} {
		c.Check(RateLimitReport{Rate: rate}.Validate(), qt.IsNotNil, qt.Commentf("%g", rate))
	}
}
