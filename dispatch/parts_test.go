package dispatch

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

// withParts gives a request the parts of its prompt.
func withParts(parts ...quarantine.PartID) func(*filters.Exchange) {
	return func(x *filters.Exchange) { x.Parts = parts }
}

// recordCrashes records n crashes of other servers with the parts, 2 s apart.
func recordCrashes(p *quarantine.Parts, n int, parts ...quarantine.PartID) {
	for k := range n {
		p.RecordCrash(time.Now().Add(time.Duration(k-n-1)*2*time.Second), uint64(k), parts)
	}
}

// TestQuarantinedPartIsRefusedUnrun checks that a request with a quarantined part is
// refused before an attempt, as one that has not run, and that others are served.
func TestQuarantinedPartIsRefusedUnrun(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		all[0].Parts = &quarantine.Parts{}
		recordCrashes(all[0].Parts, 3, 7)
		_, err := all[0].send("bad", withParts(1, 7))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Outcome, qt.Equals, outcome.NotRun)
		c.Assert(err.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(err.Code, qt.Equals, outcome.CodeQuarantined)
		c.Assert(err.RetryAfter > 0, qt.IsTrue)
		_, err = all[0].send("good", withParts(1, 2))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(e.runs, qt.DeepEquals, map[string]int{"good": 1})
	})
}

// TestCrashIsCountedBeforeRetry guards against a retry of the request whose own crash
// has shown that a part of it crashes servers.
func TestCrashIsCountedBeforeRetry(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		all[0].Parts = &quarantine.Parts{}
		recordCrashes(all[0].Parts, 2, 7)
		_, err := all[0].send("poison", withParts(1, 7))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(e.crashCount, qt.Equals, 1)
	})
}

// TestServedPartIsSound checks that a served request clears its parts: crashes with
// them do not count.
func TestServedPartIsSound(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, _ *fakeEngines, all []*testInstance) {
		all[0].Parts = &quarantine.Parts{}
		recordCrashes(all[0].Parts, 2, 1)
		_, err := all[0].send("good", withParts(1, 2))
		c.Assert(err == nil, qt.IsTrue)
		recordCrashes(all[0].Parts, 5, 1, 2)
		_, _, refused := all[0].Parts.Refused(time.Now(), []quarantine.PartID{1, 2})
		c.Assert(refused, qt.IsFalse)
	})
}

// TestWholeRequestIsCountedByItself guards against a plain request that crashes one
// server after the other, unnoticed because it has no parts, and against the refusal of
// others like it.
func TestWholeRequestIsCountedByItself(t *testing.T) {
	inVirtualTime(t, 1, 8, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.mu.Lock() // propagateState reads Quarantine
		all[0].Parts, all[0].Quarantine = &quarantine.Parts{}, nil
		e.mu.Unlock()
		for range 6 {
			_, err := all[0].send("poison", nonRepeatable)
			c.Assert(err != nil, qt.IsTrue)
			c.Assert(err.Outcome == outcome.NotRun, qt.Equals, err.Code == outcome.CodeQuarantined)
			time.Sleep(2 * time.Second)
		}
		c.Assert(e.crashCount, qt.Equals, 3)
		_, err := all[0].send("poison", nonRepeatable)
		c.Assert(err.RetryAfter > 5*time.Minute, qt.IsTrue, qt.Commentf("Retry-After %v", err.RetryAfter))
		_, err = all[0].send("sound", nonRepeatable)
		c.Assert(err == nil, qt.IsTrue)
	})
}
