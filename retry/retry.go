// Package retry decides whether a failed attempt at a request is followed by
// another one. A request is retried only if it has not run or may run more than
// once, if enough time remains before its deadline, and if the retry budget allows
// it. The package does no I/O; time and randomness are passed in.
package retry

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// Attempt describes a failed attempt at a request.
type Attempt struct {
	Number             int             // 1 for the first attempt
	Outcome            outcome.Outcome // of this attempt
	Code               outcome.Code
	Repeatable         bool // the work may run more than once
	ResponseStarted    bool // the caller has received part of the response
	Forwarded          bool // the attempt was sent to another region
	BudgetCharged      bool // the retry after it has already been taken from the budget
	Service            string
	PossibleRuns       int           // attempts at the request that may have run
	MaxPossibleRuns    int           // maximum of these; 0: unlimited
	Remaining          time.Duration // until the deadline
	ExpectedFirstToken time.Duration // expected time to first token of the next attempt; 0 if unknown
}

// Reason is why a request is retried or not.
type Reason string

// The reasons of verdicts.
const (
	ReasonRetry           Reason = "retry"
	ReasonFinalCode       Reason = "final_code"     // another attempt would fail in the same way
	ReasonMayHaveRun      Reason = "may_have_run"   // the request may have run and must not run twice
	ReasonResponseStarted Reason = "answer_started" // part of the response has been delivered
	ReasonMaxAttempts     Reason = "attempts"       // the maximum number of attempts is reached
	ReasonDeadline        Reason = "deadline"       // too little time remains for another attempt
	ReasonBudget          Reason = "budget"         // too many retries for the current traffic
)

// Verdict is the decision on a failed attempt.
type Verdict struct {
	Retry  bool
	Reason Reason
	After  time.Duration // wait before the next attempt
}

// Defaults of a Policy.
const (
	defaultMaxAttempts   = 3
	maxConnectAttempts   = 10                    // if no connection can be established
	minRemaining         = 10 * time.Millisecond // less time is too short for an attempt
	backoffBase          = 50 * time.Millisecond // maximum wait before the second retry; doubles with each further one
	stallFactor          = 4                     // multiple of the expected time to first token
	minStallTimeout      = 5 * time.Second       // an attempt is not considered stalled earlier
	stallReserveFraction = 0.5                   // at least this fraction of the remaining time is kept for the next attempt
)

// Policy decides on retries. It is safe for concurrent use if its Random is.
type Policy struct {
	MaxAttempts int            // at one request; 0: the default
	Budget      *Budget        // nil: unlimited
	Budgets     *Budgets       // one per service, used instead of Budget; nil: use Budget
	Random      routing.Random // for the backoff; nil: no backoff
}

// RecordFirstAttempt records the first attempt at a request, which adds a
// fraction of a retry to the budget of the service.
func (p *Policy) RecordFirstAttempt(now time.Time, service string) {
	if b := p.budget(service); b != nil {
		b.RecordFirstAttempt(now)
	}
}

// TakeRetry takes one retry from the budget of a service. It returns false if
// the budget is exhausted.
func (p *Policy) TakeRetry(now time.Time, service string) bool {
	b := p.budget(service)
	return b == nil || b.TakeRetry(now)
}

func (p *Policy) budget(service string) *Budget {
	if p.Budgets != nil {
		return p.Budgets.Of(service)
	}
	return p.Budget
}

// Decide returns the verdict on a failed attempt. It takes the retry from the
// budget, unless the retry is free.
func (p *Policy) Decide(now time.Time, attempt Attempt) Verdict {
	if reason := p.reasonNotToRetry(attempt); reason != "" {
		return Verdict{Reason: reason}
	}
	if !isFree(attempt) && !p.TakeRetry(now, attempt.Service) {
		return Verdict{Reason: ReasonBudget}
	}
	return Verdict{Retry: true, Reason: ReasonRetry, After: p.backoff(attempt)}
}

// isFree reports whether Decide permits the retry without taking it from the budget:
// because it has been taken already, or because the failed attempt was sent to another
// region or could not connect. In the last two cases the retry is the first attempt
// that a server of this region receives.
func isFree(attempt Attempt) bool {
	return attempt.BudgetCharged || attempt.Forwarded || isConnectFailure(attempt)
}

// isConnectFailure reports whether the attempt failed to connect to a server of
// this region.
func isConnectFailure(attempt Attempt) bool {
	return !attempt.Forwarded && attempt.Outcome == outcome.NotRun && attempt.Code == outcome.CodeBackendFailed
}

// reasonNotToRetry returns why the request must not be retried, or "" if it may be,
// subject to the budget.
func (p *Policy) reasonNotToRetry(attempt Attempt) Reason {
	switch {
	case attempt.ResponseStarted:
		return ReasonResponseStarted
	case !isRetryableCode(attempt):
		return ReasonFinalCode
	case !isSafe(attempt):
		return ReasonMayHaveRun
	case attempt.Number >= p.maxAttemptsFor(attempt), attempt.MaxPossibleRuns > 0 && attempt.PossibleRuns >= attempt.MaxPossibleRuns:
		return ReasonMaxAttempts
	case attempt.Remaining < max(attempt.ExpectedFirstToken, minRemaining):
		return ReasonDeadline
	}
	return ""
}

