package retry

import "sync"

// Budgets holds this instance's retry budget for each service. The burst of a
// service is divided equally among the instances. It is safe for concurrent use.
type Budgets struct {
	ratio, burst float64

	mu            sync.Mutex
	instanceCount float64 // that the burst is divided among
	services      map[string]*Budget
}

// noMinPerSecond is the MinPerSecond of a Budget that permits no retries without
// traffic; 0 would select the default.
const noMinPerSecond = 1e-9

// NewBudgets returns budgets of ratio retries per first attempt and of burst unused
// retries kept by all instances together.
func NewBudgets(ratio, burst float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, instanceCount: 1, services: make(map[string]*Budget)}
}

// SetInstances sets the number of instances that the burst is divided among.
func (b *Budgets) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instanceCount = float64(max(instances, 1))
	for _, budget := range b.services {
		budget.setBurst(b.burst / b.instanceCount)
	}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = &Budget{Ratio: b.ratio, MinPerSecond: noMinPerSecond, Burst: b.burst / b.instanceCount}
		b.services[service] = budget
	}
	return budget
}

func (b *Budget) setBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.level = min(b.level, burst)
}
