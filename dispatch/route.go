package dispatch

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// route selects the target of the next attempt. It blocks while the request is
// a suspect that must wait for its trial or for an idle server.
func (r *attemptLoop) route(number int) (routing.Decision, *outcome.Error) {
	if refusal := r.RefusePart(r.x); refusal != nil {
		return routing.Decision{}, refusal
	}
	if r.RefuseAttempt != nil {
		if refusal := r.RefuseAttempt(r.x); refusal != nil {
			return routing.Decision{}, refusal
		}
	}
	if refusal := r.suspect.admit(); refusal != nil {
		return routing.Decision{}, refusal
	}
	r.req.EventsSent, r.req.Version = r.x.EventsSent, r.x.Version
	for r.req.Alone {
		decision, refusal := r.suspect.reserveServer()
		if refusal != nil {
			return decision, refusal
		}
		if decision.Server != nil {
			r.Observer.RouteDecided(r.x, number, decision)
			return decision, nil
		}
	}
	decision := r.decide()
	r.Observer.RouteDecided(r.x, number, decision)
	if decision.Server == nil && decision.Region == "" {
		return decision, r.noRoute(decision)
	}
	return decision, nil
}

// maxFailedChecks bounds the servers of one decision that turn out not to be in the state by
// which they were chosen.
const maxFailedChecks = 4

// decide selects a target and reserves its limits. A server that fails its check is not
// selected again by this decision, or within its limits only. After maxFailedChecks only
// another region is left.
func (r *attemptLoop) decide() routing.Decision {
	r.req.Unchecked = nil
	if noLocalSlot := r.req.NoLocalSlot; !noLocalSlot {
		defer func() { r.req.NoLocalSlot = noLocalSlot }()
	}
	for {
		decision := r.Router.Decide(r.req)
		if decision.Server == nil {
			return decision
		}
		if r.CheckServer != nil && !r.CheckServer(r.ctx, r.x.Service, decision.Server) {
			if r.req.Unchecked == nil {
				r.req.Unchecked = make(map[string]bool)
			}
			r.req.Unchecked[decision.Server.ID] = true
			r.req.NoLocalSlot = len(r.req.Unchecked) >= maxFailedChecks || r.ctx.Err() != nil
			continue
		}
		if r.Router.Reserve(r.req, decision.Server) {
			return decision
		}
	}
}

// noRoute returns the refusal of a request that no server and no region can
// serve.
func (r *attemptLoop) noRoute(decision routing.Decision) *outcome.Error {
	switch decision.Reason {
	case routing.ReasonPaused:
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "all backend servers have asked for a pause").WithRetryAfter(decision.RetryAfter)
	case routing.ReasonWaitTooLong:
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "the prompts ahead take too long").WithRetryAfter(min(decision.Wait, time.Second))
	}
	code, text := outcome.CodeNoBackend, "no backend server can serve this request now"
	if r.req.NoLocalSlot {
		code, text = outcome.CodeOverloaded, "no slot becomes free in time, here or in another region"
	}
	return outcome.Refuse(http.StatusServiceUnavailable, code, "%s", text).WithRetryAfter(time.Second)
}
