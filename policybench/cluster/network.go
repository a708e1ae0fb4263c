package cluster

import (
	"time"
)

// One-way network delays, message sizes and connection timeouts.
const (
	callerDelay         = 3 * time.Millisecond
	sameZoneDelay       = 100 * time.Microsecond
	regionDelay         = 80 * time.Millisecond
	regionBitsPerSecond = 2_000_000_000 // in each direction between two regions
	promptTokenBytes    = 4             // in a request
	tokenEventBytes     = 200           // of a server-sent event with one response token
	controlMessageBytes = 512           // of a message without prompt or response
	dialTimeout         = 2 * time.Second
	cutDetectionDelay   = 2 * time.Second // until both ends detect that a connection over a cut link is dead
)

// Location is the region and availability zone of an instance or a backend
// server.
type Location struct {
	Region string
	Zone   int
}

// linkKey identifies one direction of the link between two regions.
type linkKey struct{ from, to string }

// link is the state of one direction of the link between two regions.
type link struct {
	cut       bool
	busyUntil time.Duration // elapsed time at which the last message is fully transmitted
	bytes     int64         // transmitted since the start
}

// link returns the link between two different regions, and creates it at the
// first use.
func (c *Cluster) link(from, to string) *link {
	key := linkKey{from, to}
	l := c.links[key]
	if l == nil {
		l = &link{}
		c.links[key] = l
	}
	return l
}

// transmit sends a message and runs deliver at its arrival. Messages between
// regions are serialized at the bandwidth of the link. If the link is cut,
// transmit returns false and never runs deliver. A cut does not stop messages
// that are already in transit.
func (c *Cluster) transmit(from, to Location, bytes int, deliver func()) bool {
	if from.Region == to.Region {
		c.Clock.After(c.localDelay(from, to), deliver)
		return true
	}
	l := c.link(from.Region, to.Region)
	if l.cut {
		return false
	}
	transmitTime := time.Duration(int64(bytes) * 8 * int64(time.Second) / regionBitsPerSecond)
	l.busyUntil = max(l.busyUntil, c.Clock.Elapsed()) + transmitTime
	l.bytes += int64(bytes)
	c.Clock.After(l.busyUntil-c.Clock.Elapsed()+regionDelay, deliver)
	return true
}

func (c *Cluster) localDelay(from, to Location) time.Duration {
	if from.Zone == to.Zone {
		return sameZoneDelay
	}
	return c.Setup.ZoneDelay
}

// Reachable reports whether the link from one region to another is not cut.
func (c *Cluster) Reachable(from, to string) bool {
	return from == to || !c.link(from, to).cut
}

// SendMessage sends a control message to another instance and runs deliver at its
// arrival. The message is lost if the link is cut.
func (c *Cluster) SendMessage(from, to *Instance, deliver func()) {
	c.transmit(from.Location, to.Location, controlMessageBytes, deliver)
}

// Partition cuts the links between a region and all other regions. Calls in
// progress over these links fail after a delay.
func (c *Cluster) Partition(region string) {
	c.setCut(region, true)
	for _, call := range c.interRegionCalls {
		if !call.done && call.crosses(region) {
			c.Clock.After(cutDetectionDelay, func() { c.breakCall(call) })
		}
	}
}

// Heal restores the links between a region and all other regions.
func (c *Cluster) Heal(region string) { c.setCut(region, false) }

func (c *Cluster) setCut(region string, cut bool) {
	for _, r := range c.Setup.Regions {
		if r.Name != region {
			c.link(region, r.Name).cut = cut
			c.link(r.Name, region).cut = cut
		}
	}
}
