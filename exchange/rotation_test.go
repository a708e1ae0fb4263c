package exchange

import (
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRotation picks among changing candidates and checks the number of picks
// between two picks of the same candidate. With unchanged candidates, as many
// picks as there are candidates must pick each of them.
func TestRotation(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var r rotation
	c.Assert(r.pick(random, nil), qt.Equals, -1)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	last := make(map[string]int)
	for turn := range 200 {
		if turn%10 == 9 {
			names = append(names[1:], strconv.Itoa(turn))
		}
		last[names[r.pick(random, names)]] = turn
		for _, name := range names {
			if at, ok := last[name]; ok {
				c.Assert(turn-at < 2*len(names), qt.IsTrue)
			}
		}
	}
	for range names {
		last[names[r.pick(random, names)]] = 200
	}
	for _, name := range names {
		c.Assert(last[name], qt.Equals, 200)
	}
}
