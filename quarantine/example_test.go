package quarantine_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := &quarantine.Table{Instance: "entry-1", Spread: time.Second}
	digest := quarantine.Key("a secret of the deployment").Digest("desk", "/v1/chat/completions", []byte(`{"messages":[]}`))

	fmt.Println(table.Crashed(now, digest, quarantine.Lost{Server: 1, Begun: now}))
	now = now.Add(2 * time.Second)
	fmt.Println(table.Admit(now, digest).Action == quarantine.RunAlone)
	fmt.Println(table.Done(now, digest, quarantine.TrialCrashed))
	fmt.Println(table.Admit(now, digest).Action == quarantine.RefuseQuarantined)
	// Output:
	// suspect
	// true
	// quarantined
	// true
}
