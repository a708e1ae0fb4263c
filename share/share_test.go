package share

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const (
	roundTime = time.Second
	fanout    = 3 // peers that a member sends to each round
	tolerance = 1e-9
)

// network delivers states between tables in virtual time. It loses, delays and
// duplicates messages.
type network struct {
	now      time.Time
	random   *rand.Rand
	loss     float64
	maxDelay time.Duration
	tables   []*Table
	names    []string
	dropped  func(from, to int) bool // reports whether messages are lost in this direction
	stopped  map[int]bool            // members that neither send nor receive
	inFlight []delivery
}

type delivery struct {
	arrivesAt time.Time
	from, to  int
	state     []byte
}

var limitKey = KeyOf("limit")

func newNetwork(members int) *network {
	n := &network{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 5)), maxDelay: 100 * time.Millisecond,
		dropped: func(int, int) bool { return false }, stopped: make(map[int]bool),
	}
	for range members {
		n.join()
	}
	return n
}

// join starts a member and adds it to the directory of all members.
func (n *network) join() {
	name := fmt.Sprintf("entry-%d", len(n.tables))
	config := DefaultConfig("test", name)
	config.Clock = func() time.Time { return n.now }
	n.tables = append(n.tables, NewTable(config))
	n.names = append(n.names, name)
	n.updateMembers()
}

// updateMembers sets the running members at every table, as the directory does.
func (n *network) updateMembers() {
	var running []string
	for i, name := range n.names {
		if !n.stopped[i] {
			running = append(running, name)
		}
	}
	for _, t := range n.tables {
		t.SetMembers(running)
	}
}

// round sends the state of each running member to fanout random members, advances
// the time and delivers the messages that have arrived by then.
func (n *network) round() {
	for i, t := range n.tables {
		if n.stopped[i] {
			continue
		}
		state := t.State()
		for range fanout {
			n.send(i, n.random.IntN(len(n.tables)), state)
		}
	}
	n.now = n.now.Add(roundTime)
	kept := n.inFlight[:0]
	for _, d := range n.inFlight {
		if d.arrivesAt.After(n.now) {
			kept = append(kept, d)
		} else if !n.stopped[d.to] {
			_ = n.tables[d.to].Merge(n.names[d.from], d.state)
		}
	}
	n.inFlight = kept
}

func (n *network) send(from, to int, state []byte) {
	if from == to || n.dropped(from, to) {
		return
	}
	for copies := 1 + n.random.IntN(2); copies > 0; copies-- {
		if n.random.Float64() >= n.loss {
			delay := time.Duration(n.random.Int64N(int64(n.maxDelay)))
			n.inFlight = append(n.inFlight, delivery{n.now.Add(delay), from, to, state})
		}
	}
}

// sum returns the sum of the fractions of all members. Stopped members are included
// with the units that they held last.
func (n *network) sum() float64 {
	total := 0.0
	for _, t := range n.tables {
		total += t.Fraction(limitKey)
	}
	return total
}

