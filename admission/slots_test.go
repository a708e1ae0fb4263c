package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCapacity(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name                  string
		in                    Capacity
		share, burstAllowance int
	}{
		{"share", Capacity{Slots: 72, Fraction: 0.25, Members: 7}, 18, 0},
		{"at least one", Capacity{Slots: 8, Fraction: 0.01, Members: 16}, 1, 0},
		{"no slots", Capacity{Fraction: 1, Members: 1}, 0, 0},
		{"equal fraction of the free slots", Capacity{Slots: 72, Free: 60, Fraction: 0.05, Members: 6}, 4, 10},
		{"single instance has no burst allowance", Capacity{Slots: 72, Free: 72, Fraction: 1, Members: 1}, 72, 0},
		{"negative free slots", Capacity{Slots: 8, Free: -3, Fraction: 1, Members: 1}, 8, 0},
	} {
		c.Check(test.in.Share(), qt.Equals, test.share, qt.Commentf(test.name))
		c.Check(test.in.BurstAllowance(), qt.Equals, test.burstAllowance, qt.Commentf(test.name))
	}
}
