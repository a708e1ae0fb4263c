package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
)

// Limit enforces the rate limits of callers. It is used only at the instance
// that the caller sent the request to, so that a forwarded request is not charged
// twice.
type Limit struct {
	Limiter  *ratelimit.Limiter
	Observer AdmissionObserver
}

// Name implements Filter.
func (Limit) Name() string { return "limit" }

// Handle implements Filter.
func (f Limit) Handle(x *Exchange, next Handler) *outcome.Error {
	reservation, exceeded := f.Limiter.Admit(time.Now(), x.Service, x.Caller, x.TokenEstimate())
	if exceeded != nil {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateLimited, "the caller's limit of %s is reached", exceeded.Limit)
		f.Observer.OverLimit(x, exceeded, refusal.WithRetryAfter(exceeded.RetryAfter))
		return refusal
	}
	counter := countTokens(x)
	// The chain panics if the connection breaks. Such a request is charged,
	// because it may have run.
	mayHaveRun := true
	defer func() {
		if mayHaveRun {
			reservation.Done(counter.total())
			return
		}
		reservation.Cancel()
	}()
	err := next(x)
	mayHaveRun = err == nil || err.Outcome != outcome.NotRun
	return err
}
