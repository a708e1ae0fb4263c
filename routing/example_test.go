package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	registry := backend.NewRegistry()
	registry.Replace([]backend.Info{
		{ID: "busy", Addr: "10.0.0.1:8000", Service: "desk", State: backend.StateLive},
		{ID: "idle", Addr: "10.0.0.2:8000", Service: "desk", State: backend.StateLive},
		{ID: "leaving", Addr: "10.0.0.3:8000", Service: "desk", State: backend.StateDraining},
	})
	for _, server := range registry.All() {
		load := backend.Load{Slots: 8, ReceivedAt: now}
		if server.ID == "busy" {
			load.Running, load.Waiting = 8, 4
		}
		server.SetLoad(load)
	}
	router := &routing.Router{
		Region:   "cairo",
		Registry: registry,
		Filters:  []routing.Filter{routing.AcceptingFilter{}},
		Scorer:   routing.FirstTokenScorer{},
		Now:      func() time.Time { return now },
		Random:   rand.New(rand.NewPCG(1, 1)),
	}
	decision := router.Decide(&routing.Request{
		Service:      &catalog.Service{Name: "desk"},
		Work:         catalog.Work{Name: "enquiry", Repeatable: true},
		PromptTokens: 1000,
	})
	fmt.Println(decision.Server.ID, decision.Reason, decision.Cost)
	// Output: idle least_cost 250ms
}
