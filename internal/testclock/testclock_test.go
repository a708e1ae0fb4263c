package testclock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStepTimeOfDay guards against tests of clock steps that step nothing, or that step
// the monotonic clock as well, for instance after a change of time.Time.
func TestStepTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, step := range []time.Duration{40 * time.Minute, -40 * time.Minute, 0} {
		stepped := StepTimeOfDay(now, step)
		qt.Check(t, stepped.Sub(now), qt.Equals, time.Duration(0))
		qt.Check(t, stepped.Round(0).Sub(now.Round(0)), qt.Equals, step)
		qt.Check(t, StepTimeOfDay(stepped, -step), qt.Equals, now)
	}
	qt.Check(t, func() { StepTimeOfDay(now.Round(0), time.Second) }, qt.PanicMatches, "testclock: .* has no monotonic reading")
}
