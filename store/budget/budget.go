// Package budget limits the calls of one instance to the platform's key-value
// service to its share of the rate that is allowed for the whole fleet. It
// coalesces identical reads. After consecutive failures a circuit breaker rejects
// all calls for a random time, so that the instances do not all call at once when
// an outage ends. It never retries a call, and passes the errors of the wrapped
// store on unchanged, including the Effect of a failed write.
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

// Limits are the calls per second of the whole fleet, by kind. Each kind has its
// own limit, so that many writes cannot delay the renewal of leases.
type Limits struct {
	Reads   float64 // Get and List
	Watches float64 // Watch; counts once, when it starts
	Writes  float64 // Txn
	Leases  float64 // Grant, KeepAlive, Revoke and Acquire
}

// DefaultLimits returns three quarters of the rate of a service that allows 2,000
// reads and 400 writes per second. The rest is left for operators, and for the
// excess while the instance counts that divide the limits are out of date.
func DefaultLimits() Limits { return Limits{Reads: 1000, Watches: 500, Writes: 200, Leases: 100} }

const (
	burstSeconds = 0.5 // seconds of unused rate that an idle instance may spend at once
	minBurst     = 2.0 // calls
	readTimeout  = 5 * time.Second
	// probeFraction is the fraction of Limits.Reads that the whole fleet may
	// use to probe whether an outage has ended.
	probeFraction = 0.05
	backoffBase   = 200 * time.Millisecond
	minBackoffCap = time.Second
	maxBackoffCap = 30 * time.Second
	// failureThreshold is the number of consecutive failures that opens the
	// circuit breaker.
	failureThreshold = 2
)

// Counts holds counters since the creation of a Store.
type Counts struct {
	Calls       uint64 `json:"calls"`     // sent to the wrapped store
	Shared      uint64 `json:"shared"`    // reads that received the result of another caller's read
	Throttled   uint64 `json:"throttled"` // rejected by the rate limit
	CircuitOpen uint64 `json:"held"`      // rejected by the open circuit breaker
}

// Store is a store.Store with a rate limit and a circuit breaker. Create it with
// New.
type Store struct {
	next          store.Store
	limits        Limits
	instanceCount func() int
	readGroup     readGroup
	breaker       breaker
	buckets       [kindCount]bucket

	calls, shared, throttled, circuitOpen atomic.Uint64
}

// kind is a kind of call with its own rate limit.
type kind int

const (
	kindRead kind = iota
	kindWatch
	kindWrite
	kindLease
	kindCount
)

// New wraps next. instanceCount returns the number of live instances of the fleet;
// each instance may use an equal share of limits.
func New(next store.Store, limits Limits, instanceCount func() int) *Store {
	return &Store{next: next, limits: limits, instanceCount: instanceCount, readGroup: newReadGroup()}
}

var _ store.Store = (*Store)(nil)

// Counts returns the current counters.
func (s *Store) Counts() Counts {
	return Counts{Calls: s.calls.Load(), Shared: s.shared.Load(), Throttled: s.throttled.Load(), CircuitOpen: s.circuitOpen.Load()}
}

// rate returns this instance's share of the limit of a kind, in calls per second.
func (s *Store) rate(k kind) float64 {
	fleetRates := [kindCount]float64{s.limits.Reads, s.limits.Watches, s.limits.Writes, s.limits.Leases}
	return fleetRates[k] / float64(max(1, s.instanceCount()))
}

// do waits for the rate limit and then runs one call. It rejects the call if the
// circuit breaker is open, or if the wait would exceed the deadline of ctx.
func (s *Store) do(ctx context.Context, k kind, op, key string, call func() error) error {
	probe, allowed := s.breaker.allow(time.Now())
	if !allowed {
		s.circuitOpen.Add(1)
		return &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrUnavailable, "circuit breaker is open after repeated failures")}
	}
	if err := s.buckets[k].wait(ctx, s.rate(k)); err != nil {
		s.breaker.release(probe)
		s.throttled.Add(1)
		return &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrThrottled, err.Error())}
	}
	s.calls.Add(1)
	err := call()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		s.breaker.release(probe) // a cancellation by the caller is no evidence about the service
	case errors.Is(err, store.ErrUnavailable):
		s.breaker.recordFailure(time.Now(), probe, s.backoffCap())
	default:
		s.recordSuccess()
	}
	return err
}

