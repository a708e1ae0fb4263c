package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Queue has one Scheduler for each service, each guarded by its own lock. Its
// methods are safe for concurrent use.
type Queue struct {
	bounds Bounds
	seed   uint64

	mu       sync.RWMutex
	services map[string]*serviceQueue
}

// NewQueue returns a queue with the same bounds for each rank of each service.
// The seed determines the jitter of RetryAfter.
func NewQueue(bounds Bounds, seed uint64) *Queue {
	return &Queue{bounds: bounds, seed: seed, services: make(map[string]*serviceQueue)}
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	mu        sync.Mutex
	scheduler *Scheduler
	policy    [catalog.RankCount]catalog.RankPolicy
}

// waiter receives the decision on an entry on behalf of its goroutine.
type waiter struct {
	decided chan struct{} // closed when the entry starts or is refused
	refusal *Refusal
}

// Ticket is a slot of a service that a request holds until Release.
type Ticket struct {
	Wait   time.Duration // time spent in the queue
	Queued bool          // the request did not start at once

	queue *serviceQueue
	entry *Entry
}

// Acquire waits for a slot of service, until req.StartBy at the latest. It
// returns either a ticket, which must be released exactly once, or the reason
// why the request must not run.
func (q *Queue) Acquire(ctx context.Context, service *catalog.Service, req Request) (*Ticket, *Refusal) {
	s := q.serviceQueueOf(service)
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
	entry.UserData = w
	s.dispatch(now)
	queued := entry.Waiting()
	s.mu.Unlock()
	if queued {
		s.await(ctx, entry, w)
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Ticket{Wait: entry.Started.Sub(entry.Enqueued), Queued: queued, queue: s, entry: entry}, nil
}

// await blocks until the entry starts or is refused, or ctx ends. The extra
// millisecond is needed because an entry expires only after its StartBy.
func (s *serviceQueue) await(ctx context.Context, entry *Entry, w *waiter) {
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

// cancel removes an entry whose context has ended. If the entry got a slot
// concurrently, the slot is released.
func (s *serviceQueue) cancel(entry *Entry, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch entry.state {
	case waiting:
		s.scheduler.Cancel(now, entry)
	case running:
		s.scheduler.Release(now, entry, 0)
	case removed:
		return
	}
	w.refusal = &Refusal{Reason: ReasonCanceled}
	s.dispatch(now)
}

// dispatch starts all entries that may start, and unblocks the waiters of started
// and refused entries. The caller holds the lock.
func (s *serviceQueue) dispatch(now time.Time) {
	for entry := s.scheduler.Pop(now); entry != nil; entry = s.scheduler.Pop(now) {
		close(entry.UserData.(*waiter).decided)
	}
	for _, refused := range s.scheduler.TakeRefused(now) {
		w := refused.Entry.UserData.(*waiter)
		w.refusal = refused.Refusal
		close(w.decided)
	}
}

// Release frees the slot. tokens is the number that the request actually used.
func (t *Ticket) Release(tokens int) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	now := time.Now()
	t.queue.scheduler.Release(now, t.entry, tokens)
	t.queue.dispatch(now)
}

// SetCapacity updates the slots of a service. It must be called once per load
// report, as Capacity.BurstAllowance is granted anew by each call.
func (q *Queue) SetCapacity(service *catalog.Service, capacity Capacity) {
	s := q.serviceQueueOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(service, q.bounds)
	now := time.Now()
	s.scheduler.SetSlots(now, capacity.Share())
	s.scheduler.SetBurstAllowance(capacity.BurstAllowance())
	s.dispatch(now)
}

// ReleaseWaiting refuses all waiting requests of a service with ReasonNoServer. It is
// called when no backend server accepts requests of the service, so that no slot
// becomes free.
func (q *Queue) ReleaseWaiting(service *catalog.Service) {
	s := q.serviceQueueOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.DropWaiting(now, ReasonNoServer)
	s.dispatch(now)
}

// Stats is the state of a service's queue.
type Stats struct {
	Slots   int
	Running int
	Ranks   [catalog.RankCount]RankStats
}

// Waiting returns the number of waiting requests of all ranks.
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
	Callers int     // callers with waiting or running requests
	Demand  float64 // slots needed for its requests, now or on recent average, whichever is larger
}

// Each calls f with the state of each service's queue.
func (q *Queue) Each(f func(service string, stats Stats)) {
	q.mu.RLock()
	queues := make(map[string]*serviceQueue, len(q.services))
	for name, s := range q.services {
		queues[name] = s
	}
	q.mu.RUnlock()
	for name, s := range queues {
		f(name, s.stats())
	}
}

// StatsOf returns the state of one service's queue.
func (q *Queue) StatsOf(service *catalog.Service) Stats { return q.serviceQueueOf(service).stats() }

func (s *serviceQueue) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Slots: s.scheduler.Slots(), Running: s.scheduler.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = s.scheduler.RankStats(catalog.Rank(rank))
	}
	return stats
}

func (q *Queue) serviceQueueOf(service *catalog.Service) *serviceQueue {
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
	s = &serviceQueue{scheduler: NewScheduler(ConfigOf(service, q.bounds), random), policy: service.Ranks}
	q.services[service.Name] = s
	return s
}

// configure applies the service's policy if it has changed. The caller holds the
// lock.
func (s *serviceQueue) configure(service *catalog.Service, bounds Bounds) {
	if s.policy == service.Ranks {
		return
	}
	s.policy = service.Ranks
	s.scheduler.Configure(ConfigOf(service, bounds))
}
