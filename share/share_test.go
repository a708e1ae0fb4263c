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

// network carries states between tables in virtual time, with loss, delay and
// doubled messages.
type network struct {
	now      time.Time
	random   *rand.Rand
	loss     float64
	maxDelay time.Duration
	tables   []*Table
	names    []string
	cut      func(from, to int) bool
	silent   map[int]bool
	flying   []flight
}

type flight struct {
	at       time.Time
	from, to int
	state    []byte
}

var limit = KeyOf("limit")

func newNetwork(members int) *network {
	n := &network{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 5)), maxDelay: 100 * time.Millisecond,
		cut: func(int, int) bool { return false }, silent: make(map[int]bool),
	}
	for range members {
		n.join()
	}
	return n
}

// join starts a member that the others learn of by the directory.
func (n *network) join() {
	name := fmt.Sprintf("entry-%d", len(n.tables))
	config := DefaultConfig("test", name)
	config.Clock = func() time.Time { return n.now }
	n.tables = append(n.tables, NewTable(config))
	n.names = append(n.names, name)
	n.list()
}

// list updates every member from the directory.
func (n *network) list() {
	var live []string
	for i, name := range n.names {
		if !n.silent[i] {
			live = append(live, name)
		}
	}
	for _, t := range n.tables {
		t.SetMembers(live)
	}
}

// round lets each member send its state once and delivers what arrives.
func (n *network) round() {
	for i, t := range n.tables {
		if n.silent[i] {
			continue
		}
		state := t.State()
		for range fanout {
			n.send(i, n.random.IntN(len(n.tables)), state)
		}
	}
	n.now = n.now.Add(roundTime)
	kept := n.flying[:0]
	for _, f := range n.flying {
		if f.at.After(n.now) {
			kept = append(kept, f)
		} else if !n.silent[f.to] {
			_ = n.tables[f.to].Merge(n.names[f.from], f.state)
		}
	}
	n.flying = kept
}

func (n *network) send(from, to int, state []byte) {
	if from == to || n.cut(from, to) {
		return
	}
	for copies := 1 + n.random.IntN(2); copies > 0; copies-- {
		if n.random.Float64() >= n.loss {
			delay := time.Duration(n.random.Int64N(int64(n.maxDelay)))
			n.flying = append(n.flying, flight{n.now.Add(delay), from, to, state})
		}
	}
}

// sum returns the fractions that all members use; a silent one uses its last.
func (n *network) sum() float64 {
	total := 0.0
	for _, t := range n.tables {
		total += t.Fraction(limit)
	}
	return total
}

