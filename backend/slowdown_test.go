package backend

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSlowSpellTeachesNoSlowServer guards against a server that counts as slow long
// after its machine was busy for a moment: prompts measured meanwhile lowered the
// learned prefill rate, raised the base latency and made the server an outlier.
func TestSlowSpellTeachesNoSlowServer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const baseLatency, rate, slow = 25 * time.Millisecond, 28000.0, 2.5
	server := NewServer(Info{ID: "i-1", State: StateLive})
	now := time.Unix(1000, 0)
	measure := func(tokens int, before, after Slowdown) {
		now = now.Add(time.Second)
		server.RecordSlowdown(SlowdownReport{before, now})
		attempt := server.StartAttempt(now, Job{UncachedTokens: tokens, UncachedExact: true})
		usual := baseLatency + time.Duration(float64(tokens)/rate*float64(time.Second))
		now = now.Add(time.Duration(float64(usual) * float64(max(before, after))))
		server.RecordSlowdown(SlowdownReport{after, now})
		attempt.FirstToken(now)
		attempt.End(now, true)
	}
	check := func(when string) {
		c.Check(server.PrefillRate() > 0.9*rate && server.PrefillRate() < 1.1*rate, qt.IsTrue, qt.Commentf("%s: %.0f tokens/s", when, server.PrefillRate()))
		c.Check(server.BaseLatency() > baseLatency*9/10 && server.BaseLatency() < baseLatency*11/10, qt.IsTrue, qt.Commentf("%s: %v", when, server.BaseLatency()))
	}
	for range 40 {
		measure(300, 1, 1)
		measure(9000, 1, 1)
	}
	check("usual")
	latency, _ := server.Health().Latency()
	for range 40 {
		measure(300, slow, slow)
		measure(9000, slow, slow)
	}
	check("slow throughout")
	for range 40 {
		measure(300, 1, slow)
		measure(9000, slow, 1)
	}
	check("slow for a part")
	slowLatency, _ := server.Health().Latency()
	c.Check(slowLatency < latency*11/10, qt.IsTrue, qt.Commentf("latency of outlier detection %v, usually %v", slowLatency, latency))
}

// TestDelayFollowsAgeAndWork checks the bounds of the expected delay: none without a
// report, that of the whole work at a fresh report, less at an old one, and never more
// than the time that a slowdown lasts.
func TestDelayFollowsAgeAndWork(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1000, 0)
	server := NewServer(Info{ID: "i-1"})
	c.Check(server.Delay(now, time.Second), qt.Equals, time.Duration(0))
	server.RecordSlowdown(SlowdownReport{2.5, now})
	short := server.Delay(now, time.Millisecond)
	c.Check(short > 1400*time.Microsecond && short <= 1500*time.Microsecond, qt.IsTrue, qt.Commentf("%v", short))
	c.Check(server.Delay(now, time.Minute) <= slowdownLifetime*6/10, qt.IsTrue)
	previous := time.Duration(math.MaxInt64)
	for age := time.Duration(0); age < 3*time.Second; age += 100 * time.Millisecond {
		delay := server.Delay(now.Add(age), 100*time.Millisecond)
		c.Check(delay >= 0 && delay < previous, qt.IsTrue, qt.Commentf("age %v: %v", age, delay))
		previous = delay
	}
	c.Check(previous < time.Millisecond, qt.IsTrue, qt.Commentf("%v", previous))
	c.Check(server.Delay(now.Add(-time.Second), time.Millisecond), qt.Equals, short, qt.Commentf("a report from the future counts as fresh"))

	server.RecordSlowdown(SlowdownReport{0.5, now.Add(time.Second)})
	faster := server.Delay(now.Add(time.Second), 100*time.Millisecond)
	c.Check(faster < 0 && faster >= -50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", faster))
}

// TestNewestSlowdownCounts guards against an older report, received late through
// another instance, that replaces a newer one, and against an absent value that counts
// as one.
func TestNewestSlowdownCounts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Unix(1000, 0)
	server := NewServer(Info{ID: "i-1"})
	server.SetLoad(Load{Slots: 8, Slowdown: 2.5, ReceivedAt: now})
	server.RecordSlowdown(SlowdownReport{1, now.Add(-time.Second)})
	c.Check(server.LastSlowdown(), qt.Equals, SlowdownReport{2.5, now})
	server.SetLoad(Load{Slots: 8, ReceivedAt: now.Add(time.Second)})
	c.Check(server.LastSlowdown(), qt.Equals, SlowdownReport{2.5, now})
	server.RecordSlowdown(SlowdownReport{1, now.Add(time.Second)})
	c.Check(server.LastSlowdown(), qt.Equals, SlowdownReport{1, now.Add(time.Second)})
}

// TestDelayIsNeverMoreThanTheWork guards against a faulty server that reports to be
// infinitely fast: its cost would be the least, and all requests would go to it.
func TestDelayIsNeverMoreThanTheWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		slowdown := Slowdown(rapid.Float64Min(0).Draw(t, "slowdown"))
		work := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "work"))
		if slowdown.Validate() != nil {
			return
		}
		now := time.Unix(1000, 0)
		server := NewServer(Info{ID: "i-1"})
		server.RecordSlowdown(SlowdownReport{slowdown, now})
		delay := server.Delay(now, work)
		if delay < -work || delay > time.Duration(float64(MaxSlowdown)*float64(slowdownLifetime)) {
			t.Fatalf("slowdown %g, work %v: delay %v", slowdown, work, delay)
		}
	})
	server := NewServer(Info{ID: "i-1"})
	now := time.Unix(1000, 0)
	server.RecordSlowdown(SlowdownReport{MinSlowdown, now})
	qt.Check(t, server.Delay(now, time.Second) >= -time.Second, qt.IsTrue)
}
