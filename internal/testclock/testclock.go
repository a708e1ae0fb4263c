// Package testclock gives tests points in time as a process reads them after a step of
// the time of day.
package testclock

import (
	"fmt"
	"time"
	"unsafe"
)

// Bits of the first word of a time.Time with a monotonic reading.
const (
	hasMonotonic = 1 << 63
	secondShift  = 30
)

// StepTimeOfDay returns t as time.Now would have returned it if the time of day had been
// stepped by a number of whole seconds before: the monotonic reading stays. It panics if
// t has no monotonic reading, or if time.Time is not laid out as it knows.
func StepTimeOfDay(t time.Time, step time.Duration) time.Time {
	stepped := t
	word := (*uint64)(unsafe.Pointer(&stepped))
	if *word&hasMonotonic == 0 {
		panic(fmt.Sprintf("testclock: %v has no monotonic reading", t))
	}
	*word += uint64(int64(step/time.Second)) << secondShift
	if stepped.Sub(t) != 0 || stepped.UnixNano()-t.UnixNano() != int64(step.Truncate(time.Second)) {
		panic(fmt.Sprintf("testclock: step of %v makes %v of %v", step, stepped, t))
	}
	return stepped
}
