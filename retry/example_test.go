package retry_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/retry"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := &retry.Policy{Budget: &retry.Budget{Share: 0.1, Burst: 1}}
	try := retry.Try{Number: 1, Code: outcome.CodeBackendFailed, Outcome: outcome.MayHaveRun, Remaining: time.Second}
	fmt.Println(policy.Decide(now, try).Reason)
	try.Repeatable = true
	fmt.Println(policy.Decide(now, try).Reason)
	fmt.Println(policy.Decide(now, try).Reason)
	// Output:
	// may_have_run
	// retry
	// budget
}
