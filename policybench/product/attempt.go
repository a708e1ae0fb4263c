package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/retry"
)

// after runs f later unless the request has ended by then.
func (r *request) after(delay time.Duration, f func()) {
	r.node.policy.cluster.Clock.After(delay, func() {
		if !r.task.Closed() {
			f()
		}
	})
}

// start makes the next try of a request that holds a slot.
func (r *request) start() { r.suspect.admit(r) }

// decide routes the request.
func (r *request) decide() {
	decision := r.node.router.Decide(r.route)
	switch {
	case decision.Server != nil:
		r.decision = decision
		r.send()
	case decision.Region != "":
		r.forward(decision)
	default:
		r.finish(outcome.NotRun, outcome.CodeOverloaded)
	}
}

// send begins an attempt at the server that was decided on.
func (r *request) send() {
	n, server := r.node, r.decision.Server
	r.begun, r.stalled = n.now(), false
	r.attempt = server.Start(r.begun, r.decision.Job(r.route))
	n.router.Dispatched(r.route, server)
	n.policy.cluster.Send(r.task, n.policy.servers[server.ID])
	remaining := r.route.Deadline.Sub(n.now())
	if limit := retry.StallLimit(r.decision.Cost, remaining); limit > 0 && r.task.Request.Work.Repeatable {
		attempt := r.attempt
		r.after(limit, func() {
			if r.attempt == attempt && !r.started {
				r.stall()
			}
		})
	}
}

// stall cancels an attempt whose answer did not begin in time, if the budget
// allows another one.
func (r *request) stall() {
	if !r.node.retries.Budget.Take(r.node.now()) {
		return
	}
	r.stalled = true
	r.node.policy.cluster.Cancel(r.task)
	r.ended(cluster.Result{Outcome: outcome.MayHaveRun, Code: outcome.CodeBackendFailed})
}

// endAttempt counts the attempt out of flight, if there is one.
func (r *request) endAttempt(served bool) {
	if r.attempt != nil {
		r.attempt.End(r.node.now(), served)
		r.attempt = nil
	}
}

// ended continues after an attempt or a forwarding.
func (r *request) ended(result cluster.Result) {
	ok := result.Outcome == outcome.Served
	r.ran = r.ran || result.Outcome == outcome.MayHaveRun
	atServer := r.attempt != nil
	r.endAttempt(ok)
	if !atServer {
		r.returned(result)
		return
	}
	r.judge(ok)
	r.suspect.end(r, result)
	if ok {
		r.served()
		return
	}
	r.route.Tried[r.decision.Server.ID] = true
	if result.Outcome == outcome.MayHaveRun && !r.stalled && r.suspect.crashed(r) {
		// The crash must have spread before the caller can send again.
		r.after(r.node.table.SpreadTime(), func() { r.again(result) })
		return
	}
	r.again(result)
}

// returned continues after another region has ended the request.
func (r *request) returned(result cluster.Result) {
	if result.Outcome == outcome.Served {
		r.served()
		return
	}
	r.route.StayLocal = true
	if result.Code == outcome.CodeBackendFailed {
		r.node.router.Spill.Failed(r.node.now(), r.decision.Region)
	}
	r.again(result)
}

// judge tells the ejector how the server did.
func (r *request) judge(served bool) {
	n, d := r.node, r.decision
	if served {
		n.ejector.Succeeded(n.now(), d.Server, d.Probe())
	} else {
		n.ejector.Failed(n.now(), d.Server, d.Probe())
	}
}

// again tries once more where that is safe and worth it.
func (r *request) again(result cluster.Result) {
	n := r.node
	verdict := n.retries.Decide(n.now(), retry.Try{
		Number: r.number, Outcome: result.Outcome, Code: result.Code,
		Repeatable: r.task.Request.Work.Repeatable, Started: r.started, Forwarded: r.decision.Region != "",
		Paid: r.stalled, Remaining: r.route.Deadline.Sub(n.now()),
	})
	if !verdict.Retry {
		r.finish(result.Outcome, result.Code)
		return
	}
	r.number++
	r.after(verdict.After, func() {
		if r.entry == nil && !r.route.NoSlot {
			r.queue.enqueue(r)
			return
		}
		r.start()
	})
}
