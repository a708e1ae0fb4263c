package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

func ExampleScheduler() {
	var config admission.Config
	config.Ranks[catalog.Urgent] = admission.RankConfig{MinShare: 0.2, Bounds: admission.DefaultBounds()}
	config.Ranks[catalog.Batch] = admission.RankConfig{Bounds: admission.DefaultBounds()}
	s := admission.NewScheduler(config, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	startBy := now.Add(time.Minute)
	for _, request := range []admission.Request{
		{Caller: "press", Rank: catalog.Batch, Tokens: 900, StartBy: startBy},
		{Caller: "press", Rank: catalog.Urgent, Tokens: 100, StartBy: startBy},
		{Caller: "press", Rank: catalog.Urgent, Tokens: 100, StartBy: startBy},
		{Caller: "ministry", Rank: catalog.Urgent, Tokens: 100, StartBy: startBy},
	} {
		if _, refusal := s.Enqueue(now, request); refusal != nil {
			fmt.Println(refusal)
		}
	}
	for entry := s.Pop(now); entry != nil; entry = s.Pop(now) {
		fmt.Println(entry.Rank, entry.Caller)
		now = now.Add(100 * time.Millisecond)
		s.Release(now, entry, entry.Tokens)
	}
	// Output:
	// urgent press
	// urgent ministry
	// urgent press
	// batch press
}

func ExampleQueue() {
	service := &catalog.Service{Name: "drafting-desk"}
	service.Ranks[catalog.Urgent] = catalog.RankPolicy{Target: 2 * time.Second, MinShare: 0.2}
	q := admission.NewQueue(admission.DefaultBounds(), 1)
	q.SetCapacity(service, admission.Capacity{Slots: 8, Fraction: 1, Members: 1})
	ticket, refusal := q.Acquire(context.Background(), service, admission.Request{
		Caller: "press", Rank: catalog.Urgent, Tokens: 120, StartBy: time.Now().Add(2 * time.Second),
	})
	if refusal != nil {
		fmt.Println(refusal)
		return
	}
	fmt.Println("running:", q.StatsOf(service).Running)
	ticket.Release(140) // tokens that the request used
	fmt.Println("running:", q.StatsOf(service).Running)
	// Output:
	// running: 1
	// running: 0
}
