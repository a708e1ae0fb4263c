// Package sim runs events in virtual time on one goroutine. Events at the same
// instant run in the order in which they were scheduled, so that a run with
// the same inputs always has the same result.
package sim

import (
	"container/heap"
	"time"
)

// epoch is the virtual wall-clock time at which every run starts.
var epoch = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

// Clock holds the virtual time and the queue of scheduled events. The zero value
// is ready for use.
type Clock struct {
	elapsed time.Duration
	order   uint64
	queue   eventQueue
}

// Elapsed returns the virtual time since the start of the run.
func (c *Clock) Elapsed() time.Duration { return c.elapsed }

// Now returns the virtual wall-clock time.
func (c *Clock) Now() time.Time { return epoch.Add(c.elapsed) }

// After schedules f to run once after the delay. A negative delay counts as zero.
func (c *Clock) After(delay time.Duration, f func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.elapsed + max(delay, 0), order: c.order, run: f})
}

// Every schedules f to run at each interval, first after one interval, until f
// returns false.
func (c *Clock) Every(interval time.Duration, f func() bool) {
	c.After(interval, func() {
		if f() {
			c.Every(interval, f)
		}
	})
}

// RunUntil runs the events scheduled up to and including end, the time since the
// start of the run, and then sets the virtual time to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		c.step()
	}
	c.elapsed = max(c.elapsed, end)
}

// RunWhile runs events as long as any are scheduled and more returns true.
func (c *Clock) RunWhile(more func() bool) {
	for len(c.queue) > 0 && more() {
		c.step()
	}
}

func (c *Clock) step() {
	e := heap.Pop(&c.queue).(event)
	c.elapsed = e.at
	e.run()
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*q = old[:last]
	return e
}
