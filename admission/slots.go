package admission

import (
	"math"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// DemandOf returns an instance's demand for a service's slots, as fractions of
// slots. Urgent demand takes precedence over batch demand across all instances.
// The weight of an instance is the number of callers that it serves, so that a
// caller gains nothing from a long queue or from using an instance alone.
func DemandOf(service *catalog.Service, stats *Stats, slots int) share.Demand {
	demand := share.Demand{Reserve: service.Ranks[catalog.Batch].MinShare}
	if slots <= 0 {
		return demand
	}
	for rank, r := range stats.Ranks {
		demand.Levels[rank] = share.Level{Demand: r.Demand / float64(slots), Weight: float64(r.Callers)}
	}
	return demand
}

// Capacity is the input from which an instance derives the number of a service's
// slots that it may use.
type Capacity struct {
	Slots    int     // of all backend servers that accept requests
	Free     int     // unused ones of Slots, as of the last load reports
	Fraction float64 // this instance's share of Slots
	Members  int     // instances that share the slots
}

// Share returns the number of slots that this instance may use at all times.
// Because each share is rounded, the shares of all instances together may exceed
// the slots by at most half a slot per instance, or one slot per instance whose
// share is below one.
func (c Capacity) Share() int {
	if c.Slots <= 0 {
		return 0
	}
	return min(max(int(math.Round(float64(c.Slots)*c.Fraction)), 1), c.Slots)
}

// BurstAllowance returns the number of urgent requests that this instance may
// start beyond its share until the next load report: an equal fraction of the
// free slots. It lets a burst use slots that no instance uses before the shares
// are adjusted. All instances together start at most Free such requests per
// load report. A single instance has all slots as its share, so its
// BurstAllowance is 0.
func (c Capacity) BurstAllowance() int {
	if c.Members <= 1 {
		return 0
	}
	return max(c.Free, 0) / c.Members
}
