package engine

import "time"

// ClassCount is the number of sequence classes; see Sequence.Class.
const ClassCount = 2

// Usage holds the counters of an engine. Tokens are counted unless noted.
type Usage struct {
	Prefilled int // prompt tokens computed
	Cached    int // prompt tokens taken from the prefix cache
	Generated int // output tokens generated in the decode phase, without the first one after each prefill
	Wasted    int // tokens computed for sequences that were canceled, preempted or crashed
	Crashes   int
	SlotTime  [ClassCount]time.Duration // time for which the sequences of each class held slots
}

// Computed returns the number of prompt and output tokens computed.
func (u Usage) Computed() int { return u.Prefilled + u.Generated }

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{
		Prefilled: u.Prefilled + o.Prefilled,
		Cached:    u.Cached + o.Cached,
		Generated: u.Generated + o.Generated,
		Wasted:    u.Wasted + o.Wasted,
		Crashes:   u.Crashes + o.Crashes,
		SlotTime:  [ClassCount]time.Duration{u.SlotTime[0] + o.SlotTime[0], u.SlotTime[1] + o.SlotTime[1]},
	}
}

// Sub returns the difference between u and an earlier usage o of the same engine
// or engines.
func (u Usage) Sub(o Usage) Usage {
	return Usage{
		Prefilled: u.Prefilled - o.Prefilled,
		Cached:    u.Cached - o.Cached,
		Generated: u.Generated - o.Generated,
		Wasted:    u.Wasted - o.Wasted,
		Crashes:   u.Crashes - o.Crashes,
		SlotTime:  [ClassCount]time.Duration{u.SlotTime[0] - o.SlotTime[0], u.SlotTime[1] - o.SlotTime[1]},
	}
}
