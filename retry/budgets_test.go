package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// window is that of the budgets in tests.
const window = 10 * time.Second

// TestInstancesOutOfSightKeepTheirShare guards against instances that take the parts of
// others whom they merely cannot see: during an outage of the store, each side of a
// partition counts the other as gone, and both together would have the burst twice.
func TestInstancesOutOfSightKeepTheirShare(t *testing.T) {
	c := qt.New(t)
	b := NewBudgets(0.2, 50, window)
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
	// The store is back: the instances count as gone after window.
	b.SetInstances(now, 2, true)
	now = now.Add(window / 2)
	b.SetInstances(now, 4, true)
	c.Assert(share(), qt.Equals, 5.0)
	now = now.Add(window / 2)
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
		policy := &Policy{Budgets: NewBudgets(0.2, 50, window)}
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

// TestFleetLargerThanBurst guards against a fleet that never retries: with more instances
// than the burst has retries, the part of each is less than one retry, and if an instance
// may keep no more, it never has a whole one. All instances together stay within the bound
// in each window.
func TestFleetLargerThanBurst(t *testing.T) {
	c := qt.New(t)
	const (
		instances = 195
		burst     = 54
		ratio     = 0.2
		seconds   = 40
	)
	random := rand.New(rand.NewPCG(1, 1))
	var policies []*Policy
	for range instances {
		policy := &Policy{Budgets: NewBudgets(ratio, burst, window)}
		policy.Budgets.SetInstances(start, instances, true)
		policies = append(policies, policy)
	}
	var first, retries [seconds]int // in each second
	for second := range seconds {
		for k, policy := range policies {
			// The load of each instance changes, and the servers fail for half of the time.
			failing := second >= seconds/2
			for request := range 1 + random.IntN(1+(second+k)%5) {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(request)*100*time.Millisecond)
				policy.RecordFirstAttempt(now, "orders")
				first[second]++
				if failing && policy.TakeRetry(now, "orders") {
					retries[second]++
				}
			}
		}
	}
	sum := func(counts []int) (total float64) {
		for _, count := range counts {
			total += float64(count)
		}
		return total
	}
	for from := range seconds - 9 {
		allowed := ratio*sum(first[from:from+10]) + burst
		got := sum(retries[from : from+10])
		c.Assert(got <= allowed, qt.IsTrue, qt.Commentf("from second %d: %v retries, %v allowed", from, got, allowed))
	}
	c.Assert(sum(retries[:]) > ratio*sum(first[seconds/2:])/2, qt.IsTrue, qt.Commentf("%v retries of %v failed requests", sum(retries[:]), sum(first[seconds/2:])))
}
