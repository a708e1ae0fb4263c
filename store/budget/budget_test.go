package budget_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/budget"
)

// fakeStore is a store that counts calls per second and can simulate an outage.
// Only Get and Txn are implemented.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	down    bool
	reads   map[int64]int // by second of virtual time
	writes  map[int64]int
	value   []byte
	latency time.Duration
}

func newFakeStore() *fakeStore {
	return &fakeStore{reads: make(map[int64]int), writes: make(map[int64]int), latency: 5 * time.Millisecond}
}

func (s *fakeStore) call(calls map[int64]int) error {
	s.mu.Lock()
	calls[time.Now().Unix()]++
	down, latency := s.down, s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	if down {
		return &store.Error{Op: "call", Effect: store.MayBeApplied, Cause: store.ErrUnavailable}
	}
	return nil
}

func (s *fakeStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	value := s.value
	s.mu.Unlock()
	return store.Entry{Value: value}, s.call(s.reads)
}

func (s *fakeStore) Txn(_ context.Context, ops []store.Op) error {
	s.mu.Lock()
	s.value = ops[0].Value
	s.mu.Unlock()
	return s.call(s.writes)
}

func (s *fakeStore) setLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// callRate returns the largest number of calls within one second since start, and
// the total since start.
func (s *fakeStore) callRate(calls map[int64]int, start time.Time) (most, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for second := start.Unix(); second <= time.Now().Unix(); second++ {
		most = max(most, calls[second])
		total += calls[second]
	}
	return most, total
}

// runCallers starts goroutines that repeat a call until ctx ends: after 50 ms if
// it failed, after a second if it succeeded.
func runCallers(ctx context.Context, callers int, call func(context.Context) error) {
	for range callers {
		go func() {
			for ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				pause := time.Second
				if call(callCtx) != nil {
					pause = 50 * time.Millisecond
				}
				cancel()
				time.Sleep(pause)
			}
		}()
	}
}

// TestNoStampedeAfterOutage checks that 50 instances with 10 callers each stay
// within the limits during and after an outage, and use them again afterwards.
func TestNoStampedeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const instances = 50
		limits := budget.Limits{Reads: 400, Watches: 100, Writes: 100, Leases: 50}
		s := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		for range instances {
			limited := budget.New(s, limits, func() int { return instances })
			runCallers(ctx, 5, func(ctx context.Context) error {
				return limited.Txn(ctx, []store.Op{{Key: "k"}})
			})
			runCallers(ctx, 5, func(ctx context.Context) error {
				_, err := limited.Get(ctx, "k")
				return err
			})
		}
		time.Sleep(10 * time.Second)
		s.setDown(true)
		time.Sleep(10 * time.Second)
		measureStart := time.Now()
		time.Sleep(20 * time.Second)
		reads, _ := s.callRate(s.reads, measureStart)
		writes, _ := s.callRate(s.writes, measureStart)
		t.Logf("during the outage: at most %d reads and %d writes in one second", reads, writes)
		c.Check(reads+writes <= 100, qt.IsTrue)

		s.setDown(false)
		outageEnd := time.Now()
		time.Sleep(5 * time.Second)
		firstReads, _ := s.callRate(s.reads, outageEnd)
		c.Check(float64(firstReads) <= limits.Reads, qt.IsTrue, qt.Commentf("%d reads in one second after the outage", firstReads))
		time.Sleep(10 * time.Second)
		reads, _ = s.callRate(s.reads, outageEnd)
		writes, total := s.callRate(s.writes, outageEnd)
		t.Logf("after the outage: at most %d reads and %d writes in one second", reads, writes)
		c.Check(float64(reads) <= limits.Reads, qt.IsTrue)
		c.Check(float64(writes) <= limits.Writes*1.1, qt.IsTrue)
		c.Check(float64(total) > 10*limits.Writes, qt.IsTrue, qt.Commentf("%d writes in the 15 s after the outage", total))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestErrorEffects checks that the Effect of a failed write is passed on, and that
// writes rejected by the circuit breaker or the rate limit have NotApplied.
func TestErrorEffects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		limited := budget.New(s, budget.DefaultLimits(), func() int { return 1 })
		write := func() error { return limited.Txn(t.Context(), []store.Op{{Key: "k"}}) }
		s.setDown(true)
		c.Assert(store.EffectOf(write()), qt.Equals, store.MayBeApplied)
		c.Assert(store.EffectOf(write()), qt.Equals, store.MayBeApplied)
		rejected := write()
		c.Assert(rejected, qt.ErrorIs, store.ErrUnavailable)
		c.Assert(store.EffectOf(rejected), qt.Equals, store.NotApplied)

		slow := budget.New(newFakeStore(), budget.Limits{Reads: 1, Watches: 1, Writes: 1, Leases: 1}, func() int { return 100 })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for range 5 {
			err = slow.Txn(ctx, []store.Op{{Key: "k"}})
		}
		c.Assert(err, qt.ErrorIs, store.ErrThrottled)
		c.Assert(store.EffectOf(err), qt.Equals, store.NotApplied)
	})
}

// TestSharedReadsSeeEarlierWrites checks that identical reads are shared, except
// with a read that started before a write that the caller has observed.
func TestSharedReadsSeeEarlierWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		limited := budget.New(s, budget.DefaultLimits(), func() int { return 1 })
		get := func() string {
			entry, err := limited.Get(t.Context(), "k")
			c.Check(err, qt.IsNil)
			return string(entry.Value)
		}
		var group sync.WaitGroup
		group.Go(func() { get() })
		synctest.Wait() // until the first read is in progress
		s.mu.Lock()
		s.value = []byte("new")
		s.mu.Unlock()
		for range 100 {
			group.Go(func() { c.Check(get(), qt.Equals, "new") })
		}
		group.Wait()
		_, total := s.callRate(s.reads, time.Now().Add(-time.Minute))
		c.Assert(total <= 3, qt.IsTrue, qt.Commentf("%d reads", total))
	})
}

// TestEarlierCallDoesNotAllowSecondProbe guards against probes beyond the one of an open
// circuit breaker: a call that was allowed before it opened, and was canceled while the
// probe ran, ended the probe as far as the breaker knew.
func TestEarlierCallDoesNotAllowSecondProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fake := newFakeStore()
		s := budget.New(fake, budget.DefaultLimits(), func() int { return 1 })
		ctx, cancel := context.WithCancel(t.Context())
		var calls sync.WaitGroup
		fake.setLatency(3 * time.Second)
		calls.Go(func() { _ = s.Txn(ctx, []store.Op{{Key: "a"}}) })
		synctest.Wait()

		fake.setDown(true)
		fake.setLatency(5 * time.Millisecond)
		for range 2 {
			_, _ = s.Get(t.Context(), "a")
		}
		time.Sleep(time.Second)
		fake.setLatency(time.Minute)
		calls.Go(func() { _, _ = s.Get(t.Context(), "probe") })
		synctest.Wait()
		c.Assert(s.Counts().CircuitOpen, qt.Equals, uint64(0))

		cancel()
		time.Sleep(3 * time.Second) // until the first call has ended
		_, err := s.Get(t.Context(), "second")
		c.Check(err, qt.ErrorMatches, ".*circuit breaker is open.*")
		c.Check(s.Counts().CircuitOpen, qt.Equals, uint64(1))
		calls.Wait()
	})
}
