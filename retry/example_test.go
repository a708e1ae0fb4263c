package retry_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/retry"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := &retry.Policy{Budget: &retry.Budget{Ratio: 0.1, Burst: 1}}
	attempt := retry.Attempt{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.MayHaveRun, Remaining: time.Second}
	fmt.Println(policy.Decide(now, attempt).Reason)
	attempt.Repeatable = true
	fmt.Println(policy.Decide(now, attempt).Reason)
	fmt.Println(policy.Decide(now, attempt).Reason)
	// Output:
	// may_have_run
	// retry
	// budget
}
