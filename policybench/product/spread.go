package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// Intervals of the periodic updates of a node.
const (
	slotsInterval    = 500 * time.Millisecond // between two updates of the slots; equals the interval of load reports
	exchangeInterval = time.Second            // between messages to the peers in the region
	summaryInterval  = time.Second            // between messages to other regions
	evaluateInterval = time.Second            // between evaluations of slow servers and of rate limits
)

// startUpdates starts the periodic updates. The index of the instance shifts them
// in time, so that the instances do not update simultaneously.
func (n *node) startUpdates(index int) {
	const step = 37 * time.Millisecond
	clock := n.policy.cluster.Clock
	n.updateSlots()
	clock.After(time.Duration(index)*step, func() {
		clock.Every(slotsInterval, func() bool { n.updateSlots(); return true })
		clock.Every(exchangeInterval, func() bool { n.sendToPeers(); return true })
		clock.Every(summaryInterval, func() bool { n.sendToRegions(); return true })
		clock.Every(evaluateInterval, func() bool { n.evaluate(); return true })
	})
}

// sendToPeers sends this instance's shares and suspects to the other instances of
// the region.
func (n *node) sendToPeers() {
	slotShares, limitShares, suspects := n.slotShares.State(), n.limitShares.State(), n.quarantineTable.OwnState(n.now())
	for _, in := range n.peers {
		n.policy.cluster.SendMessage(n.instance, in, func() {
			other := n.policy.nodes[in]
			other.mergePeerState(n.instance.ID, slotShares, limitShares, suspects)
		})
	}
}

// mergePeerState merges the state that another instance of the region has sent.
// suspects is nil if that instance has none.
func (n *node) mergePeerState(from string, slotShares, limitShares, suspects []byte) {
	must(n.slotShares.Merge(from, slotShares))
	must(n.limitShares.Merge(from, limitShares))
	if suspects != nil {
		must(n.quarantineTable.Merge(n.now(), from, suspects))
	}
}

// updateSlots sets this instance's demand for slots in the share table and applies
// its present share to the queues. It runs at the interval of the load reports.
func (n *node) updateSlots() {
	for _, service := range n.services() {
		q := n.queues[service.Name]
		stats := q.stats()
		total, free := n.countSlots(service.Name)
		key := share.KeyOf(service.Name)
		n.slotShares.SetDemand(key, admission.DemandOf(service, &stats, total))
		q.setCapacity(admission.Capacity{
			Slots: total, Free: free, Fraction: n.slotShares.Fraction(key),
			Members: n.slotShares.Members(),
		})
	}
}

// countSlots returns the total and the free slots of the servers that requests are
// sent to. The used slots of a server are the running and waiting requests of its
// last load report, or this instance's requests in flight if these are more.
func (n *node) countSlots(service string) (total, free int) {
	for server := range n.router.Healthy(service) {
		load := server.Load()
		total += load.Slots
		free += max(load.Slots-max(load.Running+load.Waiting, server.InFlight()), 0)
	}
	return total, free
}

// estimateWaiting estimates the number of requests that wait for a slot of a
// service at all instances of the region as the number that wait at this instance
// times the number of instances.
func (n *node) estimateWaiting(service string) int {
	stats := n.queues[service].stats()
	return stats.Waiting() * n.slotShares.Members()
}

// sendToRegions sends the summaries and the suspects of this region to one
// instance of each other region.
func (n *node) sendToRegions() {
	suspects := n.quarantineTable.RegionState(n.now())
	for _, region := range n.Reachable() {
		n.rotation++
		instances := n.policy.cluster.InstancesOf(region)
		to := n.policy.nodes[instances[n.rotation%len(instances)]]
		n.sendToRegion(to, suspects)
	}
}

// sendToRegion sends the summaries and the suspects of this region to an instance
// of another region. The receiver relays the summaries to its peers at once; the
// suspects reach them with its next exchange.
func (n *node) sendToRegion(to *node, suspects []byte) {
	for _, service := range n.services() {
		summary := n.router.Summarize(service.Name)
		n.policy.cluster.SendMessage(n.instance, to.instance, func() {
			to.summaries.Put(summary)
			to.relayToPeers(func(other *node) { other.summaries.Put(summary) })
		})
	}
	if suspects != nil {
		n.policy.cluster.SendMessage(n.instance, to.instance, func() {
			must(to.quarantineTable.MergeRegion(to.now(), n.instance.Region, suspects))
		})
	}
}

// relayToPeers runs deliver at the other instances of the region after the
// network delay.
func (n *node) relayToPeers(deliver func(*node)) {
	for _, in := range n.peers {
		n.policy.cluster.SendMessage(n.instance, in, func() { deliver(n.policy.nodes[in]) })
	}
}

// evaluate updates the rate limits and ejects slow servers.
func (n *node) evaluate() {
	n.limiter.Tick(n.now())
	for _, service := range n.services() {
		n.ejector.Evaluate(n.now(), service.Name)
	}
}

// nextInstance returns an instance of another region, in rotation.
func (n *node) nextInstance(region string) *cluster.Instance {
	n.rotation++
	instances := n.policy.cluster.InstancesOf(region)
	return instances[n.rotation%len(instances)]
}

// must panics on the error of a merge: a state that another instance has encoded
// must be decodable.
func must(err error) {
	if err != nil {
		panic("product: merge state of another instance: " + err.Error())
	}
}
