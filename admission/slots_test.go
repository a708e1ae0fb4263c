package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestInstanceSlots(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name string
		in   Capacity
		want int
	}{
		{"share", Capacity{Slots: 72, Fraction: 0.25, Members: 7}, 18},
		{"at least one", Capacity{Slots: 8, Fraction: 0.01, Members: 16}, 1},
		{"none", Capacity{Fraction: 1, Members: 1}, 0},
		{"borrows a part of the free slots", Capacity{Slots: 72, Free: 60, Fraction: 0.05, Running: 10, Members: 6}, 20},
		{"never more than all", Capacity{Slots: 8, Free: 8, Fraction: 0.5, Running: 6, Members: 1}, 8},
	} {
		c.Check(InstanceSlots(test.in), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
