// Package budget keeps an instance within its part of the calls that the
// platform's key-value service allows the whole fleet. It shares equal reads,
// and after failures it holds all calls back for a random time, so that the
// end of an outage brings no stampede. It never repeats a call: whether a
// failed write may have happened stays as the wrapped store says.
package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Limits are calls a second of the whole fleet by kind. Kinds have budgets of
// their own, so that many writes cannot keep a lease from being renewed.
type Limits struct {
	Reads   float64 // Get and List
	Watches float64 // a waiting watch counts when it begins
	Writes  float64 // Txn
	Leases  float64 // Grant, KeepAlive, Revoke and Acquire
}

// DefaultLimits leave a quarter of a service with 2,000 reads and 400 writes a
// second to operators and to what counts are late.
func DefaultLimits() Limits { return Limits{Reads: 1000, Watches: 500, Writes: 200, Leases: 100} }

const (
	burstSeconds = 0.5 // of the rate that an idle instance may use at once
	minBurst     = 2.0 // calls
	readTimeout  = 5 * time.Second
	// probePart is the part of the fleet's reads that asks whether an outage
	// is over.
	probePart  = 0.05
	minBackoff = 200 * time.Millisecond
	leastCap   = time.Second
	mostCap    = 30 * time.Second
	// failuresToHold is the number of failures in a row from which calls are
	// held back.
	failuresToHold = 2
)

// Counts are totals of a Store.
type Counts struct {
	Calls     uint64 `json:"calls"`     // passed on
	Shared    uint64 `json:"shared"`    // reads that another call answered
	Throttled uint64 `json:"throttled"` // refused over the budget
	Held      uint64 `json:"held"`      // refused after failures
}

// Store is a store.Store within a budget. Create it with New.
type Store struct {
	next    store.Store
	limits  Limits
	members func() int
	flights flights
	gate    gate
	buckets [kindCount]bucket

	calls, shared, throttled, held atomic.Uint64
}

// kind is a kind of call.
type kind int

const (
	kindRead kind = iota
	kindWatch
	kindWrite
	kindLease
	kindCount
)

// New wraps next. members returns the number of live instances of the fleet.
func New(next store.Store, limits Limits, members func() int) *Store {
	return &Store{next: next, limits: limits, members: members, flights: newFlights()}
}

var _ store.Store = (*Store)(nil)

// Counts returns the totals so far.
func (s *Store) Counts() Counts {
	return Counts{Calls: s.calls.Load(), Shared: s.shared.Load(), Throttled: s.throttled.Load(), Held: s.held.Load()}
}

func (s *Store) rate(k kind) float64 {
	all := [kindCount]float64{s.limits.Reads, s.limits.Watches, s.limits.Writes, s.limits.Leases}
	return all[k] / float64(max(1, s.members()))
}

// do passes one call on, once the budget allows it.
func (s *Store) do(ctx context.Context, k kind, op, key string, call func() error) error {
	if !s.gate.enter(time.Now()) {
		s.held.Add(1)
		return &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrUnavailable, "held back after failures")}
	}
	if err := s.buckets[k].wait(ctx, s.rate(k)); err != nil {
		s.gate.leave()
		s.throttled.Add(1)
		return &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrThrottled, err.Error())}
	}
	s.calls.Add(1)
	err := call()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		s.gate.leave() // the caller gave up; nothing is learned
	case errors.Is(err, store.ErrUnavailable):
		s.gate.failed(time.Now(), s.backoffCap())
	default:
		s.succeeded()
	}
	return err
}

// succeeded opens the gate. After an outage the buckets start empty.
func (s *Store) succeeded() {
	if !s.gate.succeeded() {
		return
	}
	for i := range s.buckets {
		s.buckets[i].drain()
	}
}

