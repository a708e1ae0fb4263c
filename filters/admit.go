package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// startPart is the part of a target that a request may wait for a slot. The
// rest is for the engine's work before the first token.
const startPart = 0.8

// AdmissionObserver is told of decisions that refuse or delay a request.
type AdmissionObserver interface {
	// Queued is called when a request that had to wait starts.
	Queued(x *Exchange, wait time.Duration)
	// Refused is called for each refusal, with the filter and its reason.
	Refused(x *Exchange, filter, reason string, refusal *outcome.Error)
}

// Admit lets a request start when a slot of its service is free. Slots are
// those of the backend servers of this region.
type Admit struct {
	Queue *admission.Queue
	// Serves reports whether a backend server of this region accepts work of a
	// service. Without one, routing decides where the request goes.
	Serves func(service string) bool
	// Elsewhere reports whether another region may serve a request that gets
	// no slot here. A nil Elsewhere refuses all of them.
	Elsewhere func(x *Exchange) bool
	Observer  AdmissionObserver
}

// Name implements Filter.
func (Admit) Name() string { return "admit" }

// Handle implements Filter.
func (f Admit) Handle(x *Exchange, next Handler) *outcome.Error {
	if !f.Serves(x.Service.Name) {
		return next(x)
	}
	ticket, refused := f.Queue.Acquire(x.Request.Context(), x.Service, admission.Request{
		Caller:  x.Caller,
		Rank:    x.Work.Rank,
		Tokens:  x.TokenEstimate(),
		Bytes:   int64(len(x.Body)),
		StartBy: x.startBy(),
	})
	if refused != nil {
		return f.refuse(x, refused, next)
	}
	if ticket.Queued {
		f.Observer.Queued(x, ticket.Wait)
	}
	usage := meter(x)
	defer func() { ticket.Release(usage.total()) }()
	return next(x)
}

// startBy returns the latest start that still meets the target.
func (x *Exchange) startBy() time.Time {
	target := time.Duration(float64(x.Policy().Target) * startPart)
	start := x.Received.Add(target)
	if x.Deadline.Before(start) {
		return x.Deadline
	}
	return start
}

func (f Admit) refuse(x *Exchange, refused *admission.Refusal, next Handler) *outcome.Error {
	refusal := refusalOf(refused)
	if refusal.Code == outcome.CodeOverloaded && x.Hop == nil && f.Elsewhere != nil && f.Elsewhere(x) {
		x.NoSlot = true
		return next(x)
	}
	f.Observer.Refused(x, f.Name(), string(refused.Reason), refusal)
	return refusal
}

func refusalOf(refused *admission.Refusal) *outcome.Error {
	status, code := http.StatusServiceUnavailable, outcome.CodeOverloaded
	message := "no slot becomes free in time"
	switch refused.Reason {
	case admission.ReasonCanceled:
		code, message = outcome.CodeCanceled, "the caller gave up while the request waited"
	case admission.ReasonExpired:
		code, message = outcome.CodeDeadline, "no slot became free in time"
	case admission.ReasonCallerFull:
		status, code = http.StatusTooManyRequests, outcome.CodeRateLimited
		message = "too many requests of the caller wait"
	case admission.ReasonQueueFull, admission.ReasonDisplaced:
		message = "the queue is full"
	}
	return outcome.Refuse(status, code, "%s", message).WithRetryAfter(refused.RetryAfter)
}
