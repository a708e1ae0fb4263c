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

func TestPolicyRefusesWhatMustNotRunTwice(t *testing.T) {
	base := Try{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Remaining: time.Second}
	for _, test := range []struct {
		name   string
		change func(*Try)
		want   Reason
	}{
		{"not run", func(*Try) {}, ReasonRetry},
		{"may have run", func(try *Try) { try.Outcome = outcome.MayHaveRun }, ReasonUnsafe},
		{"may have run, repeatable", func(try *Try) { try.Outcome, try.Repeatable = outcome.MayHaveRun, true }, ReasonRetry},
		{"duplicate", func(try *Try) { try.Outcome, try.Repeatable = outcome.Duplicate, true }, ReasonUnsafe},
		{"unknown", func(try *Try) { try.Outcome = outcome.Unknown }, ReasonUnsafe},
		{"answer started", func(try *Try) { try.Started, try.Repeatable = true, true }, ReasonStarted},
		{"final code", func(try *Try) { try.Code = outcome.CodeRateLimited }, ReasonFinal},
		{"overloaded here", func(try *Try) { try.Code = outcome.CodeOverloaded }, ReasonFinal},
		{"overloaded region", func(try *Try) { try.Code, try.Forwarded = outcome.CodeOverloaded, true }, ReasonRetry},
		{"quarantined in region", func(try *Try) { try.Code, try.Forwarded = outcome.CodeQuarantined, true }, ReasonFinal},
		{"ran in region", func(try *Try) { try.Outcome, try.Repeatable, try.Forwarded = outcome.MayHaveRun, true, true }, ReasonUnsafe},
		{"last attempt", func(try *Try) { try.Code, try.Number = outcome.CodeBackendRefused, defaultMaxTries }, ReasonAttempts},
		{"cannot connect", func(try *Try) { try.Number = maxConnects - 1 }, ReasonRetry},
		{"last connection", func(try *Try) { try.Number = maxConnects }, ReasonAttempts},
		{"refused by a server", func(try *Try) { try.Code = outcome.CodeBackendRefused }, ReasonRetry},
		{"no time", func(try *Try) { try.Remaining = time.Millisecond }, ReasonDeadline},
		{"not enough time", func(try *Try) { try.Expected = 2 * time.Second }, ReasonDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			try := base
			test.change(&try)
			policy := &Policy{Budget: &Budget{}, Random: rand.New(rand.NewPCG(1, 1))}
			verdict := policy.Decide(start, try)
			qt.Assert(t, verdict.Reason, qt.Equals, test.want)
			qt.Assert(t, verdict.Retry, qt.Equals, test.want == ReasonRetry)
		})
	}
}

// TestBudgetIsForWhatServersWereAsked has an empty budget.
func TestBudgetIsForWhatServersWereAsked(t *testing.T) {
	c := qt.New(t)
	policy := &Policy{Budget: &Budget{Burst: 1e-9}}
	try := Try{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Repeatable: true, Remaining: time.Second}
	c.Assert(policy.Decide(start, try).Retry, qt.IsTrue)
	try.Outcome = outcome.MayHaveRun
	c.Assert(policy.Decide(start, try).Reason, qt.Equals, ReasonBudget)
	try.Code, try.Outcome = outcome.CodeBackendRefused, outcome.NotRun
	c.Assert(policy.Decide(start, try).Reason, qt.Equals, ReasonBudget)
}

func TestBackoffStaysWithinDeadline(t *testing.T) {
	c := qt.New(t)
	policy := &Policy{MaxTries: 10, Random: rand.New(rand.NewPCG(1, 1))}
	for number := 1; number < 10; number++ {
		verdict := policy.Decide(start, Try{Number: number, Code: outcome.CodeBackendFailed, Outcome: outcome.NotRun, Remaining: 400 * time.Millisecond})
		c.Assert(verdict.Retry, qt.IsTrue)
		c.Assert(verdict.After <= 100*time.Millisecond, qt.IsTrue)
	}
}

// storm runs a region that loses half of its capacity after 10 s: a server
// fails what is beyond its capacity, and works on it in vain. It returns the
// attempts for each first try and the share served after the loss.
func storm(policy *Policy) (attempts, served float64) {
	const (
		perSecond = 80
		capacity  = 100
		seconds   = 60
	)
	random := rand.New(rand.NewPCG(1, 1))
	failure := 0.0 // part of the attempts of the last second that failed
	var tries, first, good int
	for second := range seconds {
		room := float64(capacity)
		if second >= 10 {
			room /= 2
		}
		sent := 0
		for i := range perSecond {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
			policy.FirstTry(now, "engines")
			for number := 1; ; number++ {
				sent++
				if random.Float64() >= failure {
					if second >= 10 {
						good++
					}
					break
				}
				if !policy.Decide(now, Try{Number: number, Code: outcome.CodeBackendFailed, Outcome: outcome.MayHaveRun, Repeatable: true, Remaining: time.Second}).Retry {
					break
				}
			}
		}
		if second >= 10 {
			tries, first = tries+sent, first+perSecond
		}
		// What fails has used capacity too: half of what a served one does.
		excess := max(0, float64(sent)-room)
		failure = min(1, max(0, 1-(room-excess/2)/float64(sent)))
	}
	return float64(tries) / float64(first), float64(good) / float64(first)
}

func TestNoStormAfterLossOfHalfTheCapacity(t *testing.T) {
	c := qt.New(t)
	attempts, served := storm(&Policy{Budget: &Budget{}})
	without, servedWithout := storm(&Policy{})
	t.Logf("attempts for each first try %.2f, without a budget %.2f; served %.2f and %.2f", attempts, without, served, servedWithout)
	c.Assert(without > 1.5, qt.IsTrue)
	c.Assert(attempts < 1.15, qt.IsTrue)
	c.Assert(served > servedWithout, qt.IsTrue)
}

func TestBudgetIsAShareOfFirstTries(t *testing.T) {
	c := qt.New(t)
	budget := &Budget{Share: 0.1, Reserve: 0.5, Burst: 10}
	taken := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.FirstTry(now)
		for budget.Take(now) {
			taken++
		}
	}
	// A tenth of 10,000, the burst, and 0.5 a second for 10 s.
	c.Assert(taken <= 1000+10+5, qt.IsTrue)
	c.Assert(taken >= 1000, qt.IsTrue)
}

func TestStallLimitLeavesTimeForAnotherTry(t *testing.T) {
	c := qt.New(t)
	c.Assert(StallLimit(time.Second, 20*time.Second), qt.Equals, minStall)
	c.Assert(StallLimit(2*time.Second, 20*time.Second), qt.Equals, 8*time.Second)
	c.Assert(StallLimit(time.Second, 8*time.Second), qt.Equals, time.Duration(0))
}
