package backend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/testclock"
)

// clockSteps are steps of the time of day: hours ahead and back.
var clockSteps = []time.Duration{40 * time.Minute, 5 * time.Hour, -40 * time.Minute, -5 * time.Hour}

// TestColdServerAfterClockStep guards against an instance that takes a cold server for
// warm, and overruns it, because its time of day has jumped ahead; and against one that
// keeps a warm server at the rate of a cold one for hours, because it has jumped back.
func TestColdServerAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		for name, set := range map[string]func(*backend.Server, time.Time){"set": (*backend.Server).SetCold, "extend": (*backend.Server).ExtendCold} {
			s, now := backend.NewServer(backend.Info{ID: "i-1"}), time.Now()
			comment := qt.Commentf("%s, step %v", name, step)
			stepped := func(after time.Duration) time.Time { return testclock.StepTimeOfDay(now.Add(after), step) }
			set(s, now.Add(3*time.Second))
			qt.Check(t, s.Cold(stepped(2900*time.Millisecond)), qt.IsTrue, comment)
			qt.Check(t, s.Cold(stepped(3100*time.Millisecond)), qt.IsFalse, comment)
			set(s, stepped(6*time.Second)) // set during the step, asked after it has ended
			qt.Check(t, s.Cold(now.Add(5900*time.Millisecond)), qt.IsTrue, comment)
			qt.Check(t, s.Cold(now.Add(6100*time.Millisecond)), qt.IsFalse, comment)
		}
	}
}

// TestEjectionAfterClockStep guards against an ejected server that is probed at once, or
// not for hours, and against a count of ejections that expires or stays for that.
func TestEjectionAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		h, now := backend.NewServer(backend.Info{ID: "i-1"}).Health(), time.Now()
		comment := qt.Commentf("step %v", step)
		stepped := func(after time.Duration) time.Time { return testclock.StepTimeOfDay(now.Add(after), step) }
		h.Eject(now.Add(time.Second))
		h.RecordEjection()
		qt.Check(t, h.ProbeDue(stepped(900*time.Millisecond)), qt.IsFalse, comment)
		qt.Check(t, h.ReserveProbe(stepped(900*time.Millisecond), now.Add(time.Minute)), qt.IsFalse, comment)
		qt.Check(t, h.ReserveProbe(stepped(1100*time.Millisecond), stepped(2*time.Second)), qt.IsTrue, comment)
		qt.Check(t, h.ProbeDue(now.Add(1900*time.Millisecond)), qt.IsFalse, comment)
		qt.Check(t, h.ProbeDue(now.Add(2100*time.Millisecond)), qt.IsTrue, comment)
		h.Restore(now.Add(3 * time.Second))
		h.ExpireEjectionCount(stepped(4*time.Second), 10*time.Second)
		qt.Check(t, h.ConsecutiveEjections(), qt.Equals, 1, comment)
		h.ExpireEjectionCount(stepped(14*time.Second), 10*time.Second)
		qt.Check(t, h.ConsecutiveEjections(), qt.Equals, 0, comment)
	}
}

// TestEstimatesAfterClockStep guards against estimates of a server that are thrown away,
// or used for hours, because the time of day has jumped.
func TestEstimatesAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		s, now := backend.NewServer(backend.Info{ID: "i-1"}), time.Now()
		comment := qt.Commentf("step %v", step)
		for _, tokens := range []int{2048, 16} {
			a := s.StartAttempt(now, backend.Job{UncachedTokens: tokens, UncachedExact: true})
			a.FirstToken(now.Add(time.Second))
			a.End(now.Add(time.Second), true)
		}
		stepped := testclock.StepTimeOfDay(now.Add(3*time.Second), step)
		qt.Check(t, s.PrefillRateAge(stepped), qt.Equals, 2*time.Second, comment)
		qt.Check(t, s.BaseLatencyAge(stepped), qt.Equals, 2*time.Second, comment)
	}
}
