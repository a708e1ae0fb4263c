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

// service is a store that counts calls by second and has outages. Calls other
// than Get and Txn are not used.
type service struct {
	store.Store
	mu      sync.Mutex
	down    bool
	reads   map[int64]int // by second of virtual time
	writes  map[int64]int
	value   []byte
	latency time.Duration
}

func newService() *service {
	return &service{reads: make(map[int64]int), writes: make(map[int64]int), latency: 5 * time.Millisecond}
}

func (s *service) call(calls map[int64]int) error {
	s.mu.Lock()
	calls[time.Now().Unix()]++
	down := s.down
	s.mu.Unlock()
	time.Sleep(s.latency)
	if down {
		return &store.Error{Op: "call", Effect: store.MayHaveHappened, Cause: store.ErrUnavailable}
	}
	return nil
}

func (s *service) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	value := s.value
	s.mu.Unlock()
	return store.Entry{Value: value}, s.call(s.reads)
}

func (s *service) Txn(_ context.Context, ops []store.Op) error {
	s.mu.Lock()
	s.value = ops[0].Value
	s.mu.Unlock()
	return s.call(s.writes)
}

func (s *service) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// most returns the largest number of calls in a second from start to now, and
// the total.
func (s *service) most(calls map[int64]int, start time.Time) (most, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for second := start.Unix(); second <= time.Now().Unix(); second++ {
		most = max(most, calls[second])
		total += calls[second]
	}
	return most, total
}

// insist runs callers that repeat a call at once when it fails, and once a
// second when it succeeds.
func insist(ctx context.Context, callers int, call func(context.Context) error) {
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

// TestNoStampedeAfterOutage runs 50 instances with 10 callers each through an
// outage.
func TestNoStampedeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const members = 50
		limits := budget.Limits{Reads: 400, Watches: 100, Writes: 100, Leases: 50}
		s := newService()
		ctx, cancel := context.WithCancel(t.Context())
		for range members {
			limited := budget.New(s, limits, func() int { return members })
			insist(ctx, 5, func(ctx context.Context) error {
				return limited.Txn(ctx, []store.Op{{Key: "k"}})
			})
			insist(ctx, 5, func(ctx context.Context) error {
				_, err := limited.Get(ctx, "k")
				return err
			})
		}
		time.Sleep(10 * time.Second)
		s.setDown(true)
		time.Sleep(10 * time.Second)
		late := time.Now()
		time.Sleep(20 * time.Second)
		reads, _ := s.most(s.reads, late)
		writes, _ := s.most(s.writes, late)
		t.Logf("in the outage: at most %d reads and %d writes in a second", reads, writes)
		c.Check(reads+writes <= 100, qt.IsTrue)

		s.setDown(false)
		end := time.Now()
		time.Sleep(5 * time.Second)
		early, _ := s.most(s.reads, end)
		c.Check(float64(early) <= limits.Reads, qt.IsTrue, qt.Commentf("%d reads at once", early))
		time.Sleep(10 * time.Second)
		reads, _ = s.most(s.reads, end)
		writes, total := s.most(s.writes, end)
		t.Logf("after it: at most %d reads and %d writes in a second", reads, writes)
		c.Check(float64(reads) <= limits.Reads, qt.IsTrue)
		c.Check(float64(writes) <= limits.Writes*1.1, qt.IsTrue)
		c.Check(float64(total) > 10*limits.Writes, qt.IsTrue, qt.Commentf("%d writes in 15 s", total))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestOutcomes passes on what the store says of a failed write, and says that
// refused ones did not happen.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newService()
		limited := budget.New(s, budget.DefaultLimits(), func() int { return 1 })
		write := func() error { return limited.Txn(t.Context(), []store.Op{{Key: "k"}}) }
		s.setDown(true)
		c.Assert(store.EffectOf(write()), qt.Equals, store.MayHaveHappened)
		c.Assert(store.EffectOf(write()), qt.Equals, store.MayHaveHappened)
		held := write()
		c.Assert(held, qt.ErrorIs, store.ErrUnavailable)
		c.Assert(store.EffectOf(held), qt.Equals, store.DidNotHappen)

		slow := budget.New(newService(), budget.Limits{Reads: 1, Watches: 1, Writes: 1, Leases: 1}, func() int { return 100 })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for range 5 {
			err = slow.Txn(ctx, []store.Op{{Key: "k"}})
		}
		c.Assert(err, qt.ErrorIs, store.ErrThrottled)
		c.Assert(store.EffectOf(err), qt.Equals, store.DidNotHappen)
	})
}

// TestSharedReadsSeeEarlierWrites shares equal reads, but not one that began
// before a write of the caller.
func TestSharedReadsSeeEarlierWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newService()
		limited := budget.New(s, budget.DefaultLimits(), func() int { return 1 })
		get := func() string {
			entry, err := limited.Get(t.Context(), "k")
			c.Check(err, qt.IsNil)
			return string(entry.Value)
		}
		var group sync.WaitGroup
		group.Go(func() { get() })
		synctest.Wait() // the first read is under way
		s.mu.Lock()
		s.value = []byte("new")
		s.mu.Unlock()
		for range 100 {
			group.Go(func() { c.Check(get(), qt.Equals, "new") })
		}
		group.Wait()
		_, total := s.most(s.reads, time.Now().Add(-time.Minute))
		c.Assert(total <= 3, qt.IsTrue, qt.Commentf("%d reads", total))
	})
}
