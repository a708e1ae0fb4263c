package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// TestBaseLatencyAndPrefillRate sends short and long prompts one at a time to a
// server with a given base latency and prefill rate, and checks that both are
// estimated separately.
func TestBaseLatencyAndPrefillRate(t *testing.T) {
	c := qt.New(t)
	const baseLatency, rate = 25 * time.Millisecond, 28000.0
	server := NewServer(Info{ID: "i-1", State: StateLive})
	now := time.Unix(1000, 0)
	for i := range 200 {
		tokens := []int{300, 9000, 500, 4000}[i%4]
		attempt := server.StartAttempt(now, Job{UncachedTokens: tokens, UncachedExact: true})
		now = now.Add(baseLatency + time.Duration(float64(tokens)/rate*float64(time.Second)))
		attempt.FirstToken(now)
		attempt.End(now, true)
	}
	c.Assert(server.PrefillRate() > 0.9*rate && server.PrefillRate() < 1.1*rate, qt.IsTrue, qt.Commentf("%.0f tokens/s", server.PrefillRate()))
	c.Assert(server.BaseLatency() > baseLatency*8/10 && server.BaseLatency() < baseLatency*12/10, qt.IsTrue, qt.Commentf("%v", server.BaseLatency()))
}

// TestPeerPrefillIsPending checks that prompt tokens sent by other instances
// count as pending, and that a request behind them updates no estimate.
func TestPeerPrefillIsPending(t *testing.T) {
	c := qt.New(t)
	server := NewServer(Info{ID: "i-1", State: StateLive})
	server.SetPeerPrefill(catalog.Batch, 5000)
	now := time.Unix(1000, 0)
	attempt := server.StartAttempt(now, Job{Rank: catalog.Batch, UncachedTokens: 3000, UncachedExact: true})
	c.Assert(server.PendingPrefill(catalog.Batch), qt.Equals, 8000)
	c.Assert(server.LocalPrefill(catalog.Batch), qt.Equals, 3000)
	c.Assert(server.PendingPrefill(catalog.Urgent), qt.Equals, 0)
	attempt.FirstToken(now.Add(time.Second))
	c.Assert(server.PrefillRate(), qt.Equals, 0.0)
	c.Assert(server.PendingPrefill(catalog.Batch), qt.Equals, 5000)
}

// TestPrefillRateIgnoresCachedPrompts sends prompts that the server has partly
// cached without this instance's knowledge. The prefill rate must be estimated
// only from the prompts whose uncached tokens are known exactly.
func TestPrefillRateIgnoresCachedPrompts(t *testing.T) {
	c := qt.New(t)
	const rate = 28000.0
	server := NewServer(Info{ID: "i-1", State: StateLive})
	now := time.Unix(1000, 0)
	for i := range 100 {
		uncached, cached := 3000, 6000
		tokens, exact := uncached+cached, false // the server computes only the uncached tokens
		if i%5 == 1 {
			tokens, exact = uncached, true
		}
		attempt := server.StartAttempt(now, Job{UncachedTokens: tokens, UncachedExact: exact})
		now = now.Add(time.Duration(float64(uncached) / rate * float64(time.Second)))
		attempt.FirstToken(now)
		attempt.End(now, true)
	}
	c.Assert(server.PrefillRate() > 0.9*rate && server.PrefillRate() < 1.1*rate, qt.IsTrue, qt.Commentf("%.0f tokens/s", server.PrefillRate()))
}

// TestSingleRequestDoesNotStandForAllInstances guards against a server that seems full
// because one of many instances has a single request on it.
func TestSingleRequestDoesNotStandForAllInstances(t *testing.T) {
	c := qt.New(t)
	server := NewServer(Info{ID: "a"})
	now := time.Now()
	server.SetLoad(Load{Running: 4, Slots: 16, ReceivedAt: now})
	attempt := server.StartAttempt(now, Job{})
	c.Check(server.ExpectedRequests(32), qt.Equals, 5.0)
	attempt.End(now, true)
	for range 2 {
		server.StartAttempt(now, Job{})
	}
	server.SetLoad(Load{Running: 4, Slots: 16, ReceivedAt: now.Add(time.Hour)})
	server.StartAttempt(now, Job{})
	c.Check(server.ExpectedRequests(32) > 35, qt.IsTrue)
}
