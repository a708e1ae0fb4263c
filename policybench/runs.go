// Package policybench compares the routing, admission and retry decisions of
// the gateway with simple baselines, in virtual time and from fixed seeds. It
// measures decisions only: engines and network are simple models.
package policybench

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Parameters of the runs.
const (
	meanUtilization   = 0.65 // fraction of the capacity of all engines, mean over the day
	dailyAmplitude    = 0.6  // fraction of a region's mean rate by which its peak exceeds it
	floodFactor       = 10
	slowdownFactor    = 4 // on the duration of each step of the slow replica
	poisonResends     = 10
	poisonResendDelay = time.Second
)

// Run is one scenario in which policies are measured. Its measurement window
// lasts from a quarter to three quarters of the horizon; requests sent in the
// window are measured. A fault or flood begins with the window. It ends with the
// window, except that the links of RunLinkCut are restored in the middle of the
// horizon and the engines lost in RunHalfRegion stay down.
type Run struct {
	Name        string
	Description string
	shape       func(*workload.Shape)
	fault       func(c *cluster.Cluster, horizon time.Duration)
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
		{Name: RunPeak, Description: "daily peaks, offset between regions"},
		{Name: RunBatchFlood, Description: "10 times the batch requests", shape: floodShape(catalog.Batch)},
		{Name: RunUrgentFlood, Description: "10 times the urgent requests", shape: floodShape(catalog.Urgent)},
		{Name: RunHalfRegion, Description: "half of the first region's engines lost before its peak", fault: crashHalf},
		{Name: RunLinkCut, Description: "the links of the first region cut, restored at its peak", fault: disconnectAndRestore},
		{Name: RunSlowReplica, Description: "one engine of the first region 4 times slower", fault: slowDownReplica},
		{Name: RunPoison, Description: "a request that crashes every engine that runs it, sent up to 11 times", shape: addPoison},
	}
}

// windowStart and windowEnd return the bounds of the measurement window.
func windowStart(horizon time.Duration) time.Duration { return horizon / 4 }

func windowEnd(horizon time.Duration) time.Duration { return horizon * 3 / 4 }

func floodShape(rank catalog.Rank) func(*workload.Shape) {
	return func(s *workload.Shape) {
		s.Flood = &workload.Flood{Rank: rank, Factor: floodFactor, From: windowStart(s.Horizon), Until: windowEnd(s.Horizon)}
	}
}

func addPoison(s *workload.Shape) {
	s.Poison = &workload.Poison{At: windowStart(s.Horizon), Resends: poisonResends, ResendDelay: poisonResendDelay}
}

// firstRegionServers returns the model engines of the first region, whose load
// peaks in the middle of the run.
func firstRegionServers(c *cluster.Cluster) []*cluster.Server {
	return c.ServersOf(c.Setup.Model.Name, c.Setup.Regions[0].Name)
}

func crashHalf(c *cluster.Cluster, horizon time.Duration) {
	const never = 1000 * time.Hour
	servers := firstRegionServers(c)
	c.Clock.After(windowStart(horizon), func() {
		for _, s := range servers[:len(servers)/2] {
			s.Engine.Crash(never)
		}
	})
}

func disconnectAndRestore(c *cluster.Cluster, horizon time.Duration) {
	region := c.Setup.Regions[0].Name
	c.Clock.After(windowStart(horizon), func() { c.Partition(region) })
	c.Clock.After(horizon/2, func() { c.Heal(region) })
}

func slowDownReplica(c *cluster.Cluster, horizon time.Duration) {
	slow := firstRegionServers(c)[0].Engine
	c.Clock.After(windowStart(horizon), func() { slow.SetSlowdown(slowdownFactor) })
	c.Clock.After(windowEnd(horizon), func() { slow.SetSlowdown(1) })
}
