package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// queue is the admission queue of one service at one instance.
type queue struct {
	node      *node
	service   *catalog.Service
	scheduler *admission.Scheduler
}

// stats returns the slots, the running requests and the statistics of each rank.
func (q *queue) stats() admission.Stats {
	s := q.scheduler
	stats := admission.Stats{Slots: s.Slots(), Running: s.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = s.RankStats(catalog.Rank(rank))
	}
	return stats
}

// setCapacity sets this instance's share of the slots and its burst allowance,
// and starts the requests that they admit.
func (q *queue) setCapacity(c admission.Capacity) {
	q.scheduler.SetSlots(q.node.now(), c.Share())
	q.scheduler.SetBurstAllowance(c.BurstAllowance())
	q.dispatch()
}

// enqueue requests a slot. The request starts, waits or is refused.
func (q *queue) enqueue(r *request) {
	now := q.node.now()
	startBy := r.startBy()
	entry, refusal := q.scheduler.Enqueue(now, admission.Request{
		Caller: r.task.Request.Caller, Rank: r.rank(), Tokens: r.estimatedTokens(),
		Bytes: int64(r.route.BodyBytes), StartBy: startBy,
	})
	if refusal != nil {
		r.refused(refusal)
		q.dispatch()
		return
	}
	entry.UserData = r
	r.entry = entry
	q.dispatch()
	if entry.Waiting() {
		const slack = time.Millisecond // the scheduler refuses an entry only after its StartBy
		q.node.policy.cluster.Clock.After(startBy.Sub(now)+slack, q.dispatch)
	}
}

// dispatch starts the entries that have received a slot and refuses those that
// were displaced or whose StartBy has passed.
func (q *queue) dispatch() {
	now := q.node.now()
	for e := q.scheduler.Pop(now); e != nil; e = q.scheduler.Pop(now) {
		e.UserData.(*request).startAttempt()
	}
	for _, refused := range q.scheduler.TakeRefused(now) {
		r := refused.Entry.UserData.(*request)
		r.entry = nil
		r.refused(refused.Refusal)
	}
}
