// Package cluster moves requests between callers, instances and modeled
// backend servers in virtual time, and leaves every decision to a Policy. It
// holds what the decisions of a policy meet: delays, late load reports,
// crashes, slow servers and cut links.
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
// report tells the load at the time of the report before it.
const loadInterval = 500 * time.Millisecond

// crashRestart is the time that a crashed backend server takes to come back.
const crashRestart = 20 * time.Second

// Instance is one entry instance.
type Instance struct {
	ID string
	Place
}

// Server is one backend server.
type Server struct {
	ID      string
	Service string
	Place
	Engine *engine.Engine
	sample backend.Load // load at the last report
}

// Cluster is one run of a policy.
type Cluster struct {
	Clock     *sim.Clock
	Setup     *workload.Setup
	Instances []*Instance
	Servers   []*Server
	Requests  []*Request // in order of arrival

	policy Policy
	poison *workload.Poison
	links  map[linkKey]*link
	legs   []*leg // between regions, for CutOff
	open   int    // requests that have not ended
	closed bool   // no request arrives any more
}

// New returns a cluster of the setup without requests.
func New(setup *workload.Setup, policy Policy) *Cluster {
	c := &Cluster{Clock: &sim.Clock{}, Setup: setup, policy: policy, links: make(map[linkKey]*link)}
	for _, r := range setup.Regions {
		for i := range r.Instances {
			c.Instances = append(c.Instances, &Instance{ID: fmt.Sprintf("%s-i%d", r.Name, i), Place: placeOf(r, i)})
		}
		for i := range r.ModelReplicas {
			c.addServer(setup.Model, ModelEngine(), placeOf(r, i), i)
		}
		for i := range r.PlainReplicas {
			c.addServer(setup.Plain, plainServer(), placeOf(r, i), i)
		}
	}
	return c
}

func placeOf(r workload.Region, i int) Place {
	return Place{Region: r.Name, Zone: i % workload.ZonesPerRegion}
}

func (c *Cluster) addServer(service *catalog.Service, config engine.Config, place Place, i int) {
	c.Servers = append(c.Servers, &Server{
		ID:      fmt.Sprintf("%s-%s-%d", service.Name, place.Region, i),
		Service: service.Name,
		Place:   place,
		Engine:  engine.New(config, c.Clock),
	})
}

// Run lets the arrivals enter and runs until all requests have ended.
func (c *Cluster) Run(arrivals []*workload.Arrival, poison *workload.Poison, horizon time.Duration) {
	c.poison = poison
	c.policy.Start(c)
	c.Clock.Every(loadInterval, c.reportLoads)
	for _, a := range arrivals {
		c.Clock.After(a.At, func() { c.enter(a, c.entryOf(a), 0) })
	}
	c.Clock.RunUntil(horizon)
	c.closed = true
	c.Clock.RunWhile(func() bool { return c.open > 0 })
}

// reportLoads sends each server's load to the instances of its region.
func (c *Cluster) reportLoads() bool {
	for _, s := range c.Servers {
		report := s.sample
		s.sample = s.Engine.Load()
		if !s.Engine.Up() {
			continue
		}
		for _, in := range c.Instances {
			if in.Region == s.Region {
				c.transmit(s.Place, in.Place, controlBytes, func() { c.policy.Load(in, s, report) })
			}
		}
	}
	return true
}

// InstancesOf returns the instances of a region.
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

// Usage returns the sum of the counters of a service's servers.
func (c *Cluster) Usage(service string) engine.Usage {
	var sum engine.Usage
	for _, s := range c.ServersOf(service, "") {
		sum = sum.Add(s.Engine.Usage())
	}
	return sum
}

// Up returns the number of a service's servers that are up.
func (c *Cluster) Up(service string) int {
	up := 0
	for _, s := range c.ServersOf(service, "") {
		if s.Engine.Up() {
			up++
		}
	}
	return up
}
