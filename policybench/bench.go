package policybench

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/policybench/baseline"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/policybench/product"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// productName is the policy of the gateway itself.
const productName = "product"

// PolicyNames lists the policies in the order of reports.
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
	return nil, errors.Errorf("no policy %q", name)
}

// Bench runs policies on one setup.
type Bench struct {
	Setup    *workload.Setup
	Horizon  time.Duration
	Seed     uint64
	capacity cluster.Capacity
}

// New returns a bench for a setup. The capacity of one engine is measured, as
// the load of every run is stated relative to it.
func New(setup *workload.Setup, horizon time.Duration, seed uint64) *Bench {
	return &Bench{Setup: setup, Horizon: horizon, Seed: seed, capacity: cluster.MeasureCapacity(setup, nil, seed)}
}

// Measure executes a run under a policy.
func (b *Bench) Measure(run Run, policyName string) (*Report, error) {
	e, err := b.execute(run, policyName)
	if err != nil {
		return nil, err
	}
	return b.report(run, policyName, e), nil
}
