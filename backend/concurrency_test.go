package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// missTargets makes answers with that many requests on the server late, and those with a
// quarter of them early, for some seconds.
func missTargets(server *Server, now time.Time) time.Time {
	for k := range 400 {
		now = now.Add(10 * time.Millisecond)
		requests, elapsed := 16, 1500*time.Millisecond
		if k%2 == 0 {
			requests, elapsed = 4, 100*time.Millisecond
		}
		attempt := server.StartAttempt(now.Add(-elapsed), Job{Target: time.Second})
		server.SetLoad(Load{Running: requests, Slots: 16, ReceivedAt: now})
		attempt.Began(now)
		attempt.End(now, true)
	}
	return now
}

// TestConcurrencyBelongsToProcess guards against a new process that inherits what was
// learned of its predecessor, against a changed entry that loses it, and against learning
// that is not switched off.
func TestConcurrencyBelongsToProcess(t *testing.T) {
	c := qt.New(t)
	for _, learn := range []bool{true, false} {
		registry := NewRegistry()
		registry.LearnConcurrency = learn
		info := Info{ID: "i-1", Addr: "a:1", Service: "s", State: StateLive, Slots: 16, Started: 7}
		registry.Replace([]Info{info})
		now := missTargets(registry.Servers("s")[0], time.Now())
		var changes []ConcurrencyChange
		report := func(change ConcurrencyChange) { changes = append(changes, change) }
		registry.EvaluateConcurrency(now, report)
		registry.EvaluateConcurrency(now, report)
		slots := func() int { return registry.Servers("s")[0].GoodSlots(now) }
		if !learn {
			c.Check(slots(), qt.Equals, 16)
			c.Check(changes, qt.HasLen, 0)
			continue
		}
		lowered := slots()
		c.Check(lowered >= 1 && lowered <= 12, qt.IsTrue, qt.Commentf("%d slots", lowered))
		c.Assert(changes, qt.HasLen, 1)
		c.Check(changes[0].Slots, qt.Equals, lowered)
		c.Check(changes[0].From, qt.Equals, 16)
		info.Zone = "z"
		registry.Replace([]Info{info})
		c.Check(slots(), qt.Equals, lowered)
		info.Started = 8
		registry.Replace([]Info{info})
		c.Check(slots(), qt.Equals, 16)
	}
}

// TestSlowCallerIsNoEvidence guards against a server that is limited because callers read
// slowly: only the time in which the instance waits for the server counts.
func TestSlowCallerIsNoEvidence(t *testing.T) {
	registry := NewRegistry()
	registry.LearnConcurrency = true
	registry.Replace([]Info{{ID: "i-1", Service: "s", State: StateLive, Slots: 16}})
	server := registry.Servers("s")[0]
	for _, test := range []struct {
		waited time.Duration
		misses bool
	}{{time.Millisecond, false}, {500 * time.Millisecond, true}} {
		now := time.Now()
		server.SetLoad(Load{Running: 16, Slots: 16, ReceivedAt: now})
		attempt := server.StartAttempt(now, Job{MaxGap: 400 * time.Millisecond})
		attempt.Waited(now.Add(-time.Millisecond), now)
		now = now.Add(600 * time.Millisecond)
		attempt.Waited(now.Add(-test.waited), now)
		attempt.EventReceived(now)
		attempt.End(now, true)
		report, _ := server.Concurrency().Report(now, 16)
		qt.Check(t, report.Misses > 0, qt.Equals, test.misses, qt.Commentf("waited %v", test.waited))
	}
}
