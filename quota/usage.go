package quota

// Usage describes the bucket of an organization at this instance.
type Usage struct {
	Organization string
	Rate, Burst  float64
	Level        float64 // of the bucket of the deployment, as far as this instance knows
	Spent        float64 // units charged here since the start, without refunds
	SpendingRate float64 // units per second by all instances
	Refused      uint64  // requests
}

// Usage calls yield for each organization with a quota.
func (l *Limiter) Usage(yield func(Usage)) {
	for name, a := range l.accounts.Load().byName {
		a.mu.Lock()
		u := Usage{
			Organization: name, Rate: a.quota.Rate, Burst: a.quota.Burst, Level: a.level(), Spent: a.spent,
			SpendingRate: (a.own + a.region + a.remote) / decayTime.Seconds(), Refused: a.refused,
		}
		a.mu.Unlock()
		yield(u)
	}
}