// backoffCap returns the longest time for which calls are held back: the
// fleet's probes together use a small part of its reads.
func (s *Store) backoffCap() time.Duration {
	perSecond := s.limits.Reads * probePart / float64(max(1, s.members()))
	return max(leastCap, min(mostCap, time.Duration(2*float64(time.Second)/perSecond)))
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	entries, _, err := s.read(ctx, "get", key, func(ctx context.Context) ([]store.Entry, uint64, error) {
		entry, err := s.next.Get(ctx, key)
		return []store.Entry{entry}, 0, err
	})
	if err != nil {
		return store.Entry{}, err
	}
	return entries[0], nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	return s.read(ctx, "list", prefix, func(ctx context.Context) ([]store.Entry, uint64, error) {
		return s.next.List(ctx, prefix)
	})
}

// read shares a read with equal ones.
func (s *Store) read(ctx context.Context, op, key string, call readFunc) ([]store.Entry, uint64, error) {
	f, led := s.flights.join(op+" "+key, func(f *flight) {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		f.err = s.do(ctx, kindRead, op, key, func() (err error) {
			f.entries, f.index, err = call(ctx)
			return err
		})
	})
	if !led {
		s.shared.Add(1)
	}
	select {
	case <-f.done:
		return f.entries, f.index, f.err
	case <-ctx.Done():
		return nil, 0, &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrUnavailable, ctx.Err().Error())}
	}
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (entries []store.Entry, next uint64, err error) {
	err = s.do(ctx, kindWatch, "watch", prefix, func() (err error) {
		entries, next, err = s.next.Watch(ctx, prefix, index, wait)
		return err
	})
	return entries, next, err
}

// Txn implements store.Store.
func (s *Store) Txn(ctx context.Context, ops []store.Op) error {
	key := ""
	if len(ops) > 0 {
		key = ops[0].Key
	}
	return s.do(ctx, kindWrite, "txn", key, func() error { return s.next.Txn(ctx, ops) })
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.do(ctx, kindLease, "grant", "", func() (err error) {
		id, err = s.next.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.do(ctx, kindLease, "keepalive", string(id), func() error { return s.next.KeepAlive(ctx, id) })
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.do(ctx, kindLease, "revoke", string(id), func() error { return s.next.Revoke(ctx, id) })
}

// Acquire implements store.Store.
func (s *Store) Acquire(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	return s.do(ctx, kindLease, "acquire", key, func() error { return s.next.Acquire(ctx, key, value, id) })
}

// bucket is a token bucket. Calls over the rate wait for their turn.
type bucket struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// errBudget is the cause of a call that would wait beyond its deadline.
var errBudget = errors.New("the wait for the budget exceeds the deadline")

// wait takes a token and waits until it is due. A call that could not be made
// before its deadline takes none.
func (b *bucket) wait(ctx context.Context, rate float64) error {
	delay, ok := b.reserve(ctx, rate)
	if !ok {
		return errBudget
	}
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *bucket) reserve(ctx context.Context, rate float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	burst := max(minBurst, burstSeconds*rate)
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	delay := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && delay > 0 && now.Add(delay).After(deadline) {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// drain takes the tokens that were saved up.
func (b *bucket) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
	b.at = time.Now()
}

// gate holds calls back after failures. Once its time is over one call goes
// ahead alone; the others follow when it succeeds.
type gate struct {
	mu       sync.Mutex
	failures int
	until    time.Time
	probing  bool
}

// enter reports whether a call may go on now. It must be followed by leave,
// failed or succeeded.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < failuresToHold {
		return true
	}
	if g.probing || now.Before(g.until) {
		return false
	}
	g.probing = true
	return true
}

// leave ends a call from which nothing is learned.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
}

// failed holds calls back for a random time, up to twice as long as last time.
func (g *gate) failed(now time.Time, most time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	g.failures++
	limit := min(most, minBackoff<<min(g.failures, 16))
	g.until = now.Add(time.Duration(rand.Int64N(int64(limit))))
}

// succeeded opens the gate and reports whether it was closed.
func (g *gate) succeeded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := g.failures >= failuresToHold
	g.failures, g.probing = 0, false
	return closed
}
