package share

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMembersThatForgotEachOtherCountEachOtherAgain guards against a limit that both
// halves of a region use in full after a partition so long that each half has forgotten
// the other one: states of forgotten members were dropped together with the news that
// the receiver is forgotten too, so that neither half started its shares anew.
func TestMembersThatForgotEachOtherCountEachOtherAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(4)
	n.tables[0].SetDemand(limitKey, NewDemand(1.0))
	n.tables[3].SetDemand(limitKey, NewDemand(1.0))
	n.runRounds(c, 10, 1)
	for i, t := range n.tables {
		for j, name := range n.names {
			if (i < 2) != (j < 2) {
				t.Forget(name)
			}
		}
	}
	n.runRounds(c, 10, 2)
	n.runRounds(c, 30, 1)
	for _, table := range n.tables {
		c.Check(table.Members(), qt.Equals, 4)
	}
	c.Check(n.sum() > 0.99, qt.IsTrue)
}
