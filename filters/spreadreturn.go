package filters

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// returnFraction is the fraction of its remaining time after which a refused caller
// returns at the latest. Callers ignore a Retry-After of more than a third of it.
const returnFraction = 0.3

// SpreadReturn spreads the returns of requests that are refused for lack of capacity and
// that would miss their target even if they returned at once. They earn the same whenever
// they return, and a burst that returns within a second finds as little capacity as
// before.
type SpreadReturn struct {
	// Random returns a number of at least 0 and less than 1; nil for a random one.
	Random func() float64
}

// Name implements Filter.
func (SpreadReturn) Name() string { return "spread-return" }

// Handle implements Filter.
func (f SpreadReturn) Handle(x *Exchange, next Handler) *outcome.Error {
	err := next(x)
	if err == nil || err.Outcome != outcome.NotRun || err.Status != http.StatusServiceUnavailable || x.Service == nil {
		return err
	}
	switch err.Code {
	case outcome.CodeOverloaded, outcome.CodeNoBackend, outcome.CodeBackendRefused, outcome.CodeDeadline:
		err.RetryAfter = f.retryAfter(time.Now(), x, err.RetryAfter)
	default:
	}
	return err
}

// retryAfter returns the time after which the request may return. earliest is when there
// may be capacity again.
func (f SpreadReturn) retryAfter(now time.Time, x *Exchange, earliest time.Duration) time.Duration {
	if now.Add(earliest).Before(x.Received.Add(x.Policy().Target)) {
		return earliest
	}
	latest := time.Duration(returnFraction * float64(x.Deadline.Sub(now)))
	if latest <= earliest {
		return earliest
	}
	random := rand.Float64
	if f.Random != nil {
		random = f.Random
	}
	return earliest + time.Duration(random()*float64(latest-earliest))
}
