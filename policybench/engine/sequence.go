package engine

import "time"

// EndReason is the reason why a sequence ended.
type EndReason uint8

// The reasons why a sequence ends.
const (
	Finished EndReason = iota
	Canceled
	Crashed
)

type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateEnded
)

// Sequence is one request at an engine.
type Sequence struct {
	Prefix       []uint64 // digests of the leading blocks of the prompt
	PromptTokens int
	OutputTokens int
	Priority     int           // lower runs first
	Class        int           // index into Usage.SlotTime
	Poison       bool          // crashes the engine in the first step that includes it
	RestartDelay time.Duration // how long an engine crashed by Poison stays down
	OnFirstToken func()
	OnEnd        func(EndReason)

	state              state
	pinned             int // number of leading blocks of Prefix pinned in the cache
	privateTokens      int // KV memory held outside the cache, in tokens
	prefilled          int // tokens of prompt and output whose KV state is in memory
	generated          int // output tokens generated so far
	computed           int // tokens computed since the sequence was created or last preempted
	firstTokenReported bool
}

// Computed returns the number of tokens computed for the sequence since it was
// created or last preempted.
func (s *Sequence) Computed() int { return s.computed }

// remainingPrefill returns the number of tokens to compute before the next one can
// be generated. After a preemption they include the output tokens generated
// before.
func (s *Sequence) remainingPrefill() int {
	return s.PromptTokens + s.generated - s.prefilled
}
