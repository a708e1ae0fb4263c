package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// TestPriorityPrecedesTokens guards against an urgent organization that waits behind others
// because it was served more tokens, and against a less urgent caller that loses its turn
// among its equals by the tokens of a more urgent one.
func TestPriorityPrecedesTokens(t *testing.T) {
	c := qt.New(t)
	bounds := DefaultBounds()
	bounds.Entries = 6
	s := NewScheduler(testConfig(bounds), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	enqueue := func(caller string, priority, tokens int) *Entry {
		e, refusal := s.Enqueue(now, Request{Caller: caller, Rank: catalog.Urgent, Priority: priority, Tokens: tokens, StartBy: now.Add(time.Second)})
		c.Assert(refusal, qt.IsNil)
		return e
	}
	running := enqueue("large", 0, 100000)
	c.Assert(s.Pop(now), qt.Equals, running)
	b1, b2, a1 := enqueue("b", 2, 10), enqueue("b", 2, 10), enqueue("a", 2, 10)
	mixed, urgent1, urgent2 := enqueue("b", 1, 10), enqueue("large", 0, 100000), enqueue("large", 0, 100000)
	// The queue is full: an entry of the least urgent priority makes room.
	urgent3 := enqueue("large", 0, 100000)
	refused := s.TakeRefused(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Entry, qt.Equals, b2)
	_, refusal := s.Enqueue(now, Request{Caller: "c", Rank: catalog.Urgent, Priority: 3, StartBy: now.Add(time.Second)})
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Reason, qt.Equals, ReasonQueueFull)
	want := []*Entry{urgent1, urgent2, urgent3, mixed, b1, a1}
	for i, e := range want {
		s.Release(now, running, 100000)
		running = s.Pop(now)
		c.Assert(running, qt.Equals, e, qt.Commentf("position %d", i))
	}
}

// TestLargeOrganizationLeavesOthersTheirShare guards against an organization at 7 times its
// usual load that takes slots from 15 small ones, while these need most slots and while they
// need more than there are.
func TestLargeOrganizationLeavesOthersTheirShare(t *testing.T) {
	c := qt.New(t)
	const slots, hold, small = 32, 2 * time.Second, 15
	// The arrivals of two runs are random. In an hour, an organization's numbers of served
	// requests differ by 2% by chance; in five minutes by 6%.
	const length = time.Hour
	// As on the hosting platform: an organization may fill the queue.
	bounds := Bounds{Entries: 1024, CallerEntries: 1024, Bytes: 32 << 20, CallerBytes: 32 << 20}
	served := func(rate, largeRate float64) []float64 {
		var sources []source
		for i := range small {
			sources = append(sources, source{caller: fmt.Sprintf("small-%d", i), rank: catalog.Urgent, rate: rate, hold: hold})
		}
		if largeRate > 0 {
			sources = append(sources, source{caller: "large", rank: catalog.Urgent, rate: largeRate, hold: hold})
		}
		var started []float64
		for _, tally := range simulate(slots, length, bounds, sources) {
			started = append(started, float64(tally.started))
		}
		return started
	}
	for _, rate := range []float64{0.9, 1.3} { // of 16 requests per second in all
		without, with := served(rate, 0), served(rate, 7*2)
		for i := range small {
			c.Check(with[i] >= 0.9*without[i], qt.IsTrue, qt.Commentf("organization %d at %v/s: %v with the large one, %v without", i, rate, with[i], without[i]))
		}
	}
}
