package quarantine_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := &quarantine.Table{Instance: "entry-1", PropagationDelay: time.Second}
	digest := quarantine.Key("a secret of the deployment").Digest("desk", "/v1/chat/completions", []byte(`{"messages":[]}`))

	fmt.Println(table.RecordCrash(now, digest, quarantine.LostAttempt{ServerKey: 1, StartedAt: now}))
	now = now.Add(2 * time.Second)
	fmt.Println(table.Admit(now, digest).Action == quarantine.RunAlone)
	fmt.Println(table.EndTrial(now, digest, quarantine.TrialCrashed))
	fmt.Println(table.Admit(now, digest).Action == quarantine.RefuseQuarantined)
	// Output:
	// suspect
	// true
	// quarantined
	// true
}
