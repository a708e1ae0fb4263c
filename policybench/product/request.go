package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// bytesPerToken is the size of a prompt token that the gateway assumes.
const bytesPerToken = 4

// request is the policy's state of a task.
type request struct {
	node            *node
	queue           *queue
	task            *cluster.Task
	route           *routing.Request
	reservation     ratelimit.Reservation
	reserved        bool             // reservation has not been settled yet
	entry           *admission.Entry // waiting for a slot or holding one; nil if neither
	decision        routing.Decision
	attempt         *backend.Attempt // at decision.Server, or nil
	startedAt       time.Time        // start of the last attempt or forwarding
	attemptNumber   int              // from 1
	responseStarted bool             // the first token has arrived
	stalled         bool             // the last attempt was canceled at the stall timeout
	spillChecked    bool             // a spill has been considered; from then on startBy allows the full wait
	suspect         suspect
	mayHaveRun      bool // an attempt may have run
}

// arrive handles a request from a caller or from another instance: it applies
// the rate limits and enqueues the request.
func (n *node) arrive(t *cluster.Task) {
	q := t.Request
	r := &request{node: n, queue: n.queues[q.Service.Name], task: t, attemptNumber: 1}
	r.route = &routing.Request{
		Service: q.Service, Work: q.Work, Caller: q.Caller, Received: t.Arrived, Deadline: t.Deadline,
		PromptTokens: q.PromptTokens, BodyBytes: q.PromptTokens * bytesPerToken, Prefix: q.Prefix,
		Forwarded: t.Origin != nil, Tried: make(map[string]bool),
	}
	r.suspect.digest = digestOf(q)
	t.PolicyState = r
	t.Priority = int(q.Work.Rank)
	n.retries.RecordFirstAttempt(n.now(), r.task.Request.Service.Name)
	reservation, refusal := n.limiter.Admit(n.now(), q.Service, q.Caller, r.estimatedTokens())
	if refusal != nil {
		r.finish(outcome.NotRun, outcome.CodeRateLimited)
		return
	}
	r.reservation, r.reserved = reservation, true
	r.queue.enqueue(r)
}

func (r *request) rank() catalog.Rank { return r.task.Request.Work.Rank }

// defaultOutputTokens is the assumed length of a response, as in the daemon for
// callers that do not state a bound.
const defaultOutputTokens = 256

// estimatedTokens returns the expected sum of prompt and output tokens.
func (r *request) estimatedTokens() int { return r.route.PromptTokens + defaultOutputTokens }

// slotWaitFraction is the fraction of the latency target that a request may wait
// for a slot. The value is that of the daemon.
const slotWaitFraction = 0.8

// spillWaitFractions are the fractions of the latency target that a request of
// each rank waits for a slot before a spill to another region is considered. The
// values are those of the daemon.
var spillWaitFractions = [catalog.RankCount]float64{catalog.Urgent: 0.4, catalog.Batch: 0.1}

// maySpill reports whether the wait for a slot may still end in a spill to
// another region: neither a forwarded request nor work with a home region spills.
func (r *request) maySpill() bool {
	return !r.spillChecked && r.task.Origin == nil && r.task.Request.Work.Home == ""
}

// startBy returns the time until which the request may wait for a slot.
func (r *request) startBy() time.Time {
	fraction := slotWaitFraction
	if r.maySpill() {
		fraction = spillWaitFractions[r.rank()]
	}
	target := r.task.Request.Policy().Target
	return r.route.Received.Add(time.Duration(fraction * float64(target)))
}

// refused continues with a request that received no slot. It is routed to another
// region if one can take it. If none can, and the request was refused because no
// slot becomes free within the shorter wait before a spill, it is enqueued again for
// the full wait. Otherwise it is refused.
func (r *request) refused(refusal *admission.Refusal) {
	couldSpill := r.maySpill()
	r.spillChecked = true
	switch {
	case r.node.router.CanSpill(r.route):
		r.route.NoLocalSlot = true
		r.decide()
	case couldSpill && refusal.MissesStartBy():
		r.queue.enqueue(r)
	default:
		r.finish(outcome.NotRun, outcome.CodeOverloaded)
	}
}

// forward sends the request to another region and releases its slot.
func (r *request) forward(decision routing.Decision) {
	r.decision = decision
	r.startedAt = r.node.now()
	r.releaseSlot(0)
	r.node.policy.cluster.Forward(r.task, r.node.nextInstance(decision.Region))
}

// releaseSlot removes a waiting request from the queue, or releases the slot of a
// running one. tokens is the number of tokens that it used.
func (r *request) releaseSlot(tokens int) {
	e := r.entry
	if e == nil {
		return
	}
	r.entry = nil
	now := r.node.now()
	if e.Waiting() {
		r.queue.scheduler.Cancel(now, e)
	} else {
		r.queue.scheduler.Release(now, e, tokens)
	}
	r.node.policy.cluster.Clock.After(0, r.queue.dispatch)
}

// firstToken records the arrival of the first token.
func (r *request) firstToken() {
	r.responseStarted = true
	if r.attempt != nil {
		r.attempt.FirstToken(r.node.now())
	}
}

// finish ends the request without a response. A request that may have run in any
// attempt is never reported as not run.
func (r *request) finish(o outcome.Outcome, code outcome.Code) {
	if r.mayHaveRun && o == outcome.NotRun {
		o = outcome.MayHaveRun
	}
	r.release(0)
	r.node.policy.cluster.Finish(r.task, cluster.Result{Outcome: o, Code: code})
}

// release ends the attempt and the trial of the request and releases its slot and
// its reservation at the rate limiter. tokens is the number of tokens that it
// used. A request that may have run stays counted against the caller's request limit,
// even if it used no tokens.
func (r *request) release(tokens int) {
	r.endAttempt(false)
	r.suspect.abort(r)
	r.releaseSlot(tokens)
	if !r.reserved {
		return
	}
	r.reserved = false
	if tokens == 0 && !r.mayHaveRun {
		r.reservation.Cancel()
		return
	}
	r.reservation.Done(tokens)
}

// dropped releases the resources of a request whose task was dropped.
func (r *request) dropped() { r.release(0) }

// served releases the resources of a request that was served completely. The
// cluster finishes its task.
func (r *request) served() {
	r.release(r.task.Request.Tokens())
}
