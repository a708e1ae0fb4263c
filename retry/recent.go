package retry

import "time"

// windowSlots is the number of parts of a window that are counted apart.
const windowSlots = 10

// recentAttempts counts the first attempts and the retries of the last window. The present
// slot is counted besides windowSlots full ones for retries, but as one of windowSlots for
// first attempts, so that neither rounds in favor of a retry.
type recentAttempts struct {
	window  time.Duration
	origin  time.Time // start of slot 0; zero: not used yet
	current int64     // slot
	first   [windowSlots + 1]int
	retries [windowSlots + 1]int
}

// advance clears the slots that have left the window, and returns the index of the present
// one.
func (r *recentAttempts) advance(now time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = now
	}
	slot := max(int64(now.Sub(r.origin)/(r.window/windowSlots)), r.current)
	for k := max(r.current+1, slot-windowSlots); k <= slot; k++ {
		r.first[k%(windowSlots+1)], r.retries[k%(windowSlots+1)] = 0, 0
	}
	r.current = slot
	return slot % (windowSlots + 1)
}

func (r *recentAttempts) recordFirst(now time.Time) { r.first[r.advance(now)]++ }

func (r *recentAttempts) recordRetry(now time.Time) { r.retries[r.advance(now)]++ }

// counts returns the first attempts and the retries of the last window.
func (r *recentAttempts) counts(now time.Time) (first, retries int) {
	oldest := (r.advance(now) + 1) % (windowSlots + 1)
	for k := range r.first {
		if int64(k) != oldest {
			first += r.first[k]
		}
		retries += r.retries[k]
	}
	return first, retries
}
