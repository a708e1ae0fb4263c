package monotonic_test

import (
	"math"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
	"github.com/fuchsiastack/fuchsiastack/internal/testclock"
)

// TestStepOfTimeOfDay guards against a Time that moves with the time of day.
func TestStepOfTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, step := range []time.Duration{time.Second, 5 * time.Hour, -time.Second, -5 * time.Hour} {
		stepped := testclock.StepTimeOfDay(now, step)
		qt.Check(t, monotonic.Of(stepped), qt.Equals, monotonic.Of(now))
		later := testclock.StepTimeOfDay(now.Add(time.Minute), step)
		qt.Check(t, monotonic.Of(now).Since(later), qt.Equals, time.Minute)
		qt.Check(t, monotonic.Of(later).Sub(monotonic.Of(now)), qt.Equals, time.Minute)
	}
}

// TestOrderOfDates guards against dates far from the start of the process, and those of
// synthetic clocks, that come in another order as Times, or count as no point in time.
func TestOrderOfDates(t *testing.T) {
	now := time.Now()
	dates := []time.Time{
		{},
		time.Date(1970, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), now.Add(-time.Hour), now,
		now.Add(time.Nanosecond), now.Add(30 * 24 * time.Hour), time.Date(2150, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for k, date := range dates {
		at := monotonic.Of(date)
		qt.Check(t, at > 0, qt.IsTrue, qt.Commentf("%v: %d", date, at))
		if k > 0 {
			qt.Check(t, at > monotonic.Of(dates[k-1]), qt.IsTrue, qt.Commentf("%v after %v", date, dates[k-1]))
		}
	}
	qt.Check(t, monotonic.Time(0).Since(now), qt.Equals, time.Duration(math.MaxInt64))
}

// TestRaise guards against a later Time that is lost to an earlier one.
func TestRaise(t *testing.T) {
	var a monotonic.Atomic
	qt.Assert(t, a.Load(), qt.Equals, monotonic.Time(0))
	var group sync.WaitGroup
	const last = 1000
	for k := range monotonic.Time(last + 1) {
		group.Go(func() { a.Raise(k) })
	}
	group.Wait()
	qt.Assert(t, a.Load(), qt.Equals, monotonic.Time(last))
	qt.Assert(t, a.CompareAndSwap(5, 6), qt.IsFalse)
	qt.Assert(t, a.Swap(7), qt.Equals, monotonic.Time(last))
	a.Store(8)
	qt.Assert(t, a.CompareAndSwap(8, 9), qt.IsTrue)
	qt.Assert(t, a.Load(), qt.Equals, monotonic.Time(9))
}
