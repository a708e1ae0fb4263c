package policybench

import (
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// execution holds the results of a finished run.
type execution struct {
	cluster            *cluster.Cluster
	enginesUp          int          // model engines that are up at the end of the measurement window
	usageBefore        engine.Usage // of all model engines at the start of the measurement window
	usageAfter         engine.Usage // of all model engines at its end
	maxTokensPerSecond float64      // output tokens per second that enginesUp engines can generate
}

func (b *Bench) shape(run Run) workload.Shape {
	shape := workload.Shape{Horizon: b.Horizon, Utilization: meanUtilization, Amplitude: dailyAmplitude}
	if run.shape != nil {
		run.shape(&shape)
	}
	return shape
}

// capacityOf returns the capacity of one engine for the mix of ranks that the
// shape gives in the measurement window.
func (b *Bench) capacityOf(shape workload.Shape) cluster.Capacity {
	if shape.Flood == nil {
		return b.capacity
	}
	return cluster.MeasureCapacity(b.Setup, shape.Flood, b.Seed)
}

// execute simulates a run until all its requests have ended.
func (b *Bench) execute(run Run, policyName string) (*execution, error) {
	policy, err := newPolicy(policyName, b.Seed)
	if err != nil {
		return nil, err
	}
	shape := b.shape(run)
	c := cluster.New(b.Setup, policy)
	e := &execution{cluster: c}
	capacity := b.capacityOf(shape)
	if run.fault != nil {
		run.fault(c, b.Horizon)
	}
	c.Clock.After(windowStart(b.Horizon), func() { e.usageBefore = c.Usage(b.Setup.Model.Name) })
	c.Clock.After(windowEnd(b.Horizon), func() {
		e.usageAfter = c.Usage(b.Setup.Model.Name)
		e.enginesUp = c.CountUp(b.Setup.Model.Name)
		e.maxTokensPerSecond = capacity.OutputTokensPerSecond * float64(e.enginesUp)
	})
	c.Run(workload.Generate(b.Setup, shape, b.capacity.RequestsPerSecond, b.Seed), shape.Poison, b.Horizon)
	return e, nil
}
