package membership_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

const (
	pauseSeedsEnv = "FUCHSIA_PAUSE_SEEDS"
	ciPauseSeeds  = 3
)

// await sleeps in virtual time until condition holds, and returns the time slept.
func await(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Now()
	for !condition() {
		c.Assert(time.Since(start) < limit, qt.IsTrue, qt.Commentf("condition not met within %v", limit))
		time.Sleep(step)
	}
	return time.Since(start)
}

// allViewsHave returns a condition: the view of each node has size instances that
// take new work, counting the node itself.
func allViewsHave(nodes []*node, size int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.servingCount() != size {
				return false
			}
		}
		return true
	}
}

// TestFailedInstanceRemovedWithin3s crashes instances one at a time. All other
// instances of the region must remove each within 3 s.
func TestFailedInstanceRemovedWithin3s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 3, 21)
		await(c, 30*time.Second, allViewsHave(nodes, 21))
		slowest := time.Duration(0)
		for len(nodes) > 5 {
			time.Sleep(time.Duration(rand.New(rand.NewPCG(7, uint64(len(nodes)))).IntN(1000)) * time.Millisecond)
			nodes[0].kill()
			nodes = nodes[1:]
			slowest = max(slowest, await(c, 3*time.Second, allViewsHave(nodes, len(nodes))))
			time.Sleep(10 * time.Second)
		}
		t.Logf("slowest removal took %v", slowest)
	})
}

// pauseSeeds returns the number of seeds of TestNoFalseRemoval.
func pauseSeeds(t *testing.T) uint64 {
	text := os.Getenv(pauseSeedsEnv)
	if text == "" {
		return ciPauseSeeds
	}
	seeds, err := strconv.ParseUint(text, 10, 32)
	if err != nil || seeds == 0 {
		t.Fatalf("%s=%s is not a number of seeds above 0", pauseSeedsEnv, text)
	}
	return seeds
}

// TestNoFalseRemoval drops 1% of the messages and pauses instances for 2 s.
// Every view must contain every running instance at all times. The environment
// variable FUCHSIA_PAUSE_SEEDS changes the number of seeds.
func TestNoFalseRemoval(t *testing.T) {
	for seed := range pauseSeeds(t) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l := testlink.NewSeeded(seed)
			nodes := startRegion(t.Context(), l, "cairo", 3, 20)
			await(c, 30*time.Second, allViewsHave(nodes, 20))
			l.UpdateConditions(func(s *testlink.Conditions) { s.Loss = 0.01 })
			random := rand.New(rand.NewPCG(5, seed))
			checked := make([]*membership.View, len(nodes))
			for range 16 {
				nodes[random.IntN(len(nodes))].Pause(2 * time.Second)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					for i, n := range nodes {
						if view := n.stateMachine.View(); view != checked[i] {
							c.Assert(n.servingCount(), qt.Equals, 20, qt.Commentf("seed %d, view of %s", seed, n.Instance.ID))
							checked[i] = view
						}
					}
				}
			}
		})
	}
}

// TestSeedReproducesRun guards against failures of a seed that cannot be repeated,
// because a run depends on the order of goroutines or of a map's keys: two runs with
// loss and pauses must send the same number of calls and bytes at every instance.
func TestSeedReproducesRun(t *testing.T) {
	run := func() (counters []int) {
		synctest.Test(t, func(t *testing.T) {
			l := testlink.NewSeeded(1)
			nodes := startRegion(t.Context(), l, "cairo", 3, 12)
			l.UpdateConditions(func(s *testlink.Conditions) { s.Loss = 0.01 })
			for i := range 4 {
				time.Sleep(10 * time.Second)
				nodes[i].Pause(2 * time.Second)
			}
			for _, n := range nodes {
				calls, bytes := n.TakeCounters()
				counters = append(counters, calls, bytes)
			}
		})
		return counters
	}
	qt.Assert(t, run(), qt.DeepEquals, run())
}

// TestLostConfirmingProbeDoesNotRemove guards against the removal of a live suspect
// because one confirming message was lost, or because only the direct path to the
// suspect is cut.
func TestLostConfirmingProbeDoesNotRemove(t *testing.T) {
	for name, lose := range map[string]func(from, to string, count int) bool{
		"first request":                 func(_, to string, count int) bool { return to == "suspect" && count == 1 },
		"first response and refutation": func(from, _ string, count int) bool { return from == "suspect" && count <= 2 },
		"direct path": func(from, to string, _ int) bool {
			return from == "suspect" && to == "prober" || from == "prober" && to == "suspect"
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := testlink.New()
				suspect := newNode(l, "suspect", "cairo", "cairo-0", "suspect:1")
				relay := newNode(l, "relay", "cairo", "cairo-0", "relay:1")
				prober := newNode(l, "prober", "cairo", "cairo-0", "prober:1")
				c.Assert(prober.runner.Sync(t.Context(), suspect.Instance), qt.IsNil)
				c.Assert(prober.runner.Sync(t.Context(), relay.Instance), qt.IsNil)
				prober.stateMachine.Merge(time.Now(), membership.Message{Updates: []membership.Update{{
					ID: "suspect", Region: "cairo", Incarnation: suspect.stateMachine.Incarnation(),
					State: membership.Suspect, Age: membership.SuspicionTimeout,
				}}})
				counts := make(map[string]int)
				l.UpdateConditions(func(s *testlink.Conditions) {
					s.Partitioned = func(from, to *testlink.Node) bool {
						path := from.Instance.ID + ">" + to.Instance.ID
						counts[path]++
						return lose(from.Instance.ID, to.Instance.ID, counts[path])
					}
				})
				go prober.runner.Run(t.Context())
				time.Sleep(membership.ProbeTimeout + 100*time.Millisecond)
				c.Assert(prober.hasServing("suspect"), qt.IsTrue)
			})
		})
	}
}

