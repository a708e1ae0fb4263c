package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func cairo(count int) []Instance {
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
			got[s.first(cairo(count), fmt.Sprint("10.0.0.", i))]++
		}
		most := 0
		for _, n := range got {
			most = max(most, n)
		}
		over := float64(most*count) / callers
		t.Logf("%d instances: %.3f times the fair part at most", count, over)
		qt.Assert(t, over <= 1.3, qt.IsTrue)
	}
}

func TestLoadDecidesWithHysteresis(t *testing.T) {
	c := qt.New(t)
	loads := map[string]float64{}
	s := &Selector{Load: func(id string) (float64, bool) { return loads[id], true }}
	share := func() int {
		n := 0
		for i := range 1000 {
			if s.first(cairo(4), fmt.Sprint(i)) == "entry-0" {
				n++
			}
		}
		return n
	}
	even := share()
	loads["entry-0"] = 0.5
	c.Assert(share() < even, qt.IsTrue)
	loads["entry-0"] = overloadEnter
	c.Assert(share(), qt.Equals, 0)
	loads = map[string]float64{"entry-0": 0.7, "entry-1": 0.7, "entry-2": 0.7, "entry-3": 0.7}
	c.Assert(share(), qt.Equals, 0)
	loads["entry-0"] = 0.6
	c.Assert(share() > 0, qt.IsTrue)
}

func TestNearFirstAndHomeOnly(t *testing.T) {
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

func TestLoadsSpread(t *testing.T) {
	c := qt.New(t)
	own := 0.61
	from, to := &Loads{Self: "a", Own: func() float64 { return own }}, &Loads{Self: "b"}
	c.Assert(to.Merge("a", from.State()), qt.IsNil)
	load, known := to.Of("a")
	c.Assert(load, qt.Equals, 0.6)
	c.Assert(known, qt.IsTrue)
	state := from.State()
	own = 0.62
	c.Assert(from.State(), qt.DeepEquals, state)
	own = 7
	c.Assert(from.State(), qt.DeepEquals, []byte{maxLoadPercent})
	c.Assert(to.Merge("a", []byte{maxLoadPercent + 1}), qt.IsNotNil)
	to.Forget("a")
	_, known = to.Of("a")
	c.Assert(known, qt.IsFalse)
}

func BenchmarkSelect(b *testing.B) {
	s := &Selector{Load: func(string) (float64, bool) { return 0.5, true }}
	for _, count := range []int{7, 350} {
		instances := cairo(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Select(instances, Query{Region: "cairo", Zone: "cairo-a", Caller: "a"})
			}
		})
	}
}
