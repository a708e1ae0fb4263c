package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stop ends the process of a member.
func (n *network) stop(i int) { n.stopped[i] = true }

// replace starts a new process of a member that has ended.
func (n *network) replace(i int) {
	config := DefaultConfig("test", n.names[i])
	config.Clock = func() time.Time { return n.now }
	n.tables[i] = NewTable(config)
	n.tables[i].SetMembers(n.names)
	n.stopped[i] = false
}

// runningSum returns the sum of the fractions of the members that run, less the units
// that a member owes because it passed on units of a member that ended.
func (n *network) runningSum() float64 {
	total := 0.0
	for i, t := range n.tables {
		if !n.stopped[i] {
			total += t.Fraction(limitKey)
		}
	}
	return total
}

// usedSum returns the sum of the fractions that the members that run may use. One that
// owes units uses none.
func (n *network) usedSum() float64 {
	total := 0.0
	for i, t := range n.tables {
		if !n.stopped[i] {
			total += max(t.Fraction(limitKey), 0)
		}
	}
	return total
}

// TestReplacedMemberIsCountedOnce guards against the refusal of callers within their
// limits while instances are restarted: for SettleTime a replaced member was counted
// next to its successor, which left each of three members a quarter of a limit.
func TestReplacedMemberIsCountedOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(3)
	n.runRounds(c, 10, 1)
	n.stop(0)
	for i := 1; i < 3; i++ {
		n.tables[i].Forget(n.names[0])
		c.Check(n.tables[i].Members(), qt.Equals, 3)
	}
	n.round()
	n.replace(0)
	for range 10 {
		n.round()
		for i := 1; i < 3; i++ {
			c.Assert(n.tables[i].Members(), qt.Equals, 3, qt.Commentf("member %d, %v after the start of the successor", i, n.now.Sub(n.tables[0].started)))
			c.Check(n.tables[i].Fraction(limitKey), qt.Equals, 1.0/3)
		}
		c.Check(n.runningSum() <= 1+tolerance, qt.IsTrue)
	}
	c.Check(n.tables[0].Fraction(limitKey), qt.Equals, 1.0/3)
}

// TestDepartedMemberIsCountedAgainOnceItsSuccessorIsNotListed guards against a limit
// that is exceeded because the directory lists a member that has ended for a moment.
func TestDepartedMemberIsCountedAgainOnceItsSuccessorIsNotListed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(3)
	n.runRounds(c, 10, 1)
	n.stop(0)
	n.tables[1].Forget(n.names[0])
	n.tables[1].SetMembers(n.names)
	c.Check(n.tables[1].Members(), qt.Equals, 3)
	n.tables[1].SetMembers(n.names[1:])
	c.Check(n.tables[1].Members(), qt.Equals, 3)
	n.now = n.now.Add(n.tables[1].config.SettleTime)
	c.Check(n.tables[1].Members(), qt.Equals, 2)
}

// TestSumStaysWithinLimitWhileMembersAreReplaced guards against a limit that is
// exceeded while members are restarted, one or two at once, when each of the others
// learns at another time that one has ended and that its successor runs. The sum may
// exceed the limit by the floor of each new member.
func TestSumStaysWithinLimitWhileMembersAreReplaced(t *testing.T) {
	t.Parallel()
	checkSumWhileMembersAreReplaced(t, (*network).runningSum)
}

// TestUsedSumStaysWithinLimitWhileMembersAreReplaced guards against the same where
// owed units would hide it: a member that owes units uses none, but those to which it
// passed them on use them.
func TestUsedSumStaysWithinLimitWhileMembersAreReplaced(t *testing.T) {
	t.Parallel()
	checkSumWhileMembersAreReplaced(t, (*network).usedSum)
}

func checkSumWhileMembersAreReplaced(t *testing.T, sum func(*network) float64) {
	for atOnce := 1; atOnce <= 2; atOnce++ {
		t.Run(fmt.Sprint(atOnce), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			highest := 0.0
			for seed := range uint64(200) {
				n := newNetwork(4)
				n.random = rand.New(rand.NewPCG(seed, 7))
				n.loss, n.maxDelay = 0.2, time.Second
				n.runRounds(c, 8, 1)
				for range 12 {
					highest = max(highest, n.replaceRandomMembers(c, sum, seed, atOnce))
				}
			}
			t.Logf("highest sum of the fractions: %.4f", highest)
		})
	}
}

// replaceRandomMembers restarts random members while demand changes, and returns the
// highest sum of the fractions.
func (n *network) replaceRandomMembers(c *qt.C, sumOf func(*network) float64, seed uint64, count int) float64 {
	const rounds = 10
	var replacements []*replacement
	for _, member := range n.random.Perm(len(n.tables))[:count] {
		replacements = append(replacements, n.newReplacement(member))
	}
	highest := 0.0
	for round := range rounds {
		for _, r := range replacements {
			r.advance(n, round)
		}
		n.tables[n.random.IntN(len(n.tables))].SetDemand(limitKey, NewDemand(float64(n.random.IntN(1000))/1000))
		n.round()
		sum := sumOf(n)
		highest = max(highest, sum)
		if bound := 1 + 0.25*float64(count)/float64(len(n.tables)); sum > bound+tolerance {
			c.Fatalf("seed %d, round %d: the fractions add up to %.4f, bound %.4f", seed, round, sum, bound)
		}
	}
	return highest
}

// replacement is the restart of a member: the others learn of it at different times,
// within SettleTime of each other.
type replacement struct {
	member      int
	ended       uint64 // incarnation
	startRound  int
	forgetRound []int // by member
}

// newReplacement stops a member.
func (n *network) newReplacement(member int) *replacement {
	r := &replacement{member: member, ended: n.tables[member].incarnation, startRound: 1 + n.random.IntN(4)}
	for range n.tables {
		r.forgetRound = append(r.forgetRound, n.random.IntN(min(r.startRound+2, 5)))
	}
	n.stop(member)
	return r
}

func (r *replacement) advance(n *network, round int) {
	if round == r.startRound {
		n.replace(r.member)
	}
	for i, t := range n.tables {
		if i == r.member || n.stopped[i] {
			continue
		}
		// A member that has a state of the successor forgets nobody.
		m := t.members[n.tables[r.member].selfID]
		if r.forgetRound[i] == round && m != nil && m.incarnation == r.ended {
			t.Forget(n.names[r.member])
		}
		if round == r.startRound+3 {
			_ = t.Merge(n.names[r.member], n.tables[r.member].State())
		}
	}
}

// TestMemberOwesNothingAfterItsLenderDeparts guards against a limit that is exceeded
// because a member lends on what it has borrowed: once its lender departs, it owes
// units that a third member uses.
func TestMemberOwesNothingAfterItsLenderDeparts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(8)
	demandOnlyAt := func(member int) {
		for i := range n.tables {
			n.tables[i].SetDemand(limitKey, NewDemand(0))
		}
		n.tables[member].SetDemand(limitKey, NewDemand(1))
		n.runRounds(c, 20, 1)
	}
	demandOnlyAt(0)
	demandOnlyAt(1)
	demandOnlyAt(2)
	for lender := 3; lender < len(n.tables); lender++ {
		n.stop(lender)
		for i := range 3 {
			n.tables[i].Forget(n.names[lender])
			held := n.tables[i].Share(limitKey).HeldUnits
			c.Check(held >= 0, qt.IsTrue, qt.Commentf("member %d holds %d units after %d of its lenders departed", i, held, lender-2))
		}
	}
	c.Check(n.usedSum() <= 1+tolerance, qt.IsTrue)
}
