package retry

import (
	"sync"
	"time"
)

// Budgets holds this instance's retry budget for each service. The burst of a
// service is divided equally among the instances. An instance begins with no retries, so
// that a restart does not renew its part, and keeps one at most until SetInstances is
// called. It is safe for concurrent use.
type Budgets struct {
	ratio, burst float64
	window       time.Duration

	mu        sync.Mutex
	instances instanceCount
	services  map[string]*Budget
}

const (
	// noMinPerSecond is the MinPerSecond of a Budget that permits no retries without
	// traffic; 0 would select the default.
	noMinPerSecond = 1e-9
	// unknownShare is the part of the burst of an instance that does not know how many
	// share it. With less it could not retry at all.
	unknownShare = 1.0
	// defaultWindow is used if no window is given.
	defaultWindow = 10 * time.Second
)

// NewBudgets returns budgets of ratio retries per first attempt and of burst retries beyond
// them by all instances together within a window; 0 stands for 10 s.
func NewBudgets(ratio, burst float64, window time.Duration) *Budgets {
	if window <= 0 {
		window = defaultWindow
	}
	return &Budgets{ratio: ratio, burst: burst, window: window, services: make(map[string]*Budget)}
}

// SetInstances sets the number of instances that the burst is divided among. It must be
// called regularly, and not before this instance is known to the others. A higher number
// applies at once and a lower one after a window, in which the retries of instances that
// are gone still count. The time in which current is false does not count: instances that
// cannot be seen may be running.
func (b *Budgets) SetInstances(now time.Time, instances int, current bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances.update(now, max(instances, 1), current, b.window)
	for _, budget := range b.services {
		budget.setBurst(b.share())
	}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = &Budget{Ratio: b.ratio, MinPerSecond: noMinPerSecond, Burst: b.share(), recent: &recentAttempts{window: b.window}}
		b.services[service] = budget
	}
	return budget
}

// share returns this instance's part of the burst. b.mu is held.
func (b *Budgets) share() float64 {
	if b.instances.count == 0 {
		return min(unknownShare, b.burst)
	}
	return b.burst / float64(b.instances.count)
}

func (b *Budget) setBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.level = min(b.level, b.maxLevel())
}

// instanceCount is the largest number of instances within a window.
type instanceCount struct {
	count      int       // 0: unknown
	lowerSince time.Time // since when fewer than count have been known; zero if as many are
	largest    int       // number known since lowerSince
}

func (c *instanceCount) update(now time.Time, instances int, current bool, window time.Duration) {
	switch {
	case instances >= c.count:
		*c = instanceCount{count: instances}
	case !current || c.lowerSince.IsZero():
		c.lowerSince, c.largest = now, instances
	case now.Sub(c.lowerSince) < window:
		c.largest = max(c.largest, instances)
	default:
		*c = instanceCount{count: max(c.largest, instances)}
	}
}
