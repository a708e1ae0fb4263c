package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
)

// maxWaitFraction is the fraction of the latency target that a request may wait
// for a slot. The rest is left for the engine to produce the first token.
const maxWaitFraction = 0.8

// spillWaitFractions are the fractions of the latency target that a request of
// each rank waits for a slot before it may be sent to another region.
var spillWaitFractions = [catalog.RankCount]float64{catalog.Urgent: 0.4, catalog.Batch: 0.1}

// AdmissionObserver receives the decisions that refuse or delay a request.
type AdmissionObserver interface {
	// Queued is called when a request that waited for a slot starts.
	Queued(x *Exchange, wait time.Duration)
	// Refused is called for each refusal, with the filter's name and its reason.
	Refused(x *Exchange, filter, reason string, refusal *outcome.Error)
	// OverLimit is called instead of Refused for a request over a caller's limit.
	OverLimit(x *Exchange, exceeded *ratelimit.Refusal, refusal *outcome.Error)
}

// Admit queues a request until a slot of its service is free. The slots are
// those of the backend servers of this region.
type Admit struct {
	Queue *admission.Queue
	// CanServeLocally reports whether a backend server of this region may run the
	// request. If it returns false, or no server accepts requests any more while the
	// request waits, the request needs no slot and routing decides where it is sent.
	CanServeLocally func(x *Exchange) bool
	// CanSpill reports whether another region may serve a request that gets
	// no slot here. If it is nil, such requests are refused.
	CanSpill func(x *Exchange) bool
	// StreamTime returns the expected time from the first to the last event of the
	// response, or 0 if it is unknown. Nil means that it is always unknown.
	StreamTime func(x *Exchange) time.Duration
	Observer   AdmissionObserver
}

// Name implements Filter.
func (Admit) Name() string { return "admit" }

// Handle implements Filter.
func (f Admit) Handle(x *Exchange, next Handler) *outcome.Error {
	if !f.CanServeLocally(x) {
		return next(x)
	}
	ticket, refused := f.acquire(x)
	if refused != nil && refused.Reason == admission.ReasonNoServer {
		return next(x)
	}
	if refused != nil {
		return f.refuse(x, refused, next)
	}
	if ticket.Queued {
		f.Observer.Queued(x, ticket.Wait)
	}
	counter := countTokens(x)
	defer func() { ticket.Release(counter.total()) }()
	return next(x)
}

// acquire waits for a slot. A request that may be sent to another region first
// waits only for its spillWaitFractions, so that another region can still meet
// its target. If no other region may serve it, it is queued again for the rest
// of maxWaitFraction.
func (f Admit) acquire(x *Exchange) (*admission.Ticket, *admission.Refusal) {
	if x.Hop == nil && x.Work.Home == "" && f.CanSpill != nil {
		ticket, refused := f.acquireBy(x, x.startBy(spillWaitFractions[x.Work.Rank]))
		if refused == nil || !refused.MissesStartBy() || f.CanSpill(x) {
			return ticket, refused
		}
	}
	return f.acquireBy(x, x.startBy(maxWaitFraction))
}

func (f Admit) acquireBy(x *Exchange, startBy time.Time) (*admission.Ticket, *admission.Refusal) {
	return f.Queue.Acquire(x.Request.Context(), x.Service, admission.Request{
		Caller:   x.Caller,
		Rank:     x.Work.Rank,
		Priority: x.Service.QueuePriority(&x.Work),
		Tokens:   x.TokenEstimate(),
		Bytes:    int64(len(x.Body)),
		StartBy:  startBy, Duration: f.duration(x),
	})
}

// maxOverrun is the ratio of the expected duration of a stream to the time until its
// deadline up to which the stream may still end in time: callers' estimates are often too
// high by a half or more, and some servers send faster than others.
const maxOverrun = 3

// duration returns how long the request is expected to run. It returns 0 if that is
// unknown or if the request is not expected to end before its deadline: starting such a
// request earlier would only make others late too.
func (f Admit) duration(x *Exchange) time.Duration {
	if f.StreamTime == nil || !x.Stream {
		return 0
	}
	duration := f.StreamTime(x)
	if duration > time.Duration(maxOverrun*float64(time.Until(x.Deadline))) {
		return 0
	}
	return duration
}

// startBy returns the time when the given fraction of the latency target has
// passed since the request was received, or the deadline if that is earlier.
func (x *Exchange) startBy(fraction float64) time.Time {
	maxWait := time.Duration(float64(x.Policy().Target) * fraction)
	latestStart := x.Received.Add(maxWait)
	if x.Deadline.Before(latestStart) {
		return x.Deadline
	}
	return latestStart
}

func (f Admit) refuse(x *Exchange, refused *admission.Refusal, next Handler) *outcome.Error {
	refusal := refusalError(refused)
	if (refused.MissesStartBy() || refusal.Code == outcome.CodeOverloaded) && x.Hop == nil && f.CanSpill != nil && f.CanSpill(x) {
		x.NoLocalSlot = true
		return next(x)
	}
	f.Observer.Refused(x, f.Name(), string(refused.Reason), refusal)
	return refusal
}

func refusalError(refused *admission.Refusal) *outcome.Error {
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
