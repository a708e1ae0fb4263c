package routing

import "time"

// choice is the best other region for a request.
type choice struct {
	offer
	summary      RegionSummary // of the chosen region; its Region is empty if there is none
	loadUnknown  bool          // the load of the region is unknown
	reason       SpillReason   // why there is no region
	comparedRoom float64       // of all regions that were compared with the chosen one
}

// offer is what another region is expected to do for a request.
type offer struct {
	cost       time.Duration // expected time to first token
	streamTime time.Duration // expected time from the first to the last event; 0: unknown
	rank       time.Duration // for a late stream, the region with the least is chosen
	late       bool          // the stream would end late in this region
	room       float64       // free slots that this instance has not used yet
	sends      bool          // the region sends requests here, and is chosen last
}

// consider chooses a region instead of the present one if it is preferred. Of several that
// meet the target, one is drawn in proportion to room: instances that see the same summaries
// would all send to the one that is best by a little.
func (c *choice) consider(summary RegionSummary, o offer, random Random) {
	var better bool
	switch {
	case c.summary.Region == "" || c.sends && !o.sends:
		better, c.comparedRoom = true, 0
	case o.sends && !c.sends:
		return
	case o.late || o.room <= 0:
		better = o.rank < c.rank
	default:
		better = unitFloat(random)*(c.comparedRoom+o.room) < o.room
	}
	c.comparedRoom += o.room
	if better {
		c.summary, c.offer = summary, o
	}
}

// unitFloat returns a random number in [0, 1).
func unitFloat(random Random) float64 { return float64(random.Uint64()>>11) / (1 << 53) }