func (n *network) rounds(c *qt.C, count int, bound float64) {
	for range count {
		n.round()
		if sum := n.sum(); sum > bound+tolerance {
			c.Fatalf("after %v the parts add up to %.4f, bound %.4f", n.now.Sub(time.Unix(1000, 0)), sum, bound)
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.rounds(c, 10, 1)
	n.tables[0].SetDemand(limit, Want(1.0))
	n.rounds(c, 10, 1)
	t.Logf("10 s after demand at one instance of 7: %.3f", n.tables[0].Fraction(limit))
	c.Check(n.tables[0].Fraction(limit) >= 0.7, qt.IsTrue)
	n.tables[0].SetDemand(limit, Demand{})
	n.tables[1].SetDemand(limit, Demand{Levels: [2]Level{{Want: 5, Weight: 1}}})
	n.tables[2].SetDemand(limit, Demand{Levels: [2]Level{{Want: 5, Weight: 3}}})
	n.rounds(c, 15, 1)
	t.Logf("15 s after it moved to two of weight 1 and 3: %.3f and %.3f", n.tables[1].Fraction(limit), n.tables[2].Fraction(limit))
	c.Check(n.tables[1].Fraction(limit) >= 0.18, qt.IsTrue)
	c.Check(n.tables[2].Fraction(limit) >= 0.5, qt.IsTrue)
}

// A flood of the second level at one member leaves the first level of another
// what it wants; a flood of the first leaves the second its reserve; and at
// each level a member with more callers gets more, whatever one caller sends.
func TestLevelsAndWeights(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(4)
	set := func(member int, first, second Level) {
		n.tables[member].SetDemand(limit, Demand{Levels: [2]Level{first, second}, Reserve: 0.2})
	}
	set(0, Level{}, Level{Want: 100, Weight: 1})
	set(1, Level{Want: 0.4, Weight: 5}, Level{})
	set(2, Level{}, Level{Want: 5, Weight: 19})
	n.rounds(c, 30, 1)
	t.Logf("flood of the second level: flood %.3f, first level elsewhere %.3f, 19 callers elsewhere %.3f",
		n.tables[0].Fraction(limit), n.tables[1].Fraction(limit), n.tables[2].Fraction(limit))
	c.Check(n.tables[1].Fraction(limit) >= 0.35, qt.IsTrue)
	c.Check(n.tables[2].Fraction(limit) >= 0.35, qt.IsTrue)
	c.Check(n.tables[0].Fraction(limit) <= 0.15, qt.IsTrue)
	set(1, Level{Want: 50, Weight: 1}, Level{})
	set(2, Level{}, Level{})
	n.rounds(c, 30, 1)
	t.Logf("flood of the first level: flood %.3f, second level elsewhere %.3f",
		n.tables[1].Fraction(limit), n.tables[0].Fraction(limit))
	c.Check(n.tables[1].Fraction(limit) >= 0.6, qt.IsTrue)
	c.Check(n.tables[0].Fraction(limit) >= 0.2, qt.IsTrue)
}

func TestSumStaysWithinLimitUnderLossAndDelay(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(16)
	n.loss, n.maxDelay = 0.4, 5*time.Second
	least := 1.0
	for i := range 300 {
		if i%3 == 0 {
			n.tables[n.random.IntN(16)].SetDemand(limit, Want(float64(n.random.IntN(1000))/1000))
		}
		n.rounds(c, 1, 1)
		if i > 10 {
			least = min(least, n.sum())
		}
	}
	t.Logf("least sum of the parts: %.3f", least)
	c.Check(least >= 0.5, qt.IsTrue)
}

func TestLostMemberKeepsItsShareUntilForgotten(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.tables[0].SetDemand(limit, Want(5.0))
	n.rounds(c, 20, 1)
	// Member 0 passes on to member 1 what the others gave it.
	n.tables[0].SetDemand(limit, Want(2.0))
	n.tables[1].SetDemand(limit, Want(4.0))
	n.rounds(c, 20, 1)
	lost := n.tables[0].Fraction(limit)
	n.silent[0] = true
	n.list()
	living := func() float64 { return n.sum() - n.tables[0].Fraction(limit) }
	for range 30 {
		n.round()
		c.Assert(living()+lost <= 1+tolerance, qt.IsTrue)
	}
	// The members do not forget it at the same time.
	for _, i := range []int{2, 3, 4, 5, 6, 1} {
		n.tables[i].Forget(n.names[0])
		c.Check(living() <= 1+tolerance, qt.IsTrue, qt.Commentf("the living hold %.3f", living()))
		if i%2 == 0 {
			n.round()
		}
	}
	for range 20 {
		n.round()
		c.Check(living() <= 1+tolerance, qt.IsTrue, qt.Commentf("the living hold %.3f", living()))
	}
	t.Logf("part of the lost member %.3f; sum of the others after it was forgotten %.3f", lost, living())
	c.Check(living() > 0.99, qt.IsTrue)
}

func TestPartitionKeepsTheSum(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(8)
	n.tables[0].SetDemand(limit, Want(1.0))
	n.tables[7].SetDemand(limit, Want(1.0))
	n.rounds(c, 20, 1)
	n.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
	n.tables[0].SetDemand(limit, Want(0.0))
	n.tables[1].SetDemand(limit, Want(10.0))
	n.rounds(c, 60, 1)
	t.Logf("within one side the part moved: %.3f and %.3f", n.tables[0].Fraction(limit), n.tables[1].Fraction(limit))
	c.Check(n.tables[1].Fraction(limit) >= 0.3, qt.IsTrue)
	n.cut = func(int, int) bool { return false }
	n.rounds(c, 30, 1)
}

func TestIsolatedMemberUsesNoMoreThanAnEqualPart(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.tables[0].SetDemand(limit, Want(1.0))
	n.rounds(c, 20, 1)
	c.Assert(n.tables[0].Fraction(limit) > 0.5, qt.IsTrue)
	n.cut = func(from, to int) bool { return from == 0 || to == 0 }
	n.rounds(c, 12, 1)
	c.Check(n.tables[0].Fraction(limit), qt.Equals, 1.0/7)
	// The others forget it, although it runs.
	for i := 1; i < 7; i++ {
		n.tables[i].Forget(n.names[0])
		n.tables[i].SetDemand(limit, Want(1.0))
	}
	n.rounds(c, 30, 1+1.0/7)
	c.Check(n.sum() > 1, qt.IsTrue)
	n.cut = func(int, int) bool { return false }
	n.rounds(c, 8, 1+1.0/7)
	n.rounds(c, 30, 1)
	c.Check(n.tables[0].Members(), qt.Equals, 7)
}

// A new member knows the others from the directory before they know of it.
func TestNewMemberTakesNoMoreThanTheFloorAtFirst(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(6)
	n.tables[0].SetDemand(limit, Want(1.0))
	n.rounds(c, 20, 1)
	n.cut = func(from, _ int) bool { return from == 6 }
	n.join()
	n.tables[6].SetDemand(limit, Want(1.0))
	for i := range 6 {
		n.tables[i].SetMembers(n.names[:6])
	}
	n.rounds(c, 4, 1+0.25/7)
	n.cut = func(int, int) bool { return false }
	n.list()
	n.rounds(c, 20, 1)
	t.Logf("the new member's part after 24 s: %.3f", n.tables[6].Fraction(limit))
	c.Check(n.tables[6].Fraction(limit) >= 0.3, qt.IsTrue)
}

func TestAloneAndUnknown(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1)
	c.Check(n.tables[0].Fraction(limit), qt.Equals, 1.0)
	unknown := NewTable(DefaultConfig("test", "entry"))
	c.Check(unknown.Fraction(limit), qt.Equals, 1.0/16)
}

func TestMalformedStateIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(2)
	n.tables[0].SetDemand(limit, Want(0.05))
	state := n.tables[0].State()
	for cut := range len(state) {
		if err := n.tables[1].Merge("entry-0", state[:cut]); cut < 9 {
			c.Check(err, qt.IsNotNil)
		}
	}
	c.Check(n.tables[1].Merge("entry-0", []byte{9, 9}), qt.IsNotNil)
}

// BenchmarkState reports the size of a state in a region of 16, the memory of a
// limit at each member, and the time to take over a state.
func BenchmarkState(b *testing.B) {
	for _, limits := range []int{10, 100, 1000, 2000} {
		b.Run(fmt.Sprintf("limits=%d", limits), func(b *testing.B) {
			before := heap()
			n := newNetwork(16)
			for i := range limits {
				n.tables[i%16].SetDemand(KeyOf(fmt.Sprint(i)), Want(0.5))
			}
			for range 100 {
				n.round()
			}
			n.flying = nil
			memory := float64(heap()-before) / float64(limits*len(n.tables))
			var bytes int
			b.ResetTimer()
			for range b.N {
				state := n.tables[0].State()
				if len(state) > exchange.MaxStateBytes {
					b.Fatal("state exceeds its bound")
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
