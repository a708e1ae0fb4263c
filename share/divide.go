package share

import "time"

// minTransferUnits is the smallest surplus and deficit for which units are
// transferred; less is not worth a message.
const minTransferUnits = UnitsPerMember / 128

// Level is a member's demand for a limit at one of two levels of precedence.
type Level struct {
	Demand float64 // fraction of the limit that the member could use now; may exceed 1
	Weight float64 // relative to the other members, where demand exceeds the limit
}

// Demand is a member's demand for a limit. The first level takes precedence over
// the second, except that the second keeps Reserve as far as it has demand.
type Demand struct {
	Levels  [2]Level
	Reserve float64 // fraction of the limit, from 0 to 1; the same at all members
}

// NewDemand returns a demand for a fraction of a limit, at the first level only
// and with the same weight at all members.
func NewDemand(fraction float64) Demand {
	var d Demand
	if fraction > 0 {
		d.Levels[0] = Level{Demand: fraction, Weight: 1}
	}
	return d
}

func (d *Demand) isEmpty() bool { return d.Levels[0].Demand <= 0 && d.Levels[1].Demand <= 0 }

// differsSignificantly reports whether next differs enough from d to announce it
// ahead of the round-robin order.
func (d *Demand) differsSignificantly(next *Demand) bool {
	const minFactor = 1.25
	for i := range d.Levels {
		a, b := d.Levels[i].Demand, next.Levels[i].Demand
		if a > b*minFactor || b > a*minFactor {
			return true
		}
	}
	return false
}

// allocation is the input and the result of divide for one member. divide lowers
// the demand in levels by what the floor covers.
type allocation struct {
	id          memberID
	levels      [2]Level
	fromFloor   [2]float64 // part of each level's demand that the floor covers
	heldUnits   float64
	fraction    float64 // of the limit
	targetUnits float64
}

// divide sets the target of each member. Every member first receives the floor, a
// fraction of the limit, which covers its demand as far as it goes. The remainder
// is divided level by level with weighted max-min fairness: no member receives
// more than its demand, and members whose demand is not met receive fractions in
// proportion to their weights. What exceeds all demand is divided equally.
func divide(allocations []allocation, reserve float64, members int, floor float64) {
	secondLevelDemand := 0.0
	for i := range allocations {
		secondLevelDemand += allocations[i].levels[1].Demand
	}
	reserve = min(reserve, secondLevelDemand)
	remaining := 1.0
	for i := range allocations {
		a := &allocations[i]
		reserve -= a.applyFloor(floor)
		remaining -= floor
	}
	reserve = max(reserve, 0)
	remaining = divideLevel(allocations, 0, remaining-reserve) + reserve
	remaining = divideLevel(allocations, 1, remaining)
	for i := range allocations {
		a := &allocations[i]
		a.fraction += remaining / float64(len(allocations))
		a.targetUnits = a.fraction * float64(members) * UnitsPerMember
	}
}

// applyFloor sets the fraction to the floor and lowers the demand by it, first
// level first. It returns how much of the second level's demand the floor covers.
func (a *allocation) applyFloor(floor float64) float64 {
	a.fraction = floor
	first := min(a.levels[0].Demand, floor)
	second := min(a.levels[1].Demand, floor-first)
	a.levels[0].Demand -= first
	a.levels[1].Demand -= second
	a.fromFloor = [2]float64{first, second}
	return second
}

// divideLevel divides capacity among the members by their demand at one level and
// returns the unused remainder. Demand that a member's floor covers counts toward
// its fair share. A bisection finds the allotment per weight that uses up the
// capacity.
func divideLevel(allocations []allocation, level int, capacity float64) float64 {
	const maxSteps = 40 // of the bisection; resolves less than one unit of any limit
	totalDemand, high := 0.0, 0.0
	for i := range allocations {
		a := &allocations[i]
		totalDemand += a.levels[level].Demand
		if a.levels[level].Demand > 0 {
			high = max(high, (a.fromFloor[level]+a.levels[level].Demand)/a.weight(level))
		}
	}
	perWeight, low := high, 0.0
	for step := 0; totalDemand > capacity && step < maxSteps; step++ {
		perWeight = (low + high) / 2
		if totalAt(allocations, level, perWeight) > capacity {
			high = perWeight
		} else {
			low = perWeight
		}
	}
	for i := range allocations {
		allocations[i].fraction += allocations[i].shareAt(level, perWeight)
	}
	return max(capacity-totalAt(allocations, level, perWeight), 0)
}

