package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// startPart is the part of a target that a request may wait for a slot. The
// rest is for the engine's work before the first token.
const startPart = 0.8

// askParts are the parts of the target that a request of each rank waits for a
// slot before another region is asked.
var askParts = [catalog.RankCount]float64{catalog.Urgent: 0.4, catalog.Batch: 0.1}

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
	// Serves reports whether a backend server of this region may run the
	// request. Without one, routing decides where it goes.
	Serves func(x *Exchange) bool
	// Elsewhere reports whether another region may serve a request that gets
	// no slot here. A nil Elsewhere refuses all of them.
	Elsewhere func(x *Exchange) bool
	Observer  AdmissionObserver
}

// Name implements Filter.
func (Admit) Name() string { return "admit" }

// Handle implements Filter.
func (f Admit) Handle(x *Exchange, next Handler) *outcome.Error {
	if !f.Serves(x) {
		return next(x)
	}
	ticket, refused := f.acquire(x)
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

// acquire waits for a slot. A request that may leave the region is first given
// up while another region can still meet its target; it waits on if none would
// take it.
func (f Admit) acquire(x *Exchange) (*admission.Ticket, *admission.Refusal) {
	if x.Hop == nil && x.Work.Home == "" && f.Elsewhere != nil {
		ticket, refused := f.acquireBy(x, x.startBy(askParts[x.Work.Rank]))
		if refused == nil || !refused.Late() || f.Elsewhere(x) {
			return ticket, refused
		}
	}
	return f.acquireBy(x, x.startBy(startPart))
}

func (f Admit) acquireBy(x *Exchange, startBy time.Time) (*admission.Ticket, *admission.Refusal) {
	return f.Queue.Acquire(x.Request.Context(), x.Service, admission.Request{
		Caller:  x.Caller,
		Rank:    x.Work.Rank,
		Tokens:  x.TokenEstimate(),
		Bytes:   int64(len(x.Body)),
		StartBy: startBy,
	})
}

// startBy returns the end of a part of the target, or the deadline.
func (x *Exchange) startBy(part float64) time.Time {
	target := time.Duration(float64(x.Policy().Target) * part)
	start := x.Received.Add(target)
	if x.Deadline.Before(start) {
		return x.Deadline
	}
	return start
}

func (f Admit) refuse(x *Exchange, refused *admission.Refusal, next Handler) *outcome.Error {
	refusal := refusalOf(refused)
	if (refused.Late() || refusal.Code == outcome.CodeOverloaded) && x.Hop == nil && f.Elsewhere != nil && f.Elsewhere(x) {
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
