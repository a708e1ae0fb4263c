package share

import "time"

// division is the state of a limit as this instance sees it, in units.
type division struct {
	members int
	demand  float64 // of all members
	floor   float64
}

// target returns what a member with a demand should hold: the floor and a part
// of the rest in proportion to its demand.
func (d division) target(demand float64) float64 {
	rest := float64(d.members) * (Units - d.floor)
	return d.floor + rest*demand/d.demand
}

// give moves units to a peer that holds less than its target. Of several
// members with units to spare each gives its part of what the peer lacks.
func (t *Table) give(now time.Time, key Key, r *row, id memberID) {
	to := r.cells[id]
	if now.Sub(to.gave) < giveInterval {
		return
	}
	d := division{members: t.count(now), demand: r.demand, floor: float64(t.floor())}
	for _, c := range r.cells {
		d.demand += c.demandAt(now)
	}
	if d.demand <= 0 {
		return
	}
	own := float64(r.held(now))
	spare := own - d.target(r.demand)
	lack := d.target(to.demandAt(now)) - float64(to.held)
	if spare < 1 || lack < 1 {
		return
	}
	units := int64(spare * lack / t.imbalance(now, r, d, spare))
	units = min(units, int64(spare), int64(own)-t.floor())
	if units <= 0 {
		return
	}
	to.out += uint64(units)
	to.held += units
	to.gave = now
	t.urge(key, r)
}

// imbalance returns the units that all members can spare, or those that all
// lack if these are more.
func (t *Table) imbalance(now time.Time, r *row, d division, spare float64) float64 {
	lacking := 0.0
	for id := range t.members {
		demand, held := 0.0, float64(Units)
		if c := r.cells[id]; c != nil {
			demand, held = c.demandAt(now), float64(c.held)
		}
		if difference := held - d.target(demand); difference > 0 {
			spare += difference
		} else {
			lacking -= difference
		}
	}
	return max(spare, lacking)
}
