package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/retry"
)

// after runs f after the delay unless the task has been closed by then.
func (r *request) after(delay time.Duration, f func()) {
	r.node.policy.cluster.Clock.After(delay, func() {
		if !r.task.Closed() {
			f()
		}
	})
}

// startAttempt starts the next attempt of the request once the quarantine permits
// it. The request must hold a slot, or its routing request must have NoLocalSlot
// set, so that it is routed to another region.
func (r *request) startAttempt() { r.suspect.admit(r) }

// decide routes the request to a server or to another region, or refuses it if
// the router finds neither.
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

// send starts an attempt at the server of the decision. An attempt at repeatable
// work is canceled if its response has not started within the stall timeout.
func (r *request) send() {
	n, server := r.node, r.decision.Server
	r.startedAt, r.stalled = n.now(), false
	r.attempt = server.StartAttempt(r.startedAt, r.decision.Job(r.route))
	n.router.RecordDispatch(r.route, server)
	n.policy.cluster.Send(r.task, n.policy.servers[server.ID])
	remaining := r.route.Deadline.Sub(n.now())
	if limit := retry.StallTimeout(r.decision.Cost, remaining); limit > 0 && r.task.Request.Work.Repeatable {
		attempt := r.attempt
		r.after(limit, func() {
			if r.attempt == attempt && !r.responseStarted {
				r.cancelStalled()
			}
		})
	}
}

// cancelStalled cancels an attempt whose response did not start within the stall
// timeout, if the retry budget allows another attempt.
func (r *request) cancelStalled() {
	if !r.node.retries.Budget.TakeRetry(r.node.now()) {
		return
	}
	r.stalled = true
	r.node.policy.cluster.Cancel(r.task)
	r.callEnded(cluster.Result{Outcome: outcome.MayHaveRun, Code: outcome.CodeBackendFailed})
}

// endAttempt removes the attempt, if there is one, from the requests in flight on
// its server.
func (r *request) endAttempt(served bool) {
	if r.attempt != nil {
		r.attempt.End(r.node.now(), served)
		r.attempt = nil
	}
}

// callEnded continues after the end of an attempt or of a forwarded request.
func (r *request) callEnded(result cluster.Result) {
	ok := result.Outcome == outcome.Served
	r.mayHaveRun = r.mayHaveRun || result.Outcome == outcome.MayHaveRun
	atServer := r.attempt != nil
	r.endAttempt(ok)
	if !atServer {
		r.forwardEnded(result)
		return
	}
	r.recordResult(ok)
	r.suspect.attemptEnded(r, result)
	if ok {
		r.served()
		return
	}
	r.route.Tried[r.decision.Server.ID] = true
	if result.Outcome == outcome.MayHaveRun && !r.stalled && r.suspect.recordCrash(r) {
		// Continue only when the crash record has reached the other instances: a
		// failure that the caller sees earlier lets it resend the request to an
		// instance that does not have the record yet.
		r.after(r.node.quarantineTable.EffectivePropagationDelay(), func() { r.retryOrFinish(result) })
		return
	}
	r.retryOrFinish(result)
}

// forwardEnded continues after the end of a forwarded request.
func (r *request) forwardEnded(result cluster.Result) {
	if result.Outcome == outcome.Served {
		r.served()
		return
	}
	r.route.StayLocal = true
	if result.Code == outcome.CodeBackendFailed {
		r.node.router.Spill.Failed(r.node.now(), r.decision.Region)
	}
	r.retryOrFinish(result)
}

// recordResult reports the result of the attempt to the ejector.
func (r *request) recordResult(served bool) {
	n, d := r.node, r.decision
	if served {
		n.ejector.Succeeded(n.now(), d.Server, d.Probe())
	} else {
		n.ejector.Failed(n.now(), d.Server, d.Probe())
	}
}

// retryOrFinish retries the request if the retry policy allows it, and finishes
// it with the result otherwise.
func (r *request) retryOrFinish(result cluster.Result) {
	n := r.node
	verdict := n.retries.Decide(n.now(), retry.Attempt{
		Number: r.attemptNumber, Outcome: result.Outcome, Code: result.Code,
		Repeatable: r.task.Request.Work.Repeatable, ResponseStarted: r.responseStarted, Forwarded: r.decision.Region != "",
		BudgetCharged: r.stalled, Remaining: r.route.Deadline.Sub(n.now()),
	})
	if !verdict.Retry {
		r.finish(result.Outcome, result.Code)
		return
	}
	r.attemptNumber++
	r.after(verdict.After, func() {
		if r.entry == nil && !r.route.NoLocalSlot {
			r.queue.enqueue(r)
			return
		}
		r.startAttempt()
	})
}
