package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// start is the beginning of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecideReasons(t *testing.T) {
	base := Attempt{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Remaining: time.Second}
	for _, test := range []struct {
		name   string
		modify func(*Attempt)
		want   Reason
	}{
		{"not run", func(*Attempt) {}, ReasonRetry},
		{"may have run", func(attempt *Attempt) { attempt.Outcome = outcome.MayHaveRun }, ReasonMayHaveRun},
		{"may have run, repeatable", func(attempt *Attempt) { attempt.Outcome, attempt.Repeatable = outcome.MayHaveRun, true }, ReasonRetry},
		{"duplicate", func(attempt *Attempt) { attempt.Outcome, attempt.Repeatable = outcome.Duplicate, true }, ReasonMayHaveRun},
		{"unknown", func(attempt *Attempt) { attempt.Outcome = outcome.Unknown }, ReasonMayHaveRun},
		{"response started", func(attempt *Attempt) { attempt.ResponseStarted, attempt.Repeatable = true, true }, ReasonResponseStarted},
		{"final code", func(attempt *Attempt) { attempt.Code = outcome.CodeRateLimited }, ReasonFinalCode},
		{"overloaded in this region", func(attempt *Attempt) { attempt.Code = outcome.CodeOverloaded }, ReasonFinalCode},
		{"overloaded in another region", func(attempt *Attempt) { attempt.Code, attempt.Forwarded = outcome.CodeOverloaded, true }, ReasonRetry},
		{"quarantined in another region", func(attempt *Attempt) { attempt.Code, attempt.Forwarded = outcome.CodeQuarantined, true }, ReasonFinalCode},
		{"may have run in another region", func(attempt *Attempt) {
			attempt.Outcome, attempt.Repeatable, attempt.Forwarded = outcome.MayHaveRun, true, true
		}, ReasonMayHaveRun},
		{"last attempt", func(attempt *Attempt) { attempt.Code, attempt.Number = outcome.CodeBackendRefused, defaultMaxAttempts }, ReasonMaxAttempts},
		{"cannot connect", func(attempt *Attempt) { attempt.Number = maxConnectAttempts - 1 }, ReasonRetry},
		{"last connection attempt", func(attempt *Attempt) { attempt.Number = maxConnectAttempts }, ReasonMaxAttempts},
		{"refused by a server", func(attempt *Attempt) { attempt.Code = outcome.CodeBackendRefused }, ReasonRetry},
		{"less than the minimum time", func(attempt *Attempt) { attempt.Remaining = time.Millisecond }, ReasonDeadline},
		{"less time than the expected first token", func(attempt *Attempt) { attempt.ExpectedFirstToken = 2 * time.Second }, ReasonDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempt := base
			test.modify(&attempt)
			policy := &Policy{Budget: &Budget{}, Random: rand.New(rand.NewPCG(1, 1))}
			verdict := policy.Decide(start, attempt)
			qt.Assert(t, verdict.Reason, qt.Equals, test.want)
			qt.Assert(t, verdict.Retry, qt.Equals, test.want == ReasonRetry)
		})
	}
}

// TestConnectFailuresDoNotUseBudget checks that with an exhausted budget only a
// failure to connect is followed by a retry.
func TestConnectFailuresDoNotUseBudget(t *testing.T) {
	c := qt.New(t)
	policy := &Policy{Budget: &Budget{Burst: 1e-9}}
	attempt := Attempt{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Repeatable: true, Remaining: time.Second}
	c.Assert(policy.Decide(start, attempt).Retry, qt.IsTrue)
	attempt.Outcome = outcome.MayHaveRun
	c.Assert(policy.Decide(start, attempt).Reason, qt.Equals, ReasonBudget)
	attempt.Code, attempt.Outcome = outcome.CodeBackendRefused, outcome.NotRun
	c.Assert(policy.Decide(start, attempt).Reason, qt.Equals, ReasonBudget)
}

func TestBackoffStaysWithinDeadline(t *testing.T) {
	c := qt.New(t)
	policy := &Policy{MaxAttempts: 10, Random: rand.New(rand.NewPCG(1, 1))}
	for number := 1; number < 10; number++ {
		verdict := policy.Decide(start, Attempt{Number: number, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Remaining: 400 * time.Millisecond})
		c.Assert(verdict.Retry, qt.IsTrue)
		c.Assert(verdict.After <= 100*time.Millisecond, qt.IsTrue)
	}
}

// simulateCapacityLoss simulates a region that loses half of its capacity after
// 10 s. Attempts beyond the capacity fail, but use capacity too. It returns the
// attempts per first attempt and the fraction of requests served after the loss.
func simulateCapacityLoss(policy *Policy) (attempts, servedFraction float64) {
	const (
		perSecond = 80
		capacity  = 100
		seconds   = 60
	)
	random := rand.New(rand.NewPCG(1, 1))
	failure := 0.0 // fraction of the attempts of the previous second that failed
	var attemptCount, firstAttempts, succeeded int
	for second := range seconds {
		availableCapacity := float64(capacity)
		if second >= 10 {
			availableCapacity /= 2
		}
		sent := 0
		for i := range perSecond {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
			policy.RecordFirstAttempt(now, "engines")
			for number := 1; ; number++ {
				sent++
				if random.Float64() >= failure {
					if second >= 10 {
						succeeded++
					}
					break
				}
				if !policy.Decide(now, Attempt{Number: number, Code: outcome.CodeBackendFailed, Outcome: outcome.MayHaveRun, Repeatable: true, Remaining: time.Second}).Retry {
					break
				}
			}
		}
		if second >= 10 {
			attemptCount, firstAttempts = attemptCount+sent, firstAttempts+perSecond
		}
		// A failed attempt uses half as much capacity as a served one.
		excess := max(0, float64(sent)-availableCapacity)
		failure = min(1, max(0, 1-(availableCapacity-excess/2)/float64(sent)))
	}
	return float64(attemptCount) / float64(firstAttempts), float64(succeeded) / float64(firstAttempts)
}

func TestBudgetPreventsRetryStormAfterCapacityLoss(t *testing.T) {
	c := qt.New(t)
	attempts, served := simulateCapacityLoss(&Policy{Budget: &Budget{}})
	without, servedWithout := simulateCapacityLoss(&Policy{})
	t.Logf("attempts per first attempt %.2f, without a budget %.2f; fraction served %.2f and %.2f", attempts, without, served, servedWithout)
	c.Assert(without > 1.5, qt.IsTrue)
	c.Assert(attempts < 1.15, qt.IsTrue)
	c.Assert(served > servedWithout, qt.IsTrue)
}

func TestBudgetIsAFractionOfFirstAttempts(t *testing.T) {
	c := qt.New(t)
	budget := &Budget{Ratio: 0.1, MinPerSecond: 0.5, Burst: 10}
	taken := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.RecordFirstAttempt(now)
		for budget.TakeRetry(now) {
			taken++
		}
	}
	// 0.1 times 10,000 first attempts, the burst of 10, and 0.5 per second for 10 s.
	c.Assert(taken <= 1000+10+5, qt.IsTrue)
	c.Assert(taken >= 1000, qt.IsTrue)
}

func TestStallTimeoutLeavesTimeForAnotherAttempt(t *testing.T) {
	c := qt.New(t)
	c.Assert(StallTimeout(time.Second, 20*time.Second), qt.Equals, minStallTimeout)
	c.Assert(StallTimeout(2*time.Second, 20*time.Second), qt.Equals, 8*time.Second)
	c.Assert(StallTimeout(time.Second, 8*time.Second), qt.Equals, time.Duration(0))
}
