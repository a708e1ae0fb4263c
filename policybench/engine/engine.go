// Package engine models a model engine that batches continuously and keeps a
// prefix cache in limited memory. The model advances in steps: a step computes
// a bounded number of prompt tokens and one token of each sequence that
// generates, and takes a time that grows with both.
package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/policybench/sim"
)

// Config sets the size and speed of an engine.
type Config struct {
	Slots             int           // sequences in the batch
	KVTokens          int           // memory for active sequences and cached prefixes
	BlockTokens       int           // tokens in a block of the prefix cache
	StepPrefillTokens int           // prompt tokens computed in one step
	StepTime          time.Duration // fixed part of a step
	SequenceTime      time.Duration // for each generating sequence in a step
	PrefillTime       time.Duration // for each prompt token computed in a step
}

// Engine is one model engine.
type Engine struct {
	config  Config
	clock   *sim.Clock
	cache   *cache
	waiting []*Sequence // by priority, then arrival
	running []*Sequence
	private int // tokens of running sequences outside the prefix cache
	usage   Usage

	stepping   bool
	generation int     // counts crashes, so that a step of an earlier life is ignored
	down       bool    // crashed and not restarted yet
	slowdown   float64 // factor on the time of a step
}

// New returns an idle engine with an empty cache.
func New(config Config, clock *sim.Clock) *Engine {
	return &Engine{config: config, clock: clock, cache: newCache(), slowdown: 1}
}

// Usage returns the counters since the start.
func (e *Engine) Usage() Usage { return e.usage }

// Up reports whether the engine accepts connections.
func (e *Engine) Up() bool { return !e.down }

// Load returns the engine's load at this moment.
func (e *Engine) Load() backend.Load {
	return backend.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots}
}

// SetSlowdown multiplies the time of every following step.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Submit queues a sequence and reports false if the engine is down.
func (e *Engine) Submit(s *Sequence) bool {
	if e.down {
		return false
	}
	e.enqueue(s, behind)
	e.wake()
	return true
}

// Places in the queue relative to the sequences of the same priority.
const (
	behind = -1
	before = 1
)

// enqueue inserts s behind or before the sequences of its own priority.
func (e *Engine) enqueue(s *Sequence, place int) {
	s.state = stateWaiting
	i, _ := slices.BinarySearchFunc(e.waiting, s.Priority, func(other *Sequence, priority int) int {
		return cmp.Or(cmp.Compare(other.Priority, priority), place)
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// Cancel removes a sequence that has not ended.
func (e *Engine) Cancel(s *Sequence) {
	if s.state == stateEnded {
		return
	}
	e.remove(s)
	e.end(s, Canceled)
}

// Crash fails every sequence, empties the cache and brings the engine back
// after the given time.
func (e *Engine) Crash(restart time.Duration) {
	e.down = true
	e.usage.Crashes++
	e.generation++
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.private, e.stepping = nil, nil, 0, false
	e.cache = newCache()
	for _, s := range lost {
		s.pinned = 0
		e.end(s, Crashed)
	}
	generation := e.generation
	e.clock.After(restart, func() {
		if e.generation == generation {
			e.down = false
		}
	})
}

// remove takes s out of the batch or the queue and frees its memory.
func (e *Engine) remove(s *Sequence) {
	if s.state == stateRunning {
		e.running = without(e.running, s)
		e.release(s)
		return
	}
	e.waiting = without(e.waiting, s)
}

// end reports the end of s.
func (e *Engine) end(s *Sequence, how End) {
	s.state = stateEnded
	if how != Finished {
		e.usage.Wasted += s.computed
	}
	if s.OnEnd != nil {
		s.OnEnd(how)
	}
}

func without(list []*Sequence, s *Sequence) []*Sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
