package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// await sleeps in virtual time until condition holds, and returns how long.
func await(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Now()
	for !condition() {
		c.Assert(time.Since(start) < limit, qt.IsTrue, qt.Commentf("not within %v", limit))
		time.Sleep(step)
	}
	return time.Since(start)
}

// allKnow reports whether each node knows size instances.
func allKnow(nodes []*node, size int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.size() != size {
				return false
			}
		}
		return true
	}
}

// TestFailureIsSeenInZone ends instances without a word, one at a time. Each
// must be removed by its whole region within 3 s.
func TestFailureIsSeenInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 3, 21)
		await(c, 30*time.Second, allKnow(nodes, 21))
		slowest := time.Duration(0)
		for len(nodes) > 5 {
			time.Sleep(time.Duration(rand.New(rand.NewPCG(7, uint64(len(nodes)))).IntN(1000)) * time.Millisecond)
			nodes[0].kill()
			nodes = nodes[1:]
			slowest = max(slowest, await(c, 3*time.Second, allKnow(nodes, len(nodes))))
			time.Sleep(10 * time.Second)
		}
		t.Logf("slowest removal %v", slowest)
	})
}

// TestNoFalseRemoval loses 1% of the messages and pauses instances for 2 s.
// No view may ever lack a running instance.
func TestNoFalseRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 3, 20)
		await(c, 30*time.Second, allKnow(nodes, 20))
		l.Set(func(s *testlink.State) { s.Loss = 0.01 })
		random := rand.New(rand.NewPCG(5, 6))
		for range 16 {
			nodes[random.IntN(len(nodes))].Pause(2 * time.Second)
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				for _, n := range nodes {
					c.Assert(n.size(), qt.Equals, 20, qt.Commentf("%s", n.Instance.ID))
				}
			}
		}
	})
}

// TestReplacedInstance starts a successor under the id and address of a killed
// instance, and one with another id under the address of another one.
func TestReplacedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 1, 6)
		await(c, 30*time.Second, allKnow(nodes, 6))
		nodes[0].kill()
		nodes[0] = start(t.Context(), l, "cairo-0", "cairo", "cairo-0", "cairo-0:1")
		await(c, 5*time.Second, allKnow(nodes[:1], 6))
		nodes[1].kill()
		nodes[1] = start(t.Context(), l, "other", "cairo", "cairo-0", "cairo-1:1")
		await(c, 2*time.Second, func() bool {
			for _, n := range nodes[2:] {
				if n.knows("cairo-1") || !n.knows("other") {
					return false
				}
			}
			return allKnow(nodes, 6)()
		})
		for _, n := range nodes[2:] {
			c.Assert(n.forgotten(), qt.DeepEquals, []string{"cairo-0", "cairo-1"})
		}
	})
}

// TestLeaving must be known at once, and the end of the instance too.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 2, 16)
		await(c, 30*time.Second, allKnow(nodes, 16))
		leaver := nodes[0]
		leaver.runner.SetServing(t.Context(), false)
		took := await(c, time.Second, allKnow(nodes[1:], 15))
		t.Logf("leaving known after %v", took)
		time.Sleep(5 * time.Second)
		c.Assert(nodes[1].forgotten(), qt.HasLen, 0)
		leaver.runner.End(t.Context())
		leaver.kill()
		await(c, time.Second, func() bool { return len(nodes[1].forgotten()) == 1 })
	})
}

// TestRegionCutOff cuts a region off for an hour. It keeps its own members,
// and both sides learn what changed meanwhile once the link is back, without
// the directory.
func TestRegionCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		var nodes []*node
		for i := range 3 {
			nodes = append(nodes, startRegion(t.Context(), l, fmt.Sprintf("r%d", i), 2, 2)...)
		}
		await(c, time.Minute, allKnow(nodes, 6))
		l.Set(func(s *testlink.State) {
			s.Cut = func(from, to *testlink.Node) bool {
				return (from.Instance.Region == "r0") != (to.Instance.Region == "r0")
			}
		})
		nodes[1].kill()
		nodes[3].kill()
		nodes = append(nodes, start(t.Context(), l, "new", "r0", "r0-0", "new:1"))
		await(c, 30*time.Second, func() bool { return nodes[0].knows("new") })
		l.Set(func(s *testlink.State) { s.Listed = false })
		time.Sleep(time.Hour)
		c.Assert(nodes[0].machine.View().Members("r0"), qt.HasLen, 2)
		l.Set(func(s *testlink.State) { s.Cut = nil })
		nodes = append(append(nodes[:1:1], nodes[2]), nodes[4:]...)
		took := await(c, 30*time.Second, allKnow(nodes, 5))
		t.Logf("healed after %v", took)
	})
}

// TestHalvesOfRegion cuts a region in two, which both go on, and heals it
// without the directory.
func TestHalvesOfRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 2, 12)
		await(c, 30*time.Second, allKnow(nodes, 12))
		l.Set(func(s *testlink.State) {
			s.Listed = false
			s.Cut = func(a, b *testlink.Node) bool { return a.Instance.Zone != b.Instance.Zone }
		})
		await(c, 30*time.Second, allKnow(nodes, 6))
		time.Sleep(time.Minute)
		l.Set(func(s *testlink.State) { s.Cut = nil })
		t.Logf("healed after %v", await(c, time.Minute, allKnow(nodes, 12)))
	})
}

// TestMessagesDoNotGrow compares the calls of an instance at two sizes.
func TestMessagesDoNotGrow(t *testing.T) {
	rate := func(regions, size int) (rate float64) {
		synctest.Test(t, func(t *testing.T) {
			l := testlink.New()
			var nodes []*node
			for i := range regions {
				nodes = append(nodes, startRegion(t.Context(), l, fmt.Sprintf("r%d", i), 2, size)...)
			}
			await(qt.New(t), 2*time.Minute, allKnow(nodes, regions*size))
			time.Sleep(10 * time.Second)
			const seconds = 10
			for _, n := range nodes {
				n.Cost()
			}
			time.Sleep(seconds * time.Second)
			for _, n := range nodes {
				calls, _ := n.Cost()
				rate += float64(calls) / seconds / float64(len(nodes))
			}
		})
		return rate
	}
	small, large := rate(1, 10), rate(2, 25)
	t.Logf("calls a second of an instance: %.2f of 10, %.2f of 50", small, large)
	qt.Assert(t, large < 1.1*small, qt.IsTrue)
}

// TestTopMovesOnlyWhatChanged checks rendezvous ranks.
func TestTopMovesOnlyWhatChanged(t *testing.T) {
	c := qt.New(t)
	ids := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint(i)
		before, after := membership.Top(ids, key, 1), membership.Top(ids[1:], key, 1)
		c.Assert(before[0] == "a" || before[0] == after[0], qt.IsTrue)
	}
}

// TestZoneIsLost ends the 7 instances of a zone at once. Most are watched by
// failed ones only: the ring closes over 2 in 1.3 s, and the last are removed
// 2.4 s after it has closed.
func TestZoneIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		nodes := startRegion(t.Context(), testlink.New(), "cairo", 3, 21)
		await(c, 30*time.Second, allKnow(nodes, 21))
		var rest []*node
		for i, n := range nodes {
			if i%3 == 0 {
				n.kill()
			} else {
				rest = append(rest, n)
			}
		}
		t.Logf("zone removed after %v", await(c, 8*time.Second, allKnow(rest, 14)))
	})
}
