// Package engine simulates a model engine with continuous batching and a prefix
// cache in limited memory. The simulation advances in steps. A step computes a
// bounded number of prompt tokens and generates one token for each sequence in
// the decode phase; its duration grows with both.
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
	Slots             int           // largest number of sequences in the batch
	KVTokens          int           // KV memory for running sequences and cached prefixes
	BlockTokens       int           // tokens in a block of the prefix cache
	StepPrefillTokens int           // largest number of prompt tokens computed in one step
	StepBaseTime      time.Duration // fixed part of the duration of a step
	DecodeTime        time.Duration // added for each sequence in the decode phase
	PrefillTime       time.Duration // added for each prompt token computed
}

// Engine is one simulated model engine.
type Engine struct {
	config        Config
	clock         *sim.Clock
	cache         *cache
	waiting       []*Sequence // by priority, then by arrival; preempted ones before others of equal priority
	running       []*Sequence
	privateTokens int // tokens of running sequences outside the prefix cache
	usage         Usage

	stepping   bool
	generation int     // number of crashes; events scheduled before the last crash are ignored
	down       bool    // crashed and not restarted yet
	slowdown   float64 // factor on the duration of a step
}

// New returns an idle engine with an empty cache.
func New(config Config, clock *sim.Clock) *Engine {
	return &Engine{config: config, clock: clock, cache: newCache(), slowdown: 1}
}

// Usage returns the counters since the engine was created; a crash does not
// reset them.
func (e *Engine) Usage() Usage { return e.usage }

// Up reports whether the engine accepts connections.
func (e *Engine) Up() bool { return !e.down }

// Load returns the current load of the engine.
func (e *Engine) Load() backend.Load {
	return backend.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots}
}

// SetSlowdown sets the factor on the duration of every step that starts later.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Submit queues a sequence and reports false if the engine is down.
func (e *Engine) Submit(s *Sequence) bool {
	if e.down {
		return false
	}
	e.enqueue(s, afterEqual)
	e.scheduleStep()
	return true
}

// Positions in the queue relative to the sequences of equal priority.
const (
	afterEqual  = -1
	beforeEqual = 1
)

// enqueue inserts s at the position, afterEqual or beforeEqual, relative to the
// waiting sequences of equal priority.
func (e *Engine) enqueue(s *Sequence, position int) {
	s.state = stateWaiting
	i, _ := slices.BinarySearchFunc(e.waiting, s.Priority, func(other *Sequence, priority int) int {
		return cmp.Or(cmp.Compare(other.Priority, priority), position)
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// Cancel ends a sequence. It does nothing if the sequence has already ended.
func (e *Engine) Cancel(s *Sequence) {
	if s.state == stateEnded {
		return
	}
	e.remove(s)
	e.end(s, Canceled)
}

// Crash ends every sequence as Crashed, empties the cache and keeps the engine
// down for restartDelay.
func (e *Engine) Crash(restartDelay time.Duration) {
	e.down = true
	e.usage.Crashes++
	e.generation++
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.privateTokens, e.stepping = nil, nil, 0, false
	e.cache = newCache()
	for _, s := range lost {
		s.pinned = 0
		e.end(s, Crashed)
	}
	generation := e.generation
	e.clock.After(restartDelay, func() {
		if e.generation == generation {
			e.down = false
		}
	})
}

// remove removes s from the batch or the queue and frees its memory.
func (e *Engine) remove(s *Sequence) {
	if s.state == stateRunning {
		e.running = removeFrom(e.running, s)
		e.release(s)
		return
	}
	e.waiting = removeFrom(e.waiting, s)
}

// end marks s as ended, counts the tokens computed for it as wasted unless it
// finished, and calls OnEnd.
func (e *Engine) end(s *Sequence, reason EndReason) {
	s.state = stateEnded
	if reason != Finished {
		e.usage.Wasted += s.computed
	}
	if s.OnEnd != nil {
		s.OnEnd(reason)
	}
}

func removeFrom(list []*Sequence, s *Sequence) []*Sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
