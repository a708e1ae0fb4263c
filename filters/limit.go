package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
)

// Limit holds callers to their limits. It stands where the caller entered;
// a forwarded request is not charged twice.
type Limit struct {
	Limiter  *ratelimit.Limiter
	Observer AdmissionObserver
}

// Name implements Filter.
func (Limit) Name() string { return "limit" }

// Handle implements Filter.
func (f Limit) Handle(x *Exchange, next Handler) *outcome.Error {
	use, exceeded := f.Limiter.Admit(time.Now(), x.Service, x.Caller, x.TokenEstimate())
	if exceeded != nil {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateLimited, "the caller's limit of %s is reached", exceeded.Limit)
		f.Observer.Refused(x, f.Name(), string(exceeded.Limit), refusal.WithRetryAfter(exceeded.RetryAfter))
		return refusal
	}
	usage := meter(x)
	// A request whose connection breaks panics through the chain; it is
	// charged, as it may have run.
	ran := true
	defer func() {
		if ran {
			use.Done(usage.total())
			return
		}
		use.Cancel()
	}()
	err := next(x)
	ran = err == nil || err.Outcome != outcome.NotRun
	return err
}