// recordSuccess closes the circuit breaker. If it was open, the unused tokens of
// all buckets are discarded, so that no burst follows an outage.
func (s *Store) recordSuccess() {
	if !s.breaker.recordSuccess() {
		return
	}
	for i := range s.buckets {
		s.buckets[i].discardTokens()
	}
}

// backoffCap returns the longest time for which the circuit breaker stays open.
// The time is random, with a mean of half the cap once the backoff has reached the
// cap. The probes of all instances together then use about probeFraction of the
// reads, as far as minBackoffCap and maxBackoffCap allow.
func (s *Store) backoffCap() time.Duration {
	perSecond := s.limits.Reads * probeFraction / float64(max(1, s.instanceCount()))
	return max(minBackoffCap, min(maxBackoffCap, time.Duration(2*float64(time.Second)/perSecond)))
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

// read runs a read, or shares the result of an identical one. The read has its
// own timeout: ctx ends only the wait for it.
func (s *Store) read(ctx context.Context, op, key string, call readFunc) ([]store.Entry, uint64, error) {
	r, created := s.readGroup.join(op+" "+key, func(r *sharedRead) {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		r.err = s.do(ctx, kindRead, op, key, func() (err error) {
			r.entries, r.index, err = call(ctx)
			return err
		})
	})
	if !created {
		s.shared.Add(1)
	}
	select {
	case <-r.done:
		return r.entries, r.index, r.err
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

// bucket is a token bucket. Calls over the rate reserve a future token and wait
// for it.
type bucket struct {
	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

// errWaitExceedsDeadline is the cause of the error of a call whose token would
// become available after its deadline.
var errWaitExceedsDeadline = errors.New("wait for the rate limit would exceed the deadline")

// wait takes a token and waits until it is available. If that would be after the
// deadline of ctx, it takes none and returns errWaitExceedsDeadline.
func (b *bucket) wait(ctx context.Context, rate float64) error {
	delay, ok := b.reserve(ctx, rate)
	if !ok {
		return errWaitExceedsDeadline
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

// reserve takes a token and returns the time until it is available. It reports
// false if that would be after the deadline of ctx.
func (b *bucket) reserve(ctx context.Context, rate float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	burst := max(minBurst, burstSeconds*rate)
	if b.updated.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	delay := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && delay > 0 && now.Add(delay).After(deadline) {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// discardTokens removes the unused tokens. Tokens that waiting calls have reserved
// stay reserved.
func (b *bucket) discardTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
	b.updated = time.Now()
}

// breaker is a circuit breaker. It opens after failureThreshold consecutive
// failures and rejects calls until openUntil. Then it allows a single call as a
// probe, and closes when a call succeeds.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
	probes    probeID // number of probes so far
	probing   probeID // the current probe, or 0
}

// probeID numbers the probes of a breaker from 1. It is 0 for other calls: those that
// were allowed before the breaker opened may end while a probe runs.
type probeID uint64

// allow reports whether a call may run now. If so, release, recordFailure or
// recordSuccess must be called at its end, the first two with its probeID.
func (b *breaker) allow(now time.Time) (probe probeID, allowed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return 0, true
	}
	if b.probing != 0 || now.Before(b.openUntil) {
		return 0, false
	}
	b.probes++
	b.probing = b.probes
	return b.probing, true
}

// release ends a call whose result is no evidence about the service.
func (b *breaker) release(probe probeID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endProbe(probe)
}

// endProbe ends the current probe if it is the given one. b.mu is held.
func (b *breaker) endProbe(probe probeID) {
	if b.probing == probe {
		b.probing = 0
	}
}

// recordFailure counts a failure and sets the end of the open state to a random
// time. The limit of that time doubles with each failure, up to maxBackoff.
func (b *breaker) recordFailure(now time.Time, probe probeID, maxBackoff time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endProbe(probe)
	b.failures++
	limit := min(maxBackoff, backoffBase<<min(b.failures, 16))
	b.openUntil = now.Add(time.Duration(rand.Int64N(int64(limit))))
}

// recordSuccess closes the breaker and reports whether it was open.
func (b *breaker) recordSuccess() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasOpen := b.failures >= failureThreshold
	b.failures, b.probing = 0, 0
	return wasOpen
}
