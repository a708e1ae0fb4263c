// Package drain decides which requests an instance still takes while it shuts down:
// those that end before it must exit.
package drain

import (
	"sync/atomic"
	"time"
)

const (
	// maxCutRisk is the largest accepted probability that a request does not end in
	// time, if another instance can take it at once.
	maxCutRisk = 0.1
	// maxLoneCutRisk is the same if there is no such instance. A refused caller has
	// nowhere to go then.
	maxLoneCutRisk = 0.5
)

// Basis is what a decision rests on.
type Basis string

// The bases of decisions.
const (
	// BasisDeadline means that the request ends at its deadline at the latest.
	BasisDeadline Basis = "deadline"
	// BasisObserved means that the times of similar requests decide.
	BasisObserved Basis = "observed"
	// BasisUnknown means that too few similar requests were seen to tell.
	BasisUnknown Basis = "unknown"
	// BasisLate means that the request came so late that it is only taken if it surely
	// ends in time, and that its deadline is after the exit.
	BasisLate Basis = "late"
)

// Request is a request that an instance may take while it drains.
type Request struct {
	Kind         Kind
	OutputTokens int // limit of the output; 0 if unknown
	Received     time.Time
	Deadline     time.Time
}

// Decision is whether a request may be taken, and why.
type Decision struct {
	Take     bool
	Left     time.Duration // until the instance exits
	Estimate time.Duration // how long the request may take; 0 if unknown
	Basis    Basis
	Samples  int // requests that the estimate rests on
}

// Gate decides which requests are taken. It is open until Close is called, and is safe
// for concurrent use.
type Gate struct {
	Durations Durations
	closing   atomic.Pointer[closing] // nil before Close
}

type closing struct{ late, exit time.Time }

// Close makes the gate refuse requests that are not expected to end by exit, and those
// received after late that may not end by then.
func (g *Gate) Close(late, exit time.Time) { g.closing.Store(&closing{late, exit}) }

// Decide decides whether a request may be taken, now or for another attempt. alternative
// reports whether another instance can take it at once.
func (g *Gate) Decide(now time.Time, r Request, alternative func() bool) Decision {
	c := g.closing.Load()
	if c == nil {
		return Decision{Take: true}
	}
	decision := Decision{Left: c.exit.Sub(now)}
	if !r.Deadline.After(c.exit) {
		decision.Take, decision.Basis, decision.Estimate = true, BasisDeadline, r.Deadline.Sub(now)
		return decision
	}
	if r.Received.After(c.late) {
		decision.Basis, decision.Estimate = BasisLate, r.Deadline.Sub(now)
		return decision
	}
	lone := !alternative()
	risk := maxCutRisk
	if lone {
		risk = maxLoneCutRisk
	}
	estimate, samples, ok := g.Durations.Estimate(now, r.Kind, r.OutputTokens, 1-risk)
	decision.Basis, decision.Estimate, decision.Samples = BasisObserved, estimate, samples
	decision.Take = estimate <= decision.Left
	if !ok {
		decision.Basis, decision.Take = BasisUnknown, lone
	}
	return decision
}
