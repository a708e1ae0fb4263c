package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func cairoInstances(count int) []Instance {
	var instances []Instance
	for i := range count {
		id := fmt.Sprintf("entry-%d", i)
		instances = append(instances, Instance{ID: id, URL: "http://" + id, Region: "cairo", Zone: "cairo-a"})
	}
	return instances
}

func (s *Selector) first(instances []Instance, caller string) string {
	return s.Select(instances, Query{Region: "cairo", Zone: "cairo-a", Caller: caller}).Instances[0].ID
}

func TestCallersAreSpread(t *testing.T) {
	const callers = 10_000
	for _, count := range []int{6, 7, 16} {
		got := make(map[string]int)
		s := &Selector{}
		for i := range callers {
			got[s.first(cairoInstances(count), fmt.Sprint("10.0.0.", i))]++
		}
		maxCallers := 0
		for _, n := range got {
			maxCallers = max(maxCallers, n)
		}
		ratio := float64(maxCallers*count) / callers
		t.Logf("%d instances: the one with the most callers has %.3f times the average", count, ratio)
		qt.Assert(t, ratio <= 1.3, qt.IsTrue)
	}
}

func TestLoadOrderHysteresis(t *testing.T) {
	c := qt.New(t)
	loads := map[string]float64{}
	s := &Selector{Load: func(id string) (float64, bool) { return loads[id], true }}
	callersOfFirst := func() int {
		n := 0
		for i := range 1000 {
			if s.first(cairoInstances(4), fmt.Sprint(i)) == "entry-0" {
				n++
			}
		}
		return n
	}
	balanced := callersOfFirst()
	loads["entry-0"] = 0.5
	c.Assert(callersOfFirst() < balanced, qt.IsTrue)
	loads["entry-0"] = overloadEnterLoad
	c.Assert(callersOfFirst(), qt.Equals, 0)
	loads = map[string]float64{"entry-0": 0.7, "entry-1": 0.7, "entry-2": 0.7, "entry-3": 0.7}
	c.Assert(callersOfFirst(), qt.Equals, 0)
	loads["entry-0"] = 0.6
	c.Assert(callersOfFirst() > 0, qt.IsTrue)
}

func TestNearestFirstAndPermittedOnly(t *testing.T) {
	c := qt.New(t)
	instances := []Instance{
		{ID: "far", Region: "alex", Zone: "alex-a"},
		{ID: "region", Region: "cairo", Zone: "cairo-b"},
		{ID: "zone", Region: "cairo", Zone: "cairo-a"},
	}
	q := Query{Region: "cairo", Zone: "cairo-a", Caller: "a"}
	ids := func() (ids []string) {
		for _, i := range (&Selector{}).Select(instances, q).Instances {
			ids = append(ids, i.ID)
		}
		return ids
	}
	c.Assert(ids(), qt.DeepEquals, []string{"zone", "region", "far"})
	q.Permits = func(region string) bool { return region == "alex" }
	c.Assert(ids(), qt.DeepEquals, []string{"far"})
}

func TestLoadsStateAndMerge(t *testing.T) {
	c := qt.New(t)
	own := 0.61
	sender, receiver := &Loads{Self: "a", LocalLoad: func() float64 { return own }}, &Loads{Self: "b"}
	c.Assert(receiver.Merge("a", sender.State()), qt.IsNil)
	load, known := receiver.Of("a")
	c.Assert(load, qt.Equals, 0.6)
	c.Assert(known, qt.IsTrue)
	state := sender.State()
	own = 0.62
	c.Assert(sender.State(), qt.DeepEquals, state)
	own = 7
	c.Assert(sender.State(), qt.DeepEquals, []byte{maxLoadPercent})
	c.Assert(receiver.Merge("a", []byte{maxLoadPercent + 1}), qt.IsNotNil)
	receiver.Forget("a")
	_, known = receiver.Of("a")
	c.Assert(known, qt.IsFalse)
}

func BenchmarkSelect(b *testing.B) {
	s := &Selector{Load: func(string) (float64, bool) { return 0.5, true }}
	for _, count := range []int{7, 350} {
		instances := cairoInstances(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Select(instances, Query{Region: "cairo", Zone: "cairo-a", Caller: "a"})
			}
		})
	}
}
