package engine

import "time"

// Classes is the number of classes of sequences that usage is counted for.
const Classes = 2

// Usage counts what an engine computed, in tokens.
type Usage struct {
	Prefilled int // prompt tokens computed
	Cached    int // prompt tokens taken from the prefix cache
	Generated int // answer tokens
	Wasted    int // computed for sequences that did not finish, or computed again
	Crashes   int
	SlotTime  [Classes]time.Duration // that sequences of a class held a slot
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
		SlotTime:  [Classes]time.Duration{u.SlotTime[0] + o.SlotTime[0], u.SlotTime[1] + o.SlotTime[1]},
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
		SlotTime:  [Classes]time.Duration{u.SlotTime[0] - o.SlotTime[0], u.SlotTime[1] - o.SlotTime[1]},
	}
}
