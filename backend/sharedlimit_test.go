package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareThatIsHeldAgain guards against a burst that an instance earned before it lost
// its share, and would use after it has acquired it again.
func TestShareThatIsHeldAgain(t *testing.T) {
	c := qt.New(t)
	begin := time.Now()
	server := NewServer(Info{ID: "i-1"})
	limit := RequestLimit{Rate: 1, Burst: 1, Since: begin}
	c.Assert(server.LimitAllows(begin.Add(5*time.Second), limit), qt.IsTrue)
	limit.Since = begin.Add(8 * time.Second) // no call between the two tenures
	c.Assert(server.LimitAllows(begin.Add(8500*time.Millisecond), limit), qt.IsFalse)
	c.Assert(server.LimitAllows(begin.Add(9*time.Second), limit), qt.IsTrue)
}