// TestPausedProberDoesNotRemove pauses an instance and, when it resumes, another
// one, each for 2 s. It guards against a removal because the first one counted its
// own pause as silence of the second.
func TestPausedProberDoesNotRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		prober := start(t.Context(), l, "prober", "cairo", "cairo-0", "prober:1")
		silent := newNode(l, "silent", "cairo", "cairo-0", "silent:1") // answers probes, but sends none
		await(c, 5*time.Second, func() bool { return prober.hasServing("silent") })
		for _, paused := range []*node{prober, silent} {
			paused.Pause(2 * time.Second)
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				c.Assert(prober.hasServing("silent"), qt.IsTrue)
			}
		}
		time.Sleep(5 * time.Second)
		c.Assert(prober.hasServing("silent"), qt.IsTrue)
	})
}

// TestReplacedInstance replaces a killed instance by a process with the same id and
// address, and another one by a process with a new id and the same address. Each
// other instance must see each process end, once and before its successor. News of
// the one replacement may overtake news of the other.
func TestReplacedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 1, 6)
		await(c, 30*time.Second, allViewsHave(nodes, 6))
		nodes[0].kill()
		nodes[0] = start(t.Context(), l, "cairo-0", "cairo", "cairo-0", "cairo-0:1")
		await(c, 5*time.Second, allViewsHave(nodes[:1], 6))
		nodes[1].kill()
		nodes[1] = start(t.Context(), l, "other", "cairo", "cairo-0", "cairo-1:1")
		await(c, 2*time.Second, func() bool {
			for _, n := range nodes[2:] {
				if n.hasServing("cairo-1") || !n.hasServing("other") || len(n.terminatedIDs()) < 2 {
					return false
				}
			}
			return allViewsHave(nodes, 6)()
		})
		for _, n := range nodes[2:] {
			c.Assert(n.terminatedIDs(), qt.ContentEquals, []string{"cairo-0", "cairo-1"})
			c.Assert(n.lifecycleOf("cairo-0"), qt.DeepEquals, []string{"start cairo-0", "end cairo-0", "start cairo-0"})
			c.Assert(n.lifecycleOf("cairo-1", "other"), qt.DeepEquals, []string{"start cairo-1", "end cairo-1", "start other"})
		}
	})
}

// TestJoin guards against an instance that believes it has joined without having
// received the records of its region: because a probe, meant for an earlier process
// with its id, introduced one member, or because its own address is among its seeds.
func TestJoin(t *testing.T) {
	for name, prepare := range map[string]func(joining, member *node){
		"one member known": func(joining, member *node) {
			joining.stateMachine.MergeRecords(time.Now(), member.stateMachine.Pull(time.Now(), membership.PullArgs{Regions: []string{"cairo"}}).Records[:1])
		},
		"own address as seed": func(joining, _ *node) { joining.runner.Seeds = []string{joining.Instance.ControlAddr} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := testlink.New()
				nodes := startRegion(t.Context(), l, "cairo", 1, 6)
				await(c, 30*time.Second, allViewsHave(nodes, 6))
				time.Sleep(time.Minute) // no updates are gossiped any more
				joining := newNode(l, "joining", "cairo", "cairo-0", "joining:1")
				prepare(joining, nodes[0])
				go joining.runner.Run(t.Context())
				await(c, 2*time.Second, allViewsHave([]*node{joining}, 7))
			})
		})
	}
}

// TestStopServingAndLeaveSpreadWithin1s guards against slow announcements: that an
// instance takes no new work, and that it terminates, must each spread within 1 s.
func TestStopServingAndLeaveSpreadWithin1s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 2, 16)
		await(c, 30*time.Second, allViewsHave(nodes, 16))
		stopping := nodes[0]
		stopping.runner.SetServing(t.Context(), false)
		took := await(c, time.Second, allViewsHave(nodes[1:], 15))
		t.Logf("removed from serving instances after %v", took)
		time.Sleep(5 * time.Second)
		c.Assert(nodes[1].terminatedIDs(), qt.HasLen, 0)
		stopping.runner.Leave(t.Context())
		stopping.kill()
		await(c, time.Second, func() bool { return len(nodes[1].terminatedIDs()) == 1 })
	})
}

