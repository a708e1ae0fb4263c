package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// TestLongRequestStartsFirst guards against long answers that wait behind short ones and
// are cut at their deadline: what they lose by waiting they cannot make up for.
func TestLongRequestStartsFirst(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler(testConfig(DefaultBounds()), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	enqueue := func(caller string, duration time.Duration) *Entry {
		e, refusal := s.Enqueue(now, Request{Caller: caller, Rank: catalog.Batch, StartBy: now.Add(time.Second), Duration: duration})
		c.Assert(refusal, qt.IsNil)
		return e
	}
	running := enqueue("a", 0)
	c.Assert(s.Pop(now), qt.Equals, running)
	unknown, short, long := enqueue("a", 0), enqueue("a", time.Second), enqueue("a", 9*time.Second)
	canceled := enqueue("a", 5*time.Second)
	c.Assert(s.Cancel(now, canceled), qt.IsTrue)
	other := enqueue("b", 0)
	var order []*Entry
	for e := running; e != nil; e = s.Pop(now) {
		order = append(order, e)
		s.Release(now, e, 1)
	}
	c.Assert(order, qt.HasLen, 5)
	position := make(map[*Entry]int)
	for n, e := range order {
		position[e] = n
	}
	c.Check(position[long] < position[short] && position[short] < position[unknown], qt.IsTrue)
	// The callers have used the same tokens when the slot becomes free, so that one long
	// request comes first, and then the other caller.
	c.Check([]int{position[long], position[other]}, qt.DeepEquals, []int{1, 2})
	// A request that others pass does not wait beyond its StartBy.
	c.Assert(s.Pop(now), qt.IsNil)
	running = enqueue("a", 0)
	c.Assert(s.Pop(now), qt.Equals, running)
	late := enqueue("a", 0)
	now = now.Add(500 * time.Millisecond)
	long = enqueue("a", 9*time.Second)
	now = now.Add(600 * time.Millisecond)
	refused := s.TakeRefused(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Entry, qt.Equals, late)
	s.Release(now, running, 1)
	c.Check(s.Pop(now), qt.Equals, long)
}
