// Package retry decides whether a failed request is tried again. A try is
// repeated only if it is known not to have run or may be repeated, if there is
// time left for it, and if the budget of retries allows it. The package does
// no I/O; time and randomness are passed in.
package retry

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// Try is a try that has failed.
type Try struct {
	Number     int             // 1 for the first try
	Outcome    outcome.Outcome // of this try
	Code       outcome.Code
	Repeatable bool // the work may run more than once
	Started    bool // the caller has received a part of the answer
	Forwarded  bool // it was sent to another region
	Paid       bool // its retry has been taken from the budget already
	Service    string
	Runs       int           // tries of the request that may have run
	MaxRuns    int           // bound on Runs; 0 for none
	Remaining  time.Duration // until the deadline
	Expected   time.Duration // time to first token that the next try needs, if known
}

// Reason says why a try is repeated or not.
type Reason string

// The reasons of verdicts.
const (
	ReasonRetry    Reason = "retry"
	ReasonFinal    Reason = "final_code"     // another try would end the same
	ReasonUnsafe   Reason = "may_have_run"   // it may have run and must not run twice
	ReasonStarted  Reason = "answer_started" // a part of the answer has been delivered
	ReasonAttempts Reason = "attempts"       // the bound on tries
	ReasonDeadline Reason = "deadline"       // no time is left for another try
	ReasonBudget   Reason = "budget"         // too many retries for the present traffic
)

// Verdict is the decision on one failed try.
type Verdict struct {
	Retry  bool
	Reason Reason
	After  time.Duration // wait before the next try
}

// Defaults of a Policy.
const (
	defaultMaxTries = 3
	maxConnects     = 10                    // servers tried while none can be reached
	minRemaining    = 10 * time.Millisecond // less cannot be used
	backoffStep     = 50 * time.Millisecond // from the second retry on
	stallFactor     = 4                     // times the expected time to first token
	minStall        = 5 * time.Second       // an answer that begins earlier is not stalled
	stallReserve    = 0.5                   // part of the remaining time kept for the next try
)

// Policy decides on retries. It is safe for concurrent use if its Random is.
// Zero fields stand for defaults.
type Policy struct {
	MaxTries int
	Budget   *Budget        // nil for no bound
	Budgets  *Budgets       // one for each service, in place of Budget; nil for none
	Random   routing.Random // jitter; nil for none
}

// FirstTry counts a first try at a service.
func (p *Policy) FirstTry(now time.Time, service string) {
	if b := p.budget(service); b != nil {
		b.FirstTry(now)
	}
}

// Take uses one retry at a service, and reports false if there is none.
func (p *Policy) Take(now time.Time, service string) bool {
	b := p.budget(service)
	return b == nil || b.Take(now)
}

func (p *Policy) budget(service string) *Budget {
	if p.Budgets != nil {
		return p.Budgets.Of(service)
	}
	return p.Budget
}

// Decide returns the verdict on a failed try. A retry is taken from the
// budget, unless it is free.
func (p *Policy) Decide(now time.Time, try Try) Verdict {
	if reason := p.refusal(try); reason != "" {
		return Verdict{Reason: reason}
	}
	if !free(try) && !p.Take(now, try.Service) {
		return Verdict{Reason: ReasonBudget}
	}
	return Verdict{Retry: true, Reason: ReasonRetry, After: p.backoff(try)}
}

// free reports whether the failed try asked no server of this region for
// anything: it was sent to another region, or could not connect. A retry of it
// is the first request that a server sees.
func free(try Try) bool {
	return try.Paid || try.Forwarded || connectionFailed(try)
}

// connectionFailed reports whether a server of this region could not be
// reached.
func connectionFailed(try Try) bool {
	return !try.Forwarded && try.Outcome == outcome.NotRun && try.Code == outcome.CodeBackendFailed
}

// refusal returns why a try must not be repeated, or "".
func (p *Policy) refusal(try Try) Reason {
	switch {
	case try.Started:
		return ReasonStarted
	case !retryableCode(try):
		return ReasonFinal
	case !safe(try):
		return ReasonUnsafe
	case try.Number >= p.triesFor(try), try.MaxRuns > 0 && try.Runs >= try.MaxRuns:
		return ReasonAttempts
	case try.Remaining < max(try.Expected, minRemaining):
		return ReasonDeadline
	}
	return ""
}

// safe reports whether another try cannot make the request run twice where it
// must not. A request that ran in another region has been retried there, where
// what is suspected of it is known.
func safe(try Try) bool {
	if try.Outcome == outcome.NotRun {
		return true
	}
	return try.Outcome == outcome.MayHaveRun && try.Repeatable && !try.Forwarded
}

// retryableCode reports whether another server may answer differently. A
// region that refused for a reason of its own leaves the request to the one
// that it came from.
func retryableCode(try Try) bool {
	switch try.Code {
	case outcome.CodeBackendFailed, outcome.CodeBackendRefused:
		return true
	case outcome.CodeOverloaded, outcome.CodeDraining, outcome.CodeNotReady, outcome.CodeNoBackend:
		return try.Forwarded
	}
	return false
}

// backoff returns the wait before the next try. The first retry goes to
// another server at once.
func (p *Policy) backoff(try Try) time.Duration {
	if try.Number < 2 || p.Random == nil {
		return 0
	}
	longest := min(backoffStep<<(try.Number-2), try.Remaining/4)
	return time.Duration(float64(longest) * float64(p.Random.Uint64()>>11) / (1 << 53))
}

// StallLimit returns how long a repeatable try may go without the beginning of
// an answer before it is canceled in favor of another one. expected is the
// expected time to first token. It returns 0 if too little time remains for
// another try.
func StallLimit(expected, remaining time.Duration) time.Duration {
	limit := max(minStall, stallFactor*expected)
	if float64(limit) > stallReserve*float64(remaining) {
		return 0
	}
	return limit
}

// triesFor returns the bound on tries after the given one. Where a connection
// failed, more servers may be tried: the request has asked nothing of any yet.
func (p *Policy) triesFor(try Try) int {
	if connectionFailed(try) {
		return max(maxConnects, p.maxTries())
	}
	return p.maxTries()
}

func (p *Policy) maxTries() int {
	if p.MaxTries <= 0 {
		return defaultMaxTries
	}
	return p.MaxTries
}

// Defaults of a Budget.
const (
	defaultShare   = 0.1
	defaultReserve = 0.5 // retries per second
	defaultBurst   = 10.0
)

// Budget bounds retries to a share of the first tries, so that a region that
// has lost a part of its capacity is not asked for more than before. A small
// reserve lets an instance with little traffic retry. It is safe for
// concurrent use. Zero fields stand for defaults.
type Budget struct {
	Share   float64 // retries for each first try
	Reserve float64 // retries per second without any traffic
	Burst   float64 // retries that may be saved up

	mu    sync.Mutex
	level float64
	at    time.Time // zero: full
}

// FirstTry counts a first try.
func (b *Budget) FirstTry(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.level = min(b.level+orDefault(b.Share, defaultShare), b.burst())
}

// Take uses one retry, and reports false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *Budget) fill(now time.Time) {
	if b.at.IsZero() {
		b.level = b.burst()
	} else if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*orDefault(b.Reserve, defaultReserve), b.burst())
	}
	b.at = now
}

func (b *Budget) burst() float64 { return orDefault(b.Burst, defaultBurst) }

func orDefault(v, otherwise float64) float64 {
	if v <= 0 {
		return otherwise
	}
	return v
}
