package share

import "time"

// minGift is the least number of units that is worth a message.
const minGift = Units / 128

// Level is what a member asks of a limit at one level of urgency.
type Level struct {
	Want   float64 // part of the limit that it could use now; may exceed 1
	Weight float64 // its weight against the others when the limit is short
}

// Demand is what a member asks of a limit. The first level goes before the
// second, except that the second keeps Reserve if it wants it.
type Demand struct {
	Levels  [2]Level
	Reserve float64 // part of the limit, 0..1; the same at all members
}

// Want returns a demand of one level, in which all members weigh the same.
func Want(part float64) Demand {
	var d Demand
	if part > 0 {
		d.Levels[0] = Level{Want: part, Weight: 1}
	}
	return d
}

// none reports whether nothing is asked for.
func (d *Demand) none() bool { return d.Levels[0].Want <= 0 && d.Levels[1].Want <= 0 }

// differs reports whether a new demand is worth an early announcement.
func (d *Demand) differs(next *Demand) bool {
	const step = 1.25
	for i := range d.Levels {
		a, b := d.Levels[i].Want, next.Levels[i].Want
		if a > b*step || b > a*step {
			return true
		}
	}
	return false
}

// claim is one member's part in a division.
type claim struct {
	id     memberID
	levels [2]Level
	have   [2]float64 // of each level, by the floor
	held   float64    // units
	part   float64    // of the limit
	target float64    // units
}

// divide sets the targets. Each member first gets its floor, a part of the
// limit, against what it wants. The rest of each level is divided by weighted
// max-min fairness: no member gets more than it wants, and those that want more
// get parts in proportion to their weights. What nobody wants is divided
// equally.
func divide(claims []claim, reserve float64, members int, floor float64) {
	second := 0.0
	for i := range claims {
		second += claims[i].levels[1].Want
	}
	reserve = min(reserve, second)
	left := 1.0
	for i := range claims {
		c := &claims[i]
		reserve -= c.take(floor)
		left -= floor
	}
	reserve = max(reserve, 0)
	left = fill(claims, 0, left-reserve) + reserve
	left = fill(claims, 1, left)
	for i := range claims {
		c := &claims[i]
		c.part += left / float64(len(claims))
		c.target = c.part * float64(members) * Units
	}
}

// take sets the part to the floor and lowers the wants by it. It returns what
// the second level received.
func (c *claim) take(floor float64) float64 {
	c.part = floor
	first := min(c.levels[0].Want, floor)
	second := min(c.levels[1].Want, floor-first)
	c.levels[0].Want -= first
	c.levels[1].Want -= second
	c.have = [2]float64{first, second}
	return second
}

// fill divides capacity among the members by one level and returns what is
// left. What a member has of the level by its floor counts against its part.
func fill(claims []claim, level int, capacity float64) float64 {
	const steps = 40 // halvings; finer than a unit of any limit
	want, high := 0.0, 0.0
	for i := range claims {
		c := &claims[i]
		want += c.levels[level].Want
		if c.levels[level].Want > 0 {
			high = max(high, (c.have[level]+c.levels[level].Want)/c.weight(level))
		}
	}
	perWeight, low := high, 0.0
	for step := 0; want > capacity && step < steps; step++ {
		perWeight = (low + high) / 2
		if filled(claims, level, perWeight) > capacity {
			high = perWeight
		} else {
			low = perWeight
		}
	}
	for i := range claims {
		claims[i].part += claims[i].share(level, perWeight)
	}
	return max(capacity-filled(claims, level, perWeight), 0)
}

// filled returns the sum of the parts at an allotment for each weight.
func filled(claims []claim, level int, perWeight float64) float64 {
	sum := 0.0
	for i := range claims {
		sum += claims[i].share(level, perWeight)
	}
	return sum
}

// share returns the part of a member at an allotment for each weight, beyond
// what it has.
func (c *claim) share(level int, perWeight float64) float64 {
	return min(max(perWeight*c.weight(level)-c.have[level], 0), c.levels[level].Want)
}

func (c *claim) weight(level int) float64 {
	return max(c.levels[level].Weight, 1)
}

// give moves units to a peer that holds less than its target. Of several
// members with units to spare each gives its part of what the peer lacks.
func (t *Table) give(now time.Time, key Key, r *row, id memberID) {
	to := r.cells[id]
	own := r.held(now)
	if own <= t.floor() || now.Sub(to.gave) < giveInterval {
		return
	}
	claims, peer := t.claims(now, r, id)
	members := t.count(now)
	divide(claims, r.demand.Reserve, members, t.config.Floor/float64(members))
	var spare, lack float64
	for _, c := range claims {
		spare += max(c.held-c.target, 0)
		lack += max(c.target-c.held, 0)
	}
	ownSpare := claims[0].held - claims[0].target
	peerLack := claims[peer].target - claims[peer].held
	if ownSpare < minGift || peerLack < minGift {
		return
	}
	units := min(int64(ownSpare*peerLack/max(spare, lack)), own-t.floor())
	if units <= 0 {
		return
	}
	to.out += uint64(units)
	to.held += units
	to.gave = now
	t.urge(key, r)
}

// claims returns what each member asks and holds, this one first, and the
// place of the given peer.
func (t *Table) claims(now time.Time, r *row, id memberID) (claims []claim, peer int) {
	claims = t.scratch[:0]
	claims = append(claims, claim{id: t.selfID, levels: r.demand.Levels, held: float64(r.held(now))})
	for other := range t.members {
		c := claim{id: other, held: Units}
		if cell := r.cells[other]; cell != nil {
			c.levels, c.held = cell.levelsAt(now), float64(cell.held)
		}
		if other == id {
			peer = len(claims)
		}
		claims = append(claims, c)
	}
	t.scratch = claims
	return claims, peer
}
