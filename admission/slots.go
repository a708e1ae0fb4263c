package admission

import (
	"math"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// DemandOf returns what an instance asks of a service's slots. Urgent work goes
// before batch work over all instances, and an instance weighs as much as the
// callers that it serves, so that a caller gains nothing by a long queue or by
// an instance of its own.
func DemandOf(service *catalog.Service, stats *Stats, slots int) share.Demand {
	demand := share.Demand{Reserve: service.Ranks[catalog.Batch].MinShare}
	if slots <= 0 {
		return demand
	}
	for rank, r := range stats.Ranks {
		demand.Levels[rank] = share.Level{Want: r.Demand / float64(slots), Weight: float64(r.Callers)}
	}
	return demand
}

// Capacity is what is known of a service's slots when an instance sets its
// own.
type Capacity struct {
	Slots    int     // of the backend servers that accept work
	Free     int     // of Slots, by the last load reports
	Fraction float64 // this instance's share of Slots
	Members  int     // instances that share the slots
}

// Share returns the slots that this instance may use at all times. The shares
// of all instances, each rounded, exceed the slots by at most half a slot for
// each instance, or one for an instance whose share is below one.
func (c Capacity) Share() int {
	if c.Slots <= 0 {
		return 0
	}
	return min(max(int(math.Round(float64(c.Slots)*c.Fraction)), 1), c.Slots)
}

// Spare returns this instance's part of the free slots. It may start that many
// urgent requests beyond its share until the next load report, so that a burst
// reaches slots that no instance uses before the shares have moved. All
// instances together start at most Free for each report. An instance alone has
// all slots as its share and borrows none.
func (c Capacity) Spare() int {
	if c.Members <= 1 {
		return 0
	}
	return max(c.Free, 0) / c.Members
}
