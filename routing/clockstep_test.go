package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/internal/testclock"
)

// TestPrefixesAfterClockStep guards against placements of prompts that are forgotten, or
// outlive their removal, because the time of day has jumped in between.
func TestPrefixesAfterClockStep(t *testing.T) {
	const server, digest = 7, 5
	holds := func(x *PrefixIndex, now time.Time) bool {
		return x.appendHolders(now, []uint64{digest}, 1, nil)
	}
	for _, step := range []time.Duration{5 * time.Hour, -5 * time.Hour} {
		x, now := NewPrefixIndex(0), time.Now()
		comment := qt.Commentf("step %v", step)
		stepped := func(after time.Duration) time.Time { return testclock.StepTimeOfDay(now.Add(after), step) }
		x.Add(now, server, []uint64{digest})
		qt.Check(t, holds(x, stepped(time.Second)), qt.IsTrue, comment)
		x.Remove(stepped(2*time.Second), server, []uint64{digest})
		qt.Check(t, holds(x, now.Add(3*time.Second)), qt.IsFalse, comment)
		x.Add(stepped(4*time.Second), server, []uint64{digest})
		x.Clear(now.Add(3*time.Second), server)
		qt.Check(t, holds(x, now.Add(5*time.Second)), qt.IsTrue, comment)
		x.Clear(now.Add(6*time.Second), server)
		qt.Check(t, holds(x, stepped(7*time.Second)), qt.IsFalse, comment)

		x.addPrompt(now.Add(8*time.Second), server, nil, []uint64{digest})
		x.addPrompt(stepped(8*time.Second+republishInterval/2), server, nil, []uint64{digest})
		_, published := x.PlacementsSince(0)
		qt.Check(t, published, qt.Equals, uint64(1), comment)
		x.addPrompt(stepped(8*time.Second+republishInterval), server, nil, []uint64{digest})
		_, published = x.PlacementsSince(0)
		qt.Check(t, published, qt.Equals, uint64(2), comment)
	}
}
