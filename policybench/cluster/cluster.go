// Package cluster simulates callers, instances and backend servers in virtual
// time and delegates every decision to a Policy. It models the conditions under
// which a policy decides: network delays, stale load reports, crashes, slow
// servers and cut links.
package cluster

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/sim"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// loadInterval is the time between two load reports of a backend server. A
// report carries the load that was sampled one interval earlier.
const loadInterval = 500 * time.Millisecond

// crashRestart is the time after which a backend server that was crashed by a
// poison request accepts connections again.
const crashRestart = 20 * time.Second

// Instance is one gateway instance. Callers send their requests to instances.
type Instance struct {
	ID string
	Location
}

// Server is one simulated backend server.
type Server struct {
	ID      string
	Service string
	Location
	Engine     *engine.Engine
	lastSample backend.Load // load at the last report, sent with the next one
}

// Cluster is the state of one simulation run of one policy.
type Cluster struct {
	Clock     *sim.Clock
	Setup     *workload.Setup
	Instances []*Instance
	Servers   []*Server
	Requests  []*Request // in order of arrival

	policy           Policy
	poison           *workload.Poison
	links            map[linkKey]*link
	interRegionCalls []*outboundCall // all calls to other regions since the start, for Partition
	openRequests     int             // requests that have not ended
	arrivalsEnded    bool            // the horizon has passed; callers send no more requests
}

// New returns a cluster with the instances and servers of the setup and without
// requests.
func New(setup *workload.Setup, policy Policy) *Cluster {
	c := &Cluster{Clock: &sim.Clock{}, Setup: setup, policy: policy, links: make(map[linkKey]*link)}
	for _, r := range setup.Regions {
		for i := range r.Instances {
			c.Instances = append(c.Instances, &Instance{ID: fmt.Sprintf("%s-i%d", r.Name, i), Location: locationOf(r, i)})
		}
		for i := range r.ModelReplicas {
			c.addServer(setup.Model, ModelEngineConfig(), locationOf(r, i), i)
		}
		for i := range r.PlainReplicas {
			c.addServer(setup.Plain, plainServerConfig(), locationOf(r, i), i)
		}
	}
	return c
}

func locationOf(r workload.Region, i int) Location {
	return Location{Region: r.Name, Zone: i % workload.ZonesPerRegion}
}

func (c *Cluster) addServer(service *catalog.Service, config engine.Config, location Location, i int) {
	c.Servers = append(c.Servers, &Server{
		ID:       fmt.Sprintf("%s-%s-%d", service.Name, location.Region, i),
		Service:  service.Name,
		Location: location,
		Engine:   engine.New(config, c.Clock),
	})
}

// Run sends the arrivals at their times and runs the simulation until the
// horizon and after it until all requests have ended. poison sets the resends
// of poison requests; it may be nil if there are none.
func (c *Cluster) Run(arrivals []*workload.Arrival, poison *workload.Poison, horizon time.Duration) {
	c.poison = poison
	c.policy.Start(c)
	c.Clock.Every(loadInterval, c.reportLoads)
	for _, a := range arrivals {
		c.Clock.After(a.At, func() { c.sendFromCaller(a, c.entryInstance(a), 0) })
	}
	c.Clock.RunUntil(horizon)
	c.arrivalsEnded = true
	c.Clock.RunWhile(func() bool { return c.openRequests > 0 })
}

// reportLoads sends each server's previous load sample to the instances of its
// region and takes a new sample. Servers that are down send no report.
func (c *Cluster) reportLoads() bool {
	for _, s := range c.Servers {
		report := s.lastSample
		s.lastSample = s.Engine.Load()
		if !s.Engine.Up() {
			continue
		}
		for _, in := range c.Instances {
			if in.Region == s.Region {
				c.transmit(s.Location, in.Location, controlMessageBytes, func() { c.policy.OnLoadReport(in, s, report) })
			}
		}
	}
	return true
}

// InstancesOf returns the instances of a region in a fixed order.
func (c *Cluster) InstancesOf(region string) []*Instance {
	var list []*Instance
	for _, in := range c.Instances {
		if in.Region == region {
			list = append(list, in)
		}
	}
	return list
}

// ServersOf returns the servers of a service in a region, or in all regions
// if region is "".
func (c *Cluster) ServersOf(service, region string) []*Server {
	var list []*Server
	for _, s := range c.Servers {
		if s.Service == service && (region == "" || s.Region == region) {
			list = append(list, s)
		}
	}
	return list
}

// Usage returns the summed engine counters of all servers of a service.
func (c *Cluster) Usage(service string) engine.Usage {
	var sum engine.Usage
	for _, s := range c.ServersOf(service, "") {
		sum = sum.Add(s.Engine.Usage())
	}
	return sum
}

// CountUp returns the number of servers of a service that accept connections.
func (c *Cluster) CountUp(service string) int {
	up := 0
	for _, s := range c.ServersOf(service, "") {
		if s.Engine.Up() {
			up++
		}
	}
	return up
}