// totalAt returns the sum of shareAt over all members.
func totalAt(allocations []allocation, level int, perWeight float64) float64 {
	sum := 0.0
	for i := range allocations {
		sum += allocations[i].shareAt(level, perWeight)
	}
	return sum
}

// shareAt returns what a member receives at one level beyond its floor, given an
// allotment per weight.
func (a *allocation) shareAt(level int, perWeight float64) float64 {
	return min(max(perWeight*a.weight(level)-a.fromFloor[level], 0), a.levels[level].Demand)
}

func (a *allocation) weight(level int) float64 {
	return max(a.levels[level].Weight, 1)
}

// transferSurplus sends units that this member holds beyond its target to a peer
// that holds fewer than its own, or returns borrowed units to the peer that lent
// them. A new member transfers nothing for SettleTime: until all members count it,
// their shares already add up to the limit without its units.
func (t *Table) transferSurplus(now time.Time, key Key, s *limitState, id memberID) {
	recipient := s.peers[id]
	if now.Sub(t.started) < t.config.SettleTime || now.Sub(recipient.lastTransfer) < transferInterval {
		return
	}
	units := t.transferUnits(now, s, id)
	if units < minTransferUnits {
		return
	}
	recipient.sentUnits += uint64(units)
	recipient.heldUnits += units
	recipient.lastTransfer = now
	t.markChanged(key, s)
}

// transferUnits returns how many units to transfer to a peer. If the total surplus
// covers the total deficit, each member with a surplus covers the peer's deficit in
// proportion to its surplus. Otherwise each surplus is divided among the peers in
// proportion to their deficits.
func (t *Table) transferUnits(now time.Time, s *limitState, id memberID) int64 {
	allocations, peerIndex := t.allocations(now, s, id)
	members := t.count(now)
	divide(allocations, s.demand.Reserve, members, t.config.Floor/float64(members))
	var surplus, deficit float64
	for _, a := range allocations {
		surplus += max(a.heldUnits-a.targetUnits, 0)
		deficit += max(a.targetUnits-a.heldUnits, 0)
	}
	ownSurplus := allocations[0].heldUnits - allocations[0].targetUnits
	if ownSurplus < minTransferUnits || deficit < minTransferUnits {
		return 0
	}
	peerDeficit := allocations[peerIndex].targetUnits - allocations[peerIndex].heldUnits
	lendable := max(s.ownUnits(now), 0)
	borrowed := max(s.peers[id].borrowed(), 0)
	aboveFloor := s.heldUnits(now) - t.floor()
	if peerDeficit >= minTransferUnits {
		return min(int64(ownSurplus*peerDeficit/max(surplus, deficit)), borrowed+lendable, aboveFloor)
	}
	// The lender may lend the returned units to the members with a deficit.
	needed := ownSurplus * deficit / max(surplus, deficit)
	return min(int64(needed)-lendable, borrowed, aboveFloor)
}

// allocations returns the demand and the held units of each member, this one
// first, and the index of the given peer.
func (t *Table) allocations(now time.Time, s *limitState, id memberID) (allocations []allocation, peerIndex int) {
	allocations = t.scratch[:0]
	allocations = append(allocations, allocation{id: t.selfID, levels: s.demand.Levels, heldUnits: float64(s.heldUnits(now))})
	for other := range t.members {
		a := allocation{id: other, heldUnits: UnitsPerMember}
		if peer := s.peers[other]; peer != nil {
			a.levels, a.heldUnits = peer.levelsAt(now), float64(peer.heldUnits)
		}
		if other == id {
			peerIndex = len(allocations)
		}
		allocations = append(allocations, a)
	}
	t.scratch = allocations
	return allocations, peerIndex
}
