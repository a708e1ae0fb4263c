package policybench

import (
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// execution is a finished run.
type execution struct {
	cluster  *cluster.Cluster
	up       int          // model engines that are up at the end of the measured part
	before   engine.Usage // of all model engines when the measured part began
	after    engine.Usage // and when it ended
	possible float64      // tokens of answers a second that the engines up can give
}

func (b *Bench) shape(run Run) workload.Shape {
	shape := workload.Shape{Horizon: b.Horizon, Utilization: meanUtilization, Swing: dailySwing}
	if run.shape != nil {
		run.shape(&shape)
	}
	return shape
}

// capacityOf returns what one engine serves of the mix of ranks in the measured
// part of a run.
func (b *Bench) capacityOf(shape workload.Shape) cluster.Capacity {
	if shape.Flood == nil {
		return b.capacity
	}
	return cluster.MeasureCapacity(b.Setup, shape.Flood, b.Seed)
}

// execute runs all requests of a run to their end.
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
	c.Clock.After(start(b.Horizon), func() { e.before = c.Usage(b.Setup.Model.Name) })
	c.Clock.After(end(b.Horizon), func() {
		e.after = c.Usage(b.Setup.Model.Name)
		e.up = c.Up(b.Setup.Model.Name)
		e.possible = capacity.Answer * float64(e.up)
	})
	c.Run(workload.Generate(b.Setup, shape, b.capacity.Requests, b.Seed), shape.Poison, b.Horizon)
	return e, nil
}
