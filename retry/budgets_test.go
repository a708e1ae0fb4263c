package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestInstancesOutOfSightKeepTheirShare guards against instances that take the parts of
// others whom they merely cannot see: during an outage of the store, each side of a
// partition counts the other as gone, and both together would have the burst twice.
func TestInstancesOutOfSightKeepTheirShare(t *testing.T) {
	c := qt.New(t)
	b := NewBudgets(0.2, 50)
	share := func() float64 { return b.Of("orders").Burst }
	c.Assert(share(), qt.Equals, unknownShare)
	now := start
	b.SetInstances(now, 10, true)
	c.Assert(share(), qt.Equals, 5.0)
	for range 100 {
		now = now.Add(time.Second)
		b.SetInstances(now, 2, false)
		c.Assert(share(), qt.Equals, 5.0)
	}
	// The store is back: the instances count as gone after departureDelay.
	b.SetInstances(now, 2, true)
	now = now.Add(departureDelay / 2)
	b.SetInstances(now, 4, true)
	c.Assert(share(), qt.Equals, 5.0)
	now = now.Add(departureDelay / 2)
	b.SetInstances(now, 2, true)
	c.Assert(share(), qt.Equals, 50.0/4)
	// Further instances count at once.
	b.SetInstances(now, 25, true)
	c.Assert(share(), qt.Equals, 2.0)
}

// TestRestartDoesNotRenewRetries guards against retries beyond the common burst when
// instances are restarted one after the other: each new process would have the part that
// its predecessor has used.
func TestRestartDoesNotRenewRetries(t *testing.T) {
	c := qt.New(t)
	const (
		restarts = 20
		requests = 10
	)
	retries := 0
	for range restarts {
		policy := &Policy{Budgets: NewBudgets(0.2, 50)}
		policy.Budgets.SetInstances(start, 10, true)
		for range requests {
			policy.RecordFirstAttempt(start, "orders")
			for policy.TakeRetry(start, "orders") {
				retries++
			}
		}
	}
	c.Assert(retries <= 50/10+restarts*requests/5, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(retries >= restarts*(requests/5-1), qt.IsTrue, qt.Commentf("%d retries", retries))
}
