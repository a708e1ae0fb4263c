package cluster

import (
	"time"
)

// Delays of the network, one way, and sizes of messages.
const (
	callerDelay     = 3 * time.Millisecond
	sameZoneDelay   = 100 * time.Microsecond
	regionDelay     = 80 * time.Millisecond
	regionBandwidth = 2_000_000_000 // bits a second each way between two regions
	bytesPerToken   = 4             // of a prompt
	eventBytes      = 200           // of an answer's token, as a server-sent event
	controlBytes    = 512           // of a message without prompt or answer
	dialTimeout     = 2 * time.Second
	cutDetection    = 2 * time.Second // until both ends see that a connection is dead
)

// Place is where an instance or a backend server runs.
type Place struct {
	Region string
	Zone   int
}

// linkKey names the direction of a link between two regions.
type linkKey struct{ from, to string }

// link is one direction of the connection between two regions.
type link struct {
	cut       bool
	busyUntil time.Duration // when the last message has been put on the link
	bytes     int64         // carried since the start
}

func (c *Cluster) link(from, to string) *link {
	key := linkKey{from, to}
	l := c.links[key]
	if l == nil {
		l = &link{}
		c.links[key] = l
	}
	return l
}

// transmit runs deliver when a message has arrived. It reports false, and
// never runs deliver, if the link between the regions is cut.
func (c *Cluster) transmit(from, to Place, bytes int, deliver func()) bool {
	if from.Region == to.Region {
		c.Clock.After(c.localDelay(from, to), deliver)
		return true
	}
	l := c.link(from.Region, to.Region)
	if l.cut {
		return false
	}
	busy := time.Duration(int64(bytes) * 8 * int64(time.Second) / regionBandwidth)
	l.busyUntil = max(l.busyUntil, c.Clock.Elapsed()) + busy
	l.bytes += int64(bytes)
	c.Clock.After(l.busyUntil-c.Clock.Elapsed()+regionDelay, deliver)
	return true
}

func (c *Cluster) localDelay(from, to Place) time.Duration {
	if from.Zone == to.Zone {
		return sameZoneDelay
	}
	return c.Setup.ZoneDelay
}

// Reachable reports whether the link from one region to another carries
// messages.
func (c *Cluster) Reachable(from, to string) bool {
	return from == to || !c.link(from, to).cut
}

// Tell runs deliver at another instance after the delay of the network. The
// message is lost if the link is cut.
func (c *Cluster) Tell(from, to *Instance, deliver func()) {
	c.transmit(from.Place, to.Place, controlBytes, deliver)
}

// CutOff cuts the links between a region and the others.
func (c *Cluster) CutOff(region string) {
	c.setCut(region, true)
	for _, l := range c.legs {
		if !l.done && l.crosses(region) {
			c.Clock.After(cutDetection, func() { c.breakLeg(l) })
		}
	}
}

// Heal restores the links of a region.
func (c *Cluster) Heal(region string) { c.setCut(region, false) }

func (c *Cluster) setCut(region string, cut bool) {
	for _, r := range c.Setup.Regions {
		if r.Name != region {
			c.link(region, r.Name).cut = cut
			c.link(r.Name, region).cut = cut
		}
	}
}
