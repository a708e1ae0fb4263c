package product

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// Intervals of the controllers.
const (
	slotsInterval    = 500 * time.Millisecond // between two rounds of load reports
	exchangeInterval = time.Second            // between messages to the instances of the region
	summaryInterval  = time.Second            // between messages to other regions
	evaluateInterval = time.Second            // between looks for slow servers and at limits
)

// run starts the controllers. The offset keeps the instances from acting at
// the same instants.
func (n *node) run(offset int) {
	const step = 37 * time.Millisecond
	clock := n.policy.cluster.Clock
	n.updateSlots()
	clock.After(time.Duration(offset)*step, func() {
		clock.Every(slotsInterval, func() bool { n.updateSlots(); return true })
		clock.Every(exchangeInterval, func() bool { n.exchange(); return true })
		clock.Every(summaryInterval, func() bool { n.tellRegions(); return true })
		clock.Every(evaluateInterval, func() bool { n.evaluate(); return true })
	})
}

// exchange tells the instances of the region this instance's state.
func (n *node) exchange() {
	slots, limits, suspects := n.slots.State(), n.limits.State(), n.table.OwnState(n.now())
	for _, in := range n.neighbors {
		n.policy.cluster.Tell(n.instance, in, func() {
			other := n.policy.nodes[in]
			other.merge(n.instance.ID, slots, limits, suspects)
		})
	}
}

func (n *node) merge(from string, slots, limits, suspects []byte) {
	must(n.slots.Merge(from, slots))
	must(n.limits.Merge(from, limits))
	if suspects != nil {
		must(n.table.Merge(n.now(), from, suspects))
	}
}

// updateSlots announces the demand for slots and takes over this instance's
// part of them. It runs after each round of load reports.
func (n *node) updateSlots() {
	for _, service := range n.services() {
		q := n.queues[service.Name]
		stats := q.stats()
		total, free := n.slotsOf(service.Name)
		key := share.KeyOf(service.Name)
		n.slots.SetDemand(key, admission.DemandOf(service, &stats, total))
		q.setCapacity(admission.Capacity{
			Slots: total, Free: free, Fraction: n.slots.Fraction(key),
			Members: n.slots.Members(),
		})
	}
}

// slotsOf returns the slots of the servers that requests are sent to, and those
// that are free by the last reports and by this instance's own work since.
func (n *node) slotsOf(service string) (total, free int) {
	for server := range n.router.Healthy(service) {
		load := server.Load()
		total += load.Slots
		free += max(load.Slots-max(load.Running+load.Waiting, server.InFlight()), 0)
	}
	return total, free
}

// waiting estimates the requests that wait for a slot of a service at all
// instances of the region, from those that wait here.
func (n *node) waiting(service string) int {
	stats := n.queues[service].stats()
	return stats.Waiting() * n.slots.Members()
}

// tellRegions sends the summaries of the region and its suspects to one
// instance of each other region, which passes them on.
func (n *node) tellRegions() {
	suspects := n.table.RegionState(n.now())
	for _, region := range n.Reachable() {
		n.turn++
		instances := n.policy.cluster.InstancesOf(region)
		to := n.policy.nodes[instances[n.turn%len(instances)]]
		n.tellRegion(to, suspects)
	}
}

func (n *node) tellRegion(to *node, suspects []byte) {
	for _, service := range n.services() {
		summary := n.router.Summarize(service.Name)
		n.policy.cluster.Tell(n.instance, to.instance, func() {
			to.summaries.Put(summary)
			to.toNeighbors(func(other *node) { other.summaries.Put(summary) })
		})
	}
	if suspects != nil {
		n.policy.cluster.Tell(n.instance, to.instance, func() {
			must(to.table.MergeRegion(to.now(), n.instance.Region, suspects))
		})
	}
}

func (n *node) toNeighbors(deliver func(*node)) {
	for _, in := range n.neighbors {
		n.policy.cluster.Tell(n.instance, in, func() { deliver(n.policy.nodes[in]) })
	}
}

func (n *node) evaluate() {
	n.limiter.Tick(n.now())
	for _, service := range n.services() {
		n.ejector.Evaluate(n.now(), service.Name)
	}
}

// peer returns an instance of another region, in turn.
func (n *node) peer(region string) *cluster.Instance {
	n.turn++
	instances := n.policy.cluster.InstancesOf(region)
	return instances[n.turn%len(instances)]
}

// must panics if a state that an instance encoded cannot be decoded.
func must(err error) {
	if err != nil {
		panic("product: " + err.Error())
	}
}