// isSafe reports whether another attempt cannot execute a request twice that must
// run at most once. A request that may have run in another region is not retried
// here: that region has already retried it, and has the record of whether the
// request is suspect of crashing servers.
func isSafe(attempt Attempt) bool {
	if attempt.Outcome == outcome.NotRun {
		return true
	}
	return attempt.Outcome == outcome.MayHaveRun && attempt.Repeatable && !attempt.Forwarded
}

// isRetryableCode reports whether another server may succeed. After another region
// refused a forwarded request because of its own state, such as overload, this
// region may serve the request.
func isRetryableCode(attempt Attempt) bool {
	switch attempt.Code {
	case outcome.CodeBackendFailed, outcome.CodeBackendRefused:
		return true
	case outcome.CodeOverloaded, outcome.CodeDraining, outcome.CodeNotReady, outcome.CodeNoBackend, outcome.CodeUnknownStream:
		return attempt.Forwarded
	}
	return false
}

// backoff returns the wait before the next attempt: random, with a maximum that
// doubles with each retry and is at most a quarter of the remaining time. The first
// retry is sent to another server without a wait.
func (p *Policy) backoff(attempt Attempt) time.Duration {
	if attempt.Number < 2 || p.Random == nil {
		return 0
	}
	maxBackoff := min(backoffBase<<(attempt.Number-2), attempt.Remaining/4)
	return time.Duration(float64(maxBackoff) * float64(p.Random.Uint64()>>11) / (1 << 53))
}

// StallTimeout returns how long a repeatable attempt may wait for the beginning
// of the response before it is canceled in favor of another attempt. expected
// is the expected time to first token. It returns 0, for no limit, if too
// little time would remain for another attempt.
func StallTimeout(expected, remaining time.Duration) time.Duration {
	limit := max(minStallTimeout, stallFactor*expected)
	if float64(limit) > stallReserveFraction*float64(remaining) {
		return 0
	}
	return limit
}

// maxAttemptsFor returns the maximum number of attempts at a request, including
// the failed one. It is higher if that one failed to connect, because it sent no
// request to a server.
func (p *Policy) maxAttemptsFor(attempt Attempt) int {
	if isConnectFailure(attempt) {
		return max(maxConnectAttempts, p.maxAttempts())
	}
	return p.maxAttempts()
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return p.MaxAttempts
}

// Defaults of a Budget.
const (
	defaultRatio        = 0.1  // retries per first attempt
	defaultMinPerSecond = 0.5  // retries per second
	defaultBurst        = 10.0 // retries
)

// Budget bounds retries to a fraction of the first attempts, so that retries add
// little load to a region that has lost part of its capacity. A low minimum rate
// lets an instance with little traffic retry. It is safe for concurrent use. Zero
// fields select defaults.
type Budget struct {
	Ratio        float64 // retries per first attempt
	MinPerSecond float64 // retries per second that are added regardless of traffic
	Burst        float64 // maximum number of unused retries kept

	// recent is set if the budget is part of a common one. It then begins with no
	// retries, and may keep a whole one if Burst is less.
	recent *recentAttempts

	mu        sync.Mutex
	level     float64
	updatedAt time.Time // zero: not used yet
}

// RecordFirstAttempt records a first attempt, which adds Ratio retries to the
// budget.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = min(b.level+orDefault(b.Ratio, defaultRatio), b.maxLevel())
	if b.recent != nil {
		b.recent.recordFirst(now)
	}
}

// TakeRetry takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) TakeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < 1 || b.exceedsShare(now) {
		return false
	}
	b.level--
	if b.recent != nil {
		b.recent.recordRetry(now)
	}
	return true
}

// exceedsShare reports whether another retry would exceed this instance's part of the
// common budget. A part of at least one retry is never exceeded, as no more are kept.
func (b *Budget) exceedsShare(now time.Time) bool {
	if b.recent == nil || b.Burst >= 1 {
		return false
	}
	first, retries := b.recent.counts(now)
	return float64(retries+1) > float64(first)*orDefault(b.Ratio, defaultRatio)+b.Burst
}

func (b *Budget) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		if b.recent == nil {
			b.level = b.maxLevel()
		}
	} else if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*orDefault(b.MinPerSecond, defaultMinPerSecond), b.maxLevel())
	}
	b.updatedAt = now
}

func (b *Budget) maxLevel() float64 {
	if b.recent != nil {
		return max(b.Burst, 1)
	}
	return orDefault(b.Burst, defaultBurst)
}

func orDefault(v, defaultValue float64) float64 {
	if v <= 0 {
		return defaultValue
	}
	return v
}