// TestRegionPartition cuts a region off from the others for an hour. The region
// must keep its own members, and after the partition both sides must receive the
// changes of the other side without the directory.
func TestRegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		var nodes []*node
		for i := range 3 {
			nodes = append(nodes, startRegion(t.Context(), l, fmt.Sprintf("r%d", i), 2, 2)...)
		}
		await(c, time.Minute, allViewsHave(nodes, 6))
		l.UpdateConditions(func(s *testlink.Conditions) {
			s.Partitioned = func(from, to *testlink.Node) bool {
				return (from.Instance.Region == "r0") != (to.Instance.Region == "r0")
			}
		})
		nodes[1].kill()
		nodes[3].kill()
		nodes = append(nodes, start(t.Context(), l, "new", "r0", "r0-0", "new:1"))
		await(c, 30*time.Second, func() bool { return nodes[0].hasServing("new") })
		l.UpdateConditions(func(s *testlink.Conditions) { s.DirectoryAvailable = false })
		time.Sleep(time.Hour)
		c.Assert(nodes[0].stateMachine.View().Members("r0"), qt.HasLen, 2)
		l.UpdateConditions(func(s *testlink.Conditions) { s.Partitioned = nil })
		nodes = append(append(nodes[:1:1], nodes[2]), nodes[4:]...)
		took := await(c, 30*time.Second, allViewsHave(nodes, 5))
		t.Logf("views complete %v after the partition", took)
	})
}

// TestPartitionInsideRegion partitions a region into two halves. Each half must
// remove the other, and both must merge after the partition without the directory.
func TestPartitionInsideRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := testlink.New()
		nodes := startRegion(t.Context(), l, "cairo", 2, 12)
		await(c, 30*time.Second, allViewsHave(nodes, 12))
		l.UpdateConditions(func(s *testlink.Conditions) {
			s.DirectoryAvailable = false
			s.Partitioned = func(a, b *testlink.Node) bool { return a.Instance.Zone != b.Instance.Zone }
		})
		await(c, 30*time.Second, allViewsHave(nodes, 6))
		time.Sleep(time.Minute)
		l.UpdateConditions(func(s *testlink.Conditions) { s.Partitioned = nil })
		t.Logf("views complete %v after the partition", await(c, time.Minute, allViewsHave(nodes, 12)))
	})
}

// TestCallRateIndependentOfFleetSize compares the calls per second of an instance
// in fleets of 10 and 50 instances.
func TestCallRateIndependentOfFleetSize(t *testing.T) {
	rate := func(regions, size int) (rate float64) {
		synctest.Test(t, func(t *testing.T) {
			l := testlink.New()
			var nodes []*node
			for i := range regions {
				nodes = append(nodes, startRegion(t.Context(), l, fmt.Sprintf("r%d", i), 2, size)...)
			}
			await(qt.New(t), 2*time.Minute, allViewsHave(nodes, regions*size))
			time.Sleep(10 * time.Second)
			const seconds = 10
			for _, n := range nodes {
				n.TakeCounters()
			}
			time.Sleep(seconds * time.Second)
			for _, n := range nodes {
				calls, _ := n.TakeCounters()
				rate += float64(calls) / seconds / float64(len(nodes))
			}
		})
		return rate
	}
	small, large := rate(1, 10), rate(2, 25)
	t.Logf("calls per second per instance: %.2f in a fleet of 10, %.2f in a fleet of 50", small, large)
	qt.Assert(t, large < 1.1*small, qt.IsTrue)
}

// TestRendezvousMovesOnlyKeysOfRemovedID removes an id: only keys whose first id it
// was may get another first id.
func TestRendezvousMovesOnlyKeysOfRemovedID(t *testing.T) {
	c := qt.New(t)
	ids := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint(i)
		before, after := membership.Rendezvous(ids, key, 1), membership.Rendezvous(ids[1:], key, 1)
		c.Assert(before[0] == "a" || before[0] == after[0], qt.IsTrue)
	}
}

// TestZoneFailure crashes the 7 instances of a zone at once. Most of them are
// probed only by instances that have failed too, until the live instances before
// them on the ring skip suspects: they suspect 2 neighbors in 1.3 s and then probe
// the next 2. The last failed instances are removed 2.4 s after that is complete.
func TestZoneFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		nodes := startRegion(t.Context(), testlink.New(), "cairo", 3, 21)
		await(c, 30*time.Second, allViewsHave(nodes, 21))
		var rest []*node
		for i, n := range nodes {
			if i%3 == 0 {
				n.kill()
			} else {
				rest = append(rest, n)
			}
		}
		t.Logf("instances of the zone removed after %v", await(c, 8*time.Second, allViewsHave(rest, 14)))
	})
}
