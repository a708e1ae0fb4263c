package ratelimit_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/share"
)

func ExampleLimiter() {
	shares := share.NewTable(share.DefaultConfig("limits", "entry-a"))
	shares.SetMembers([]string{"entry-a"}) // the only instance
	limiter := ratelimit.New(shares, 1)
	service := &catalog.Service{Name: "drafting-desk", Limits: catalog.Limits{InFlight: 1}}
	now := time.Now()
	first, _ := limiter.Admit(now, service, "press", 120)
	_, refusal := limiter.Admit(now, service, "press", 120)
	fmt.Println("second refused by", refusal.Limit)
	first.Done(140) // the actual number of tokens
	_, refusal = limiter.Admit(now, service, "press", 120)
	fmt.Println("third refused:", refusal != nil)
	// Output:
	// second refused by in_flight
	// third refused: false
}
