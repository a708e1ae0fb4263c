package engine

import "time"

// End says how a sequence ended.
type End uint8

// The ways in which a sequence ends.
const (
	Finished End = iota
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
	Prefix       []uint64 // digests of the prompt's leading blocks
	PromptTokens int
	OutputTokens int
	Priority     int           // lower runs first
	Class        int           // that its usage is counted for
	Poison       bool          // crashes the engine when it is first computed
	Restart      time.Duration // time until an engine crashed by Poison is back
	OnFirstToken func()
	OnEnd        func(End)

	state     state
	pinned    int // leading blocks pinned in the cache
	private   int // tokens held outside the cache
	prefilled int // prompt tokens present
	generated int // answer tokens present
	computed  int // tokens computed for this sequence
	reported  bool
}

// Computed returns the tokens computed for the sequence so far.
func (s *Sequence) Computed() int { return s.computed }

// prefillLeft returns the tokens to compute before the next one can be
// generated: after a preemption also those of the answer so far.
func (s *Sequence) prefillLeft() int {
	return s.PromptTokens + s.generated - s.prefilled
}
