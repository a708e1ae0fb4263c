package share

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMemberChangesAreReported guards against a table whose counted members cannot
// be read afterwards: each change is reported once, states in between are not.
func TestMemberChangesAreReported(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(2)
	var changes []string
	n.tables[0].config.Observe = func(m *MemberChange) {
		changes = append(changes, fmt.Sprint(m.Kind, " ", m.Instance, " ", m.Members, " ", m.Departed))
	}
	n.runRounds(c, 20, 1)
	c.Check(changes, qt.DeepEquals, []string{"joined entry-1 2 0"})
	n.tables[1].Forget("entry-0")
	n.runRounds(c, 10, 1)
	n.tables[0].Forget("entry-1")
	n.runRounds(c, 1, 1)
	c.Check(changes, qt.DeepEquals, []string{"joined entry-1 2 0", "self_forgotten entry-0 2 0", "forgotten entry-1 2 1"})
}
