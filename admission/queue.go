package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Queue holds one Scheduler for each service, each under its own lock. Its
// methods are safe for concurrent use.
type Queue struct {
	bounds Bounds
	seed   uint64

	mu       sync.RWMutex
	services map[string]*shard
}

// NewQueue returns a queue with the same bounds for each rank of each service.
// The seed is for the jitter of RetryAfter.
func NewQueue(bounds Bounds, seed uint64) *Queue {
	return &Queue{bounds: bounds, seed: seed, services: make(map[string]*shard)}
}

// shard is the queue of one service.
type shard struct {
	mu        sync.Mutex
	scheduler *Scheduler
	policy    [catalog.RankCount]catalog.RankPolicy
}

// waiter is the goroutine of an entry that waits.
type waiter struct {
	decided chan struct{} // closed when the entry has started or was refused
	refusal *Refusal
}

// Ticket is a slot of a service.
type Ticket struct {
	Wait   time.Duration // time spent in the queue
	Queued bool          // no slot was free at once

	shard *shard
	entry *Entry
}

// Acquire waits for a slot of service. It returns a ticket, which must be
// released once, or the reason why the request must not run. It waits until
// req.StartBy at most.
func (q *Queue) Acquire(ctx context.Context, service *catalog.Service, req Request) (*Ticket, *Refusal) {
	s := q.shardOf(service)
	s.mu.Lock()
	s.configure(service, q.bounds)
	now := time.Now()
	entry, refusal := s.scheduler.Enqueue(now, req)
	if refusal != nil {
		s.dispatch(now)
		s.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{decided: make(chan struct{})}
	entry.Owner = w
	s.dispatch(now)
	queued := entry.Waiting()
	s.mu.Unlock()
	if queued {
		s.await(ctx, entry, w)
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Ticket{Wait: entry.Started.Sub(entry.Enqueued), Queued: queued, shard: s, entry: entry}, nil
}

// await returns once the entry is decided.
func (s *shard) await(ctx context.Context, entry *Entry, w *waiter) {
	expiry := time.NewTimer(time.Until(entry.StartBy) + time.Millisecond)
	defer expiry.Stop()
	for {
		select {
		case <-w.decided:
			return
		case <-ctx.Done():
			s.cancel(entry, w)
			return
		case <-expiry.C:
			s.mu.Lock()
			s.dispatch(time.Now())
			s.mu.Unlock()
			expiry.Reset(time.Millisecond)
		}
	}
}

// cancel withdraws an entry whose caller gave up. An entry that got a slot in
// the same moment gives it back.
func (s *shard) cancel(entry *Entry, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch entry.state {
	case waiting:
		s.scheduler.Cancel(now, entry)
	case running:
		s.scheduler.Release(now, entry, 0)
	case gone:
		return
	}
	w.refusal = &Refusal{Reason: ReasonCanceled}
	s.dispatch(now)
}

// dispatch starts what may start and tells the waiters. The lock is held.
func (s *shard) dispatch(now time.Time) {
	for entry := s.scheduler.Pop(now); entry != nil; entry = s.scheduler.Pop(now) {
		close(entry.Owner.(*waiter).decided)
	}
	for _, refused := range s.scheduler.TakeRefused(now) {
		w := refused.Entry.Owner.(*waiter)
		w.refusal = refused.Refusal
		close(w.decided)
	}
}

// Release returns the slot. tokens is what the request took in truth.
func (t *Ticket) Release(tokens int) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	now := time.Now()
	t.shard.scheduler.Release(now, t.entry, tokens)
	t.shard.dispatch(now)
}

// SetCapacity states what is known of the slots of a service. It is called
// once for each load report.
func (q *Queue) SetCapacity(service *catalog.Service, capacity Capacity) {
	s := q.shardOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(service, q.bounds)
	now := time.Now()
	s.scheduler.SetSlots(now, capacity.Share())
	s.scheduler.Borrow(capacity.Spare())
	s.dispatch(now)
}

// Stats is the state of a service's queue.
type Stats struct {
	Slots   int
	Running int
	Ranks   [catalog.RankCount]RankStats
}

// Waiting returns the number of requests that wait.
func (s *Stats) Waiting() int {
	waiting := 0
	for _, r := range s.Ranks {
		waiting += r.Queued
	}
	return waiting
}

// RankStats is the state of one rank of a service's queue.
type RankStats struct {
	Queued  int
	Bytes   int64   // memory of the waiting requests
	Running int     // requests that hold a slot
	Callers int     // callers with a request that waits or runs
	Demand  float64 // slots that would be in use if there were enough, now or on average of late
}

// Each calls f with the state of each service's queue.
func (q *Queue) Each(f func(service string, stats Stats)) {
	q.mu.RLock()
	shards := make(map[string]*shard, len(q.services))
	for name, s := range q.services {
		shards[name] = s
	}
	q.mu.RUnlock()
	for name, s := range shards {
		f(name, s.stats())
	}
}

// StatsOf returns the state of one service's queue.
func (q *Queue) StatsOf(service *catalog.Service) Stats { return q.shardOf(service).stats() }

func (s *shard) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Slots: s.scheduler.Slots(), Running: s.scheduler.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = s.scheduler.RankStats(catalog.Rank(rank))
	}
	return stats
}

func (q *Queue) shardOf(service *catalog.Service) *shard {
	q.mu.RLock()
	s, ok := q.services[service.Name]
	q.mu.RUnlock()
	if ok {
		return s
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.services[service.Name]; ok {
		return s
	}
	random := rand.New(rand.NewPCG(q.seed, uint64(len(q.services))))
	s = &shard{scheduler: NewScheduler(ConfigOf(service, q.bounds), random), policy: service.Ranks}
	q.services[service.Name] = s
	return s
}

// configure follows a new revision of the service. The lock is held.
func (s *shard) configure(service *catalog.Service, bounds Bounds) {
	if s.policy == service.Ranks {
		return
	}
	s.policy = service.Ranks
	s.scheduler.Configure(ConfigOf(service, bounds))
}
