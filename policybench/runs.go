// Package policybench measures the routing, admission and retry decisions of
// the gateway against simple baselines, in virtual time and from fixed seeds.
// It is a bench for decisions: engines and network are simple models.
package policybench

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Parameters of the runs.
const (
	meanUtilization = 0.65 // of all engines, over the day
	dailySwing      = 0.6  // the peak of a region over its mean
	floodFactor     = 10
	slowFactor      = 4 // on the time of each step of the slow replica
	poisonResends   = 10
	poisonPause     = time.Second
)

// Run is one situation that policies are measured in. Its fault or flood
// begins after a quarter of the horizon and ends after three quarters, if it
// ends at all; requests sent between the two are measured.
type Run struct {
	Name  string
	About string
	shape func(*workload.Shape)
	fault func(c *cluster.Cluster, horizon time.Duration)
}

// Names of the runs.
const (
	RunPeak        = "peak"
	RunBatchFlood  = "batch-flood"
	RunUrgentFlood = "urgent-flood"
	RunHalfRegion  = "half-region"
	RunLinkCut     = "link-cut"
	RunSlowReplica = "slow-replica"
	RunPoison      = "poison"
)

// Runs returns every run.
func Runs() []Run {
	return []Run{
		{Name: RunPeak, About: "daily peaks, offset between regions"},
		{Name: RunBatchFlood, About: "10 times the batch requests", shape: flood(catalog.Batch)},
		{Name: RunUrgentFlood, About: "10 times the urgent requests", shape: flood(catalog.Urgent)},
		{Name: RunHalfRegion, About: "half of the first region's engines lost at its peak", fault: loseHalf},
		{Name: RunLinkCut, About: "the first region cut off, healed at its peak", fault: cutAndHeal},
		{Name: RunSlowReplica, About: "one engine of the first region 4 times slower", fault: slowReplica},
		{Name: RunPoison, About: "a request that crashes each engine, sent 11 times", shape: poison},
	}
}

// start and end return the bounds of the part of a run that is measured.
func start(horizon time.Duration) time.Duration { return horizon / 4 }

func end(horizon time.Duration) time.Duration { return horizon * 3 / 4 }

func flood(rank catalog.Rank) func(*workload.Shape) {
	return func(s *workload.Shape) {
		s.Flood = &workload.Flood{Rank: rank, Factor: floodFactor, From: start(s.Horizon), Until: end(s.Horizon)}
	}
}

func poison(s *workload.Shape) {
	s.Poison = &workload.Poison{At: start(s.Horizon), Resends: poisonResends, Pause: poisonPause}
}

// firstRegion returns the model engines of the region that peaks in the middle
// of the run.
func firstRegion(c *cluster.Cluster) []*cluster.Server {
	return c.ServersOf(c.Setup.Model.Name, c.Setup.Regions[0].Name)
}

func loseHalf(c *cluster.Cluster, horizon time.Duration) {
	const never = 1000 * time.Hour
	servers := firstRegion(c)
	c.Clock.After(start(horizon), func() {
		for _, s := range servers[:len(servers)/2] {
			s.Engine.Crash(never)
		}
	})
}

func cutAndHeal(c *cluster.Cluster, horizon time.Duration) {
	region := c.Setup.Regions[0].Name
	c.Clock.After(start(horizon), func() { c.CutOff(region) })
	c.Clock.After(horizon/2, func() { c.Heal(region) })
}

func slowReplica(c *cluster.Cluster, horizon time.Duration) {
	slow := firstRegion(c)[0].Engine
	c.Clock.After(start(horizon), func() { slow.SetSlowdown(slowFactor) })
	c.Clock.After(end(horizon), func() { slow.SetSlowdown(1) })
}