func (n *network) runRounds(c *qt.C, count int, bound float64) {
	for range count {
		n.round()
		if sum := n.sum(); sum > bound+tolerance {
			c.Fatalf("after %v the fractions add up to %.4f, bound %.4f", n.now.Sub(time.Unix(1000, 0)), sum, bound)
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.runRounds(c, 10, 1)
	n.tables[0].SetDemand(limitKey, NewDemand(1.0))
	n.runRounds(c, 10, 1)
	t.Logf("fraction of the only one of 7 members with demand, after 10 s: %.3f", n.tables[0].Fraction(limitKey))
	c.Check(n.tables[0].Fraction(limitKey) >= 0.7, qt.IsTrue)
	n.tables[0].SetDemand(limitKey, Demand{})
	n.tables[1].SetDemand(limitKey, Demand{Levels: [2]Level{{Demand: 5, Weight: 1}}})
	n.tables[2].SetDemand(limitKey, Demand{Levels: [2]Level{{Demand: 5, Weight: 3}}})
	n.runRounds(c, 15, 1)
	t.Logf("fractions of the members with weights 1 and 3, 15 s after demand moved to them: %.3f and %.3f", n.tables[1].Fraction(limitKey), n.tables[2].Fraction(limitKey))
	c.Check(n.tables[1].Fraction(limitKey) >= 0.18, qt.IsTrue)
	c.Check(n.tables[2].Fraction(limitKey) >= 0.5, qt.IsTrue)
}

// TestLevelsAndWeights checks that excessive second-level demand at one member does
// not reduce the share of first-level demand at another, and that excessive
// first-level demand does not reduce the reserve of the second level. Within a
// level, a member with more callers receives more, no matter how much one caller
// sends.
func TestLevelsAndWeights(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(4)
	set := func(member int, first, second Level) {
		n.tables[member].SetDemand(limitKey, Demand{Levels: [2]Level{first, second}, Reserve: 0.2})
	}
	set(0, Level{}, Level{Demand: 100, Weight: 1})
	set(1, Level{Demand: 0.4, Weight: 5}, Level{})
	set(2, Level{}, Level{Demand: 5, Weight: 19})
	n.runRounds(c, 30, 1)
	t.Logf("excessive second-level demand: its member %.3f, member with first-level demand %.3f, member with 19 callers %.3f",
		n.tables[0].Fraction(limitKey), n.tables[1].Fraction(limitKey), n.tables[2].Fraction(limitKey))
	c.Check(n.tables[1].Fraction(limitKey) >= 0.35, qt.IsTrue)
	c.Check(n.tables[2].Fraction(limitKey) >= 0.35, qt.IsTrue)
	c.Check(n.tables[0].Fraction(limitKey) <= 0.15, qt.IsTrue)
	set(1, Level{Demand: 50, Weight: 1}, Level{})
	set(2, Level{}, Level{})
	n.runRounds(c, 30, 1)
	t.Logf("excessive first-level demand: its member %.3f, member with second-level demand %.3f",
		n.tables[1].Fraction(limitKey), n.tables[0].Fraction(limitKey))
	c.Check(n.tables[1].Fraction(limitKey) >= 0.6, qt.IsTrue)
	c.Check(n.tables[0].Fraction(limitKey) >= 0.2, qt.IsTrue)
}

func TestSumStaysWithinLimitUnderLossAndDelay(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(16)
	n.loss, n.maxDelay = 0.4, 5*time.Second
	least := 1.0
	for i := range 300 {
		if i%3 == 0 {
			n.tables[n.random.IntN(16)].SetDemand(limitKey, NewDemand(float64(n.random.IntN(1000))/1000))
		}
		n.runRounds(c, 1, 1)
		if i > 10 {
			least = min(least, n.sum())
		}
	}
	t.Logf("lowest sum of the fractions: %.3f", least)
	c.Check(least >= 0.5, qt.IsTrue)
}

func TestStoppedMemberKeepsItsShareUntilForgotten(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.tables[0].SetDemand(limitKey, NewDemand(5.0))
	n.runRounds(c, 20, 1)
	// Member 0 transfers to member 1 units that it received from the others.
	n.tables[0].SetDemand(limitKey, NewDemand(2.0))
	n.tables[1].SetDemand(limitKey, NewDemand(4.0))
	n.runRounds(c, 20, 1)
	lost := n.tables[0].Fraction(limitKey)
	n.stopped[0] = true
	n.updateMembers()
	runningSum := func() float64 { return n.sum() - n.tables[0].Fraction(limitKey) }
	for range 30 {
		n.round()
		c.Assert(runningSum()+lost <= 1+tolerance, qt.IsTrue)
	}
	// The members forget member 0 at different times.
	for _, i := range []int{2, 3, 4, 5, 6, 1} {
		n.tables[i].Forget(n.names[0])
		c.Check(runningSum() <= 1+tolerance, qt.IsTrue, qt.Commentf("sum of the running members: %.3f", runningSum()))
		if i%2 == 0 {
			n.round()
		}
	}
	for range 20 {
		n.round()
		c.Check(runningSum() <= 1+tolerance, qt.IsTrue, qt.Commentf("sum of the running members: %.3f", runningSum()))
	}
	t.Logf("fraction of the stopped member %.3f; sum of the others after they forgot it %.3f", lost, runningSum())
	c.Check(runningSum() > 0.99, qt.IsTrue)
}

func TestSumStaysWithinLimitDuringPartition(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(8)
	n.tables[0].SetDemand(limitKey, NewDemand(1.0))
	n.tables[7].SetDemand(limitKey, NewDemand(1.0))
	n.runRounds(c, 20, 1)
	n.dropped = func(from, to int) bool { return (from < 4) != (to < 4) }
	n.tables[0].SetDemand(limitKey, NewDemand(0.0))
	n.tables[1].SetDemand(limitKey, NewDemand(10.0))
	n.runRounds(c, 60, 1)
	t.Logf("fractions of members 0 and 1 after demand moved between them within one side of the partition: %.3f and %.3f", n.tables[0].Fraction(limitKey), n.tables[1].Fraction(limitKey))
	c.Check(n.tables[1].Fraction(limitKey) >= 0.3, qt.IsTrue)
	n.dropped = func(int, int) bool { return false }
	n.runRounds(c, 30, 1)
}

func TestIsolatedMemberUsesAtMostAnEqualShare(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.tables[0].SetDemand(limitKey, NewDemand(1.0))
	n.runRounds(c, 20, 1)
	c.Assert(n.tables[0].Fraction(limitKey) > 0.5, qt.IsTrue)
	n.dropped = func(from, to int) bool { return from == 0 || to == 0 }
	n.runRounds(c, 12, 1)
	c.Check(n.tables[0].Fraction(limitKey), qt.Equals, 1.0/7)
	// The others forget member 0 although it still runs.
	for i := 1; i < 7; i++ {
		n.tables[i].Forget(n.names[0])
		n.tables[i].SetDemand(limitKey, NewDemand(1.0))
	}
	n.runRounds(c, 30, 1+1.0/7)
	c.Check(n.sum() > 1, qt.IsTrue)
	n.dropped = func(int, int) bool { return false }
	n.runRounds(c, 8, 1+1.0/7)
	n.runRounds(c, 30, 1)
	c.Check(n.tables[0].Members(), qt.Equals, 7)
}

// TestNewMemberUsesAtMostTheFloorAtFirst covers a new member that counts the others
// before they count it.
func TestNewMemberUsesAtMostTheFloorAtFirst(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(6)
	n.tables[0].SetDemand(limitKey, NewDemand(1.0))
	n.runRounds(c, 20, 1)
	n.dropped = func(from, _ int) bool { return from == 6 }
	n.join()
	n.tables[6].SetDemand(limitKey, NewDemand(1.0))
	for i := range 6 {
		n.tables[i].SetMembers(n.names[:6])
	}
	n.runRounds(c, 4, 1+0.25/7)
	n.dropped = func(int, int) bool { return false }
	n.updateMembers()
	n.runRounds(c, 20, 1)
	t.Logf("fraction of the new member after 24 s: %.3f", n.tables[6].Fraction(limitKey))
	c.Check(n.tables[6].Fraction(limitKey) >= 0.3, qt.IsTrue)
}

func TestFractionOfOneMemberAndOfUnknownMembership(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1)
	c.Check(n.tables[0].Fraction(limitKey), qt.Equals, 1.0)
	unknown := NewTable(DefaultConfig("test", "entry"))
	c.Check(unknown.Fraction(limitKey), qt.Equals, 1.0/16)
}

func TestMalformedStateIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(2)
	n.tables[0].SetDemand(limitKey, NewDemand(0.05))
	state := n.tables[0].State()
	for cut := range len(state) {
		if err := n.tables[1].Merge("entry-0", state[:cut]); cut < 9 {
			c.Check(err, qt.IsNotNil)
		}
	}
	c.Check(n.tables[1].Merge("entry-0", []byte{9, 9}), qt.IsNotNil)
}

// BenchmarkState reports the size of a state in a region of 16 members, the memory
// per limit at each member, and the time to encode and merge a state.
func BenchmarkState(b *testing.B) {
	for _, limits := range []int{10, 100, 1000, 2000} {
		b.Run(fmt.Sprintf("limits=%d", limits), func(b *testing.B) {
			before := heap()
			n := newNetwork(16)
			for i := range limits {
				n.tables[i%16].SetDemand(KeyOf(fmt.Sprint(i)), NewDemand(0.5))
			}
			for range 100 {
				n.round()
			}
			n.inFlight = nil
			memory := float64(heap()-before) / float64(limits*len(n.tables))
			var bytes int
			b.ResetTimer()
			for range b.N {
				state := n.tables[0].State()
				if len(state) > exchange.MaxStateBytes {
					b.Fatal("state exceeds exchange.MaxStateBytes")
				}
				bytes += len(state)
				_ = n.tables[1].Merge(n.names[0], state)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/state")
			b.ReportMetric(memory, "B/limit")
		})
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
