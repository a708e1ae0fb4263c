package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

func testService() *catalog.Service {
	s := &catalog.Service{Name: "drafting-desk", Kind: catalog.Model}
	s.Ranks[catalog.Urgent] = catalog.RankPolicy{Target: urgentTarget, Deadline: 30 * time.Second, MinShare: urgentShare}
	s.Ranks[catalog.Batch] = catalog.RankPolicy{Target: batchTarget, Deadline: 10 * time.Minute, MinShare: batchShare}
	return s
}

// checkEmpty checks that no request waits or runs, and that no caller is counted.
func (q *Queue) checkEmpty(c *qt.C, service *catalog.Service) {
	stats := q.StatsOf(service)
	c.Check(stats.Running, qt.Equals, 0)
	for _, rank := range stats.Ranks {
		rank.Demand = 0 // a moving average, which does not drop to 0 at once
		c.Check(rank, qt.Equals, RankStats{})
	}
}

// TestConcurrentCancellation cancels many requests at different times, some at
// the instant at which they get a slot. Neither an entry nor a slot may leak.
func TestConcurrentCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(DefaultBounds(), 1)
		service := testService()
		const slots = 5
		q.SetCapacity(service, Capacity{Slots: slots, Fraction: 1, Members: 1})
		var running, maxRunning atomic.Int64
		var group sync.WaitGroup
		for i := range 2000 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%50)*time.Millisecond)
				defer cancel()
				ticket, refusal := q.Acquire(ctx, service, Request{
					Caller: string(rune('a' + i%20)), Rank: catalog.Rank(i % 2), Tokens: 10, Bytes: 100, StartBy: time.Now().Add(time.Second),
				})
				if refusal != nil {
					return
				}
				now := running.Add(1)
				for old := maxRunning.Load(); now > old && !maxRunning.CompareAndSwap(old, now); old = maxRunning.Load() {
				}
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				ticket.Release(10)
			})
		}
		group.Wait()
		c.Check(maxRunning.Load(), qt.Equals, int64(slots))
		q.checkEmpty(c, service)
	})
}

func TestWaitingRequestIsRefusedAfterStartBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(DefaultBounds(), 1)
		service := testService()
		q.SetCapacity(service, Capacity{Slots: 1, Fraction: 1, Members: 1})
		ticket, refusal := q.Acquire(t.Context(), service, Request{Caller: "a", StartBy: time.Now().Add(time.Second)})
		c.Assert(refusal, qt.IsNil)
		began := time.Now()
		_, refusal = q.Acquire(t.Context(), service, Request{Caller: "b", StartBy: began.Add(urgentTarget)})
		c.Assert(refusal, qt.IsNotNil)
		c.Check(refusal.Reason, qt.Equals, ReasonExpired)
		c.Check(time.Since(began) <= urgentTarget+10*time.Millisecond, qt.IsTrue)
		ticket.Release(1)
		q.checkEmpty(c, service)
	})
}

func TestRestoredCapacityStartsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(DefaultBounds(), 1)
		service := testService()
		began := time.Now()
		time.AfterFunc(time.Second, func() { q.SetCapacity(service, Capacity{Slots: 1, Fraction: 1, Members: 1}) })
		ticket, refusal := q.Acquire(t.Context(), service, Request{Caller: "a", StartBy: began.Add(urgentTarget)})
		c.Assert(refusal, qt.IsNil)
		c.Check(ticket.Queued, qt.IsTrue)
		c.Check(ticket.Wait, qt.Equals, time.Second)
		ticket.Release(1)
	})
}
