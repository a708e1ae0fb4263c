package retry

import "sync"

// Budgets holds a budget for each service, of which the instances that share it
// have equal parts. It is safe for concurrent use.
type Budgets struct {
	ratio, burst float64

	mu       sync.Mutex
	parts    float64 // instances that share the burst
	services map[string]*Budget
}

// noReserve stands for no retries without traffic.
const noReserve = 1e-9

// NewBudgets returns budgets of ratio retries for each first try and burst
// retries that all instances may have saved up.
func NewBudgets(ratio, burst float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, parts: 1, services: make(map[string]*Budget)}
}

// Share states the number of instances.
func (b *Budgets) Share(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = float64(max(instances, 1))
	for _, budget := range b.services {
		budget.setBurst(b.burst / b.parts)
	}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = &Budget{Share: b.ratio, Reserve: noReserve, Burst: b.burst / b.parts}
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
