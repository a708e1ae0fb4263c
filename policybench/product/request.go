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

// bytesPerToken is the size of a prompt's token, as the gateway estimates it.
const bytesPerToken = 4

// request is a request at one instance.
type request struct {
	node     *node
	queue    *queue
	task     *cluster.Task
	route    *routing.Request
	use      ratelimit.Use
	limited  bool             // use must be ended
	entry    *admission.Entry // waiting or running, or nil
	decision routing.Decision
	attempt  *backend.Attempt // at decision.Server, or nil
	begun    time.Time        // of the attempt or the forwarding
	number   int              // of the try, from 1
	started  bool             // the answer has begun
	stalled  bool
	asked    bool // another region has been asked, or may not be
	suspect  suspect
	ran      bool // an attempt may have run
}

// arrive begins a request of a caller or of another instance.
func (n *node) arrive(t *cluster.Task) {
	q := t.Request
	r := &request{node: n, queue: n.queues[q.Service.Name], task: t, number: 1}
	r.route = &routing.Request{
		Service: q.Service, Work: q.Work, Caller: q.Caller, Received: t.Arrived, Deadline: t.Deadline,
		PromptTokens: q.PromptTokens, BodyBytes: q.PromptTokens * bytesPerToken, Prefix: q.Prefix,
		Forwarded: t.Origin != nil, Tried: make(map[string]bool),
	}
	r.suspect.digest = digestOf(q)
	t.Data = r
	t.Priority = int(q.Work.Rank)
	n.retries.FirstTry(n.now(), r.task.Request.Service.Name)
	use, refusal := n.limiter.Admit(n.now(), q.Service, q.Caller, r.estimate())
	if refusal != nil {
		r.finish(outcome.NotRun, outcome.CodeRateLimited)
		return
	}
	r.use, r.limited = use, true
	r.queue.enqueue(r)
}

func (r *request) rank() catalog.Rank { return r.task.Request.Work.Rank }

// answerTokens is the estimate of an answer whose length the caller does not
// state, as in the daemon.
const answerTokens = 256

// estimate returns the expected tokens of prompt and answer.
func (r *request) estimate() int { return r.route.PromptTokens + answerTokens }

// startPart is the part of a target that a request may wait for a slot, as in
// the daemon.
const startPart = 0.8

// askParts are the parts of the target that a request of each rank waits for a
// slot before another region is asked, as in the daemon.
var askParts = [catalog.RankCount]float64{catalog.Urgent: 0.4, catalog.Batch: 0.1}

// mayAsk reports whether another region may still be asked for the request.
func (r *request) mayAsk() bool {
	return !r.asked && r.task.Origin == nil && r.task.Request.Work.Home == ""
}

// startBy returns the time until which the request waits for a slot.
func (r *request) startBy() time.Time {
	part := startPart
	if r.mayAsk() {
		part = askParts[r.rank()]
	}
	target := r.task.Request.Policy().Target
	return r.route.Received.Add(time.Duration(part * float64(target)))
}

// refused continues with a request that gets no slot: it goes to another region
// or ends.
func (r *request) refused(refusal *admission.Refusal) {
	first := r.mayAsk()
	r.asked = true
	switch {
	case r.node.router.CouldLeave(r.route):
		r.route.NoSlot = true
		r.decide()
	case first && refusal.Late():
		r.queue.enqueue(r)
	default:
		r.finish(outcome.NotRun, outcome.CodeOverloaded)
	}
}

// forward passes the request on. It holds no slot meanwhile.
func (r *request) forward(decision routing.Decision) {
	r.decision = decision
	r.begun = r.node.now()
	r.giveUpSlot(0)
	r.node.policy.cluster.Forward(r.task, r.node.peer(decision.Region))
}

// giveUpSlot leaves the queue or returns the slot. tokens is what was used.
func (r *request) giveUpSlot(tokens int) {
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
	r.node.policy.cluster.Clock.After(0, r.queue.pump)
}

// firstToken records that the answer has begun.
func (r *request) firstToken() {
	r.started = true
	if r.attempt != nil {
		r.attempt.FirstToken(r.node.now())
	}
}

// finish ends the request without an answer. A request that may have run is
// never reported as not run.
func (r *request) finish(o outcome.Outcome, code outcome.Code) {
	if r.ran && o == outcome.NotRun {
		o = outcome.MayHaveRun
	}
	r.close(0)
	r.node.policy.cluster.Finish(r.task, cluster.Result{Outcome: o, Code: code})
}

// close returns everything that the request holds. tokens is what it used.
func (r *request) close(tokens int) {
	r.endAttempt(false)
	r.suspect.abandon(r)
	r.giveUpSlot(tokens)
	if !r.limited {
		return
	}
	r.limited = false
	if tokens == 0 && !r.ran {
		r.use.Cancel()
		return
	}
	r.use.Done(tokens)
}

// abandon ends a request whose deadline has passed or whose sender is gone.
func (r *request) abandon() { r.close(0) }

// served ends a request that was answered whole.
func (r *request) served() {
	r.close(r.task.Request.Tokens())
}
