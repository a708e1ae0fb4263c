package filters

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quota"
)

// QuotaObserver is notified of requests that exceed the quota of their organization.
type QuotaObserver interface {
	OverQuota(x *Exchange, exceeded *quota.Refusal, refusal *outcome.Error)
}

// Quota charges requests to the quotas of organizations. It is used only at the instance
// that the caller sent the request to, so that a forwarded request is not charged twice.
type Quota struct {
	Limiter  *quota.Limiter
	Observer QuotaObserver
}

// Name implements Filter.
func (Quota) Name() string { return "quota" }

// Handle implements Filter.
func (f Quota) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Organization == nil {
		return next(x)
	}
	cost := x.Organization.Quota.Cost(x.PromptTokens, x.MaxOutputTokens)
	reservation, exceeded := f.Limiter.Charge(time.Now(), x.Organization, cost)
	if exceeded != nil {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateLimited, "the quota of the organization is used up").WithRetryAfter(exceeded.RetryAfter)
		f.Observer.OverQuota(x, exceeded, refusal)
		return refusal
	}
	// If the chain panics because a connection broke, the request may have run and
	// remains charged.
	err := next(x)
	if err != nil && err.Outcome == outcome.NotRun {
		reservation.Cancel()
	}
	return err
}
