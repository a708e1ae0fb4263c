package engine

import "time"

// growthReserve is the memory in tokens that a sequence must find beyond its
// prompt before it is started.
const growthReserve = 64

// work is the part of a step done for one sequence.
type work struct {
	sequence *Sequence
	prefill  int // prompt tokens; zero: one token is generated
}

// wake starts a step unless one is running.
func (e *Engine) wake() {
	if e.stepping || e.down {
		return
	}
	e.startWaiting()
	if len(e.running) == 0 {
		return
	}
	plan, duration := e.plan()
	e.stepping = true
	generation := e.generation
	e.clock.After(duration, func() {
		if e.generation == generation {
			e.countSlots(duration)
			e.finishStep(plan)
		}
	})
}

// startWaiting moves sequences into the batch while slots and memory last.
func (e *Engine) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		s := e.waiting[0]
		if !e.start(s) {
			return
		}
		e.waiting = e.waiting[1:]
	}
}

// start gives s its memory and reports whether there was enough.
func (e *Engine) start(s *Sequence) bool {
	blocks := e.cache.hits(s.Prefix)
	for _, digest := range s.Prefix[:blocks] {
		e.cache.pin(digest)
	}
	hit := blocks * e.config.BlockTokens
	need := s.PromptTokens + s.generated - hit
	if !e.makeRoom(need+growthReserve) && len(e.running) > 0 {
		e.cache.unpin(s.Prefix[:blocks])
		return false
	}
	s.state = stateRunning
	// At least one token is computed, as its result is the first of the answer.
	s.prefilled = min(hit, s.PromptTokens+s.generated-1)
	s.pinned, s.private = blocks, need
	e.private += need
	e.usage.Cached += s.prefilled
	e.running = append(e.running, s)
	return true
}

// plan divides the next step among the running sequences and returns how long
// it takes.
func (e *Engine) plan() ([]work, time.Duration) {
	plan := make([]work, 0, len(e.running))
	budget, decodes := e.config.StepPrefillTokens, 0
	for _, s := range e.running {
		left := s.prefillLeft()
		if left == 0 {
			plan = append(plan, work{sequence: s})
			decodes++
			continue
		}
		if take := min(left, budget); take > 0 {
			plan = append(plan, work{sequence: s, prefill: take})
			budget -= take
		}
	}
	prefill := e.config.StepPrefillTokens - budget
	duration := e.config.StepTime +
		time.Duration(decodes)*e.config.SequenceTime +
		time.Duration(prefill)*e.config.PrefillTime
	return plan, time.Duration(float64(duration) * e.slowdown)
}

// countSlots adds the duration of a step to the time that slots were held.
func (e *Engine) countSlots(duration time.Duration) {
	for _, s := range e.running {
		e.usage.SlotTime[s.Class] += duration
	}
}

// finishStep applies a step. The engine counts as stepping until the whole plan
// is applied, so that a sequence submitted meanwhile starts no other step.
func (e *Engine) finishStep(plan []work) {
	for _, w := range plan {
		s := w.sequence
		if s.state != stateRunning {
			continue // canceled or preempted during the step
		}
		if s.Poison {
			e.Crash(s.Restart)
			return
		}
		e.advance(s, w.prefill)
	}
	e.stepping = false
	e.wake()
}

// advance applies one step to a running sequence.
func (e *Engine) advance(s *Sequence, prefill int) {
	s.computed += max(prefill, 1)
	if prefill > 0 {
		e.usage.Prefilled += prefill
		s.prefilled += prefill
		if s.prefillLeft() > 0 {
			return
		}
		e.share(s)
	} else {
		e.usage.Generated++
	}
	s.generated++
	s.prefilled++ // the new token's own state is present for the next step
	s.private++
	e.private++
	if !s.reported {
		s.reported = true
		if s.OnFirstToken != nil {
			s.OnFirstToken()
		}
	}
	if s.generated >= s.OutputTokens {
		e.remove(s)
		e.end(s, Finished)
		return
	}
	e.fit(s)
}

// share moves the prompt's whole blocks into the cache.
func (e *Engine) share(s *Sequence) {
	for _, digest := range s.Prefix[s.pinned:] {
		e.cache.pin(digest)
		s.pinned++
		s.private -= e.config.BlockTokens
		e.private -= e.config.BlockTokens
	}
}

// release frees the memory of s. Its pinned blocks stay cached until evicted.
func (e *Engine) release(s *Sequence) {
	e.cache.unpin(s.Prefix[:s.pinned])
	e.private -= s.private
	s.pinned, s.private = 0, 0
}

// used returns the memory in use, in tokens.
func (e *Engine) used() int {
	return len(e.cache.blocks)*e.config.BlockTokens + e.private
}

// makeRoom evicts idle blocks until tokens more fit, and reports whether they
// do.
func (e *Engine) makeRoom(tokens int) bool {
	for e.used()+tokens > e.config.KVTokens {
		if !e.cache.evict() {
			return false
		}
	}
	return true
}

// fit preempts sequences until the memory suffices: the least urgent first,
// and of these the one started last.
func (e *Engine) fit(grown *Sequence) {
	for !e.makeRoom(0) && len(e.running) > 1 {
		victim := e.running[0]
		for _, s := range e.running {
			if s.Priority >= victim.Priority {
				victim = s
			}
		}
		e.preempt(victim)
		if victim == grown {
			return
		}
	}
}

// preempt puts s back into the queue; its state is computed again.
func (e *Engine) preempt(s *Sequence) {
	e.remove(s)
	e.usage.Wasted += s.computed
	s.computed = 0
	s.prefilled = 0
	e.enqueue(s, before)
}
