package engine

// Usage counts what an engine computed, in tokens.
type Usage struct {
	Prefilled int // prompt tokens computed
	Cached    int // prompt tokens taken from the prefix cache
	Generated int // answer tokens
	Wasted    int // computed for sequences that did not finish, or computed again
	Crashes   int
}

// Computed returns all tokens computed.
func (u Usage) Computed() int { return u.Prefilled + u.Generated }

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{
		Prefilled: u.Prefilled + o.Prefilled,
		Cached:    u.Cached + o.Cached,
		Generated: u.Generated + o.Generated,
		Wasted:    u.Wasted + o.Wasted,
		Crashes:   u.Crashes + o.Crashes,
	}
}

// Sub returns what was added since an earlier usage.
func (u Usage) Sub(o Usage) Usage {
	return Usage{
		Prefilled: u.Prefilled - o.Prefilled,
		Cached:    u.Cached - o.Cached,
		Generated: u.Generated - o.Generated,
		Wasted:    u.Wasted - o.Wasted,
		Crashes:   u.Crashes - o.Crashes,
	}
}
