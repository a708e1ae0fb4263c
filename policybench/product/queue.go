package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// queue is the admission of one service at one instance.
type queue struct {
	node      *node
	service   *catalog.Service
	scheduler *admission.Scheduler
}

// stats returns the state of the queue.
func (q *queue) stats() admission.Stats {
	s := q.scheduler
	stats := admission.Stats{Slots: s.Slots(), Running: s.Running()}
	for rank := range stats.Ranks {
		stats.Ranks[rank] = s.RankStats(catalog.Rank(rank))
	}
	return stats
}

// setCapacity puts this instance's part of the slots in force.
func (q *queue) setCapacity(c admission.Capacity) {
	q.scheduler.SetSlots(q.node.now(), c.Share())
	q.scheduler.Borrow(c.Spare())
	q.pump()
}

// enqueue asks for a slot.
func (q *queue) enqueue(r *request) {
	now := q.node.now()
	startBy := r.startBy()
	entry, refusal := q.scheduler.Enqueue(now, admission.Request{
		Caller: r.task.Request.Caller, Rank: r.rank(), Tokens: r.estimate(),
		Bytes: int64(r.route.BodyBytes), StartBy: startBy,
	})
	if refusal != nil {
		r.refused(refusal)
		q.pump()
		return
	}
	entry.Owner = r
	r.entry = entry
	q.pump()
	if entry.Waiting() {
		const slack = time.Millisecond // so that StartBy has passed
		q.node.policy.cluster.Clock.After(startBy.Sub(now)+slack, q.pump)
	}
}

// pump starts what may start and refuses what has lost its place.
func (q *queue) pump() {
	now := q.node.now()
	for e := q.scheduler.Pop(now); e != nil; e = q.scheduler.Pop(now) {
		e.Owner.(*request).start()
	}
	for _, refused := range q.scheduler.TakeRefused(now) {
		r := refused.Entry.Owner.(*request)
		r.entry = nil
		r.refused(refused.Refusal)
	}
}
