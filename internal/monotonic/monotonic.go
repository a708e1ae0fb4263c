// Package monotonic keeps points in time as numbers that steps of the time of day do
// not move. time.Time.UnixNano reads the time of day, so that a number made with it
// must not be compared with a later one.
package monotonic

import (
	"math"
	"sync/atomic"
	"time"
)

// Time is a point in time on the monotonic clock of this process, in nanoseconds. Zero
// stands for no point in time. Times of other processes have no meaning here.
type Time int64

// offset makes the Times of all plausible dates positive, those before the start of the
// process and those of synthetic clocks without a monotonic reading among them.
const offset = math.MaxInt64 / 2

var start = time.Now()

// Of returns the Time of t, which comes from time.Now or is derived from such a value by
// Add. A t without a monotonic reading is taken by its time of day. Dates more than 146
// years from the start of the process become the least or the largest Time.
func Of(t time.Time) Time {
	elapsed := Time(t.Sub(start))
	if elapsed > math.MaxInt64-offset {
		return math.MaxInt64
	}
	return max(elapsed+offset, 1)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Since returns the duration from t to now, or the longest duration if t is zero.
func (t Time) Since(now time.Time) time.Duration {
	if t == 0 {
		return math.MaxInt64
	}
	return Of(now).Sub(t)
}

// Atomic is a Time that is safe for concurrent use. Its zero value holds zero.
type Atomic struct{ value atomic.Int64 }

// Load returns the Time.
func (a *Atomic) Load() Time { return Time(a.value.Load()) }

// Store sets the Time.
func (a *Atomic) Store(t Time) { a.value.Store(int64(t)) }

// Swap sets the Time and returns the one before.
func (a *Atomic) Swap(t Time) (old Time) { return Time(a.value.Swap(int64(t))) }

// CompareAndSwap sets the Time to replacement if it is old, and reports whether it was.
func (a *Atomic) CompareAndSwap(old, replacement Time) bool {
	return a.value.CompareAndSwap(int64(old), int64(replacement))
}

// Raise sets the Time to t unless it is later already.
func (a *Atomic) Raise(t Time) {
	for {
		old := a.Load()
		if t <= old || a.CompareAndSwap(old, t) {
			return
		}
	}
}
