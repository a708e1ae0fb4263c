package policybench

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/policybench/baseline"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/product"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// productName is the name of the gateway's own policy.
const productName = "product"

// PolicyNames returns the names of the policies, in the order in which reports
// list them.
func PolicyNames() []string {
	return []string{productName, "round-robin", "least-outstanding"}
}

func newPolicy(name string, seed uint64) (cluster.Policy, error) {
	switch name {
	case productName:
		return product.New(seed), nil
	case "round-robin":
		return baseline.RoundRobin(), nil
	case "least-outstanding":
		return baseline.LeastOutstanding(), nil
	}
	return nil, errors.Errorf("unknown policy %q", name)
}

// Bench measures policies on one setup.
type Bench struct {
	Setup    *workload.Setup
	Horizon  time.Duration
	Seed     uint64
	capacity cluster.Capacity
}

// New returns a bench for a setup. It measures the capacity of one engine
// first, because the load of every run is relative to it.
func New(setup *workload.Setup, horizon time.Duration, seed uint64) *Bench {
	return &Bench{Setup: setup, Horizon: horizon, Seed: seed, capacity: cluster.MeasureCapacity(setup, nil, seed)}
}

// Measure executes a run under the named policy and returns its report.
func (b *Bench) Measure(run Run, policyName string) (*Report, error) {
	e, err := b.execute(run, policyName)
	if err != nil {
		return nil, err
	}
	return b.report(run, policyName, e), nil
}
