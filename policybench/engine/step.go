package engine

import "time"

// reserveTokens is the memory, in tokens, that must be free in addition to the
// memory for a sequence's prompt before the sequence starts.
const reserveTokens = 64

// stepItem is the computation of one step for one sequence.
type stepItem struct {
	sequence *Sequence
	prefill  int // prompt tokens to compute; 0: one output token is generated
}

// scheduleStep fills the batch and starts a step. It does nothing if a step is in
// progress or the engine is down.
func (e *Engine) scheduleStep() {
	if e.stepping || e.down {
		return
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return
	}
	plan, duration := e.plan()
	e.stepping = true
	generation := e.generation
	e.clock.After(duration, func() {
		if e.generation == generation {
			e.addSlotTime(duration)
			e.finishStep(plan)
		}
	})
}

// fillBatch moves waiting sequences into the batch as long as slots and memory
// are available.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		s := e.waiting[0]
		if !e.tryStart(s) {
			return
		}
		e.waiting = e.waiting[1:]
	}
}

// tryStart allocates memory for s, adds s to the batch and reports whether it did.
// If no other sequence is running, s starts even if the memory is not sufficient.
func (e *Engine) tryStart(s *Sequence) bool {
	blocks := e.cache.prefixHits(s.Prefix)
	for _, digest := range s.Prefix[:blocks] {
		e.cache.pin(digest)
	}
	hitTokens := blocks * e.config.BlockTokens
	neededTokens := s.PromptTokens + s.generated - hitTokens
	if !e.evictToFit(neededTokens+reserveTokens) && len(e.running) > 0 {
		e.cache.unpin(s.Prefix[:blocks])
		return false
	}
	s.state = stateRunning
	// At least one prompt token is computed, because its result is the first
	// output token.
	s.prefilled = min(hitTokens, s.PromptTokens+s.generated-1)
	s.pinned, s.privateTokens = blocks, neededTokens
	e.privateTokens += neededTokens
	e.usage.Cached += s.prefilled
	e.running = append(e.running, s)
	return true
}

// plan returns the items of the next step and its duration. Running sequences get
// prompt tokens from the budget of the step in the order in which they started.
func (e *Engine) plan() ([]stepItem, time.Duration) {
	plan := make([]stepItem, 0, len(e.running))
	budget, decodes := e.config.StepPrefillTokens, 0
	for _, s := range e.running {
		remaining := s.remainingPrefill()
		if remaining == 0 {
			plan = append(plan, stepItem{sequence: s})
			decodes++
			continue
		}
		if tokens := min(remaining, budget); tokens > 0 {
			plan = append(plan, stepItem{sequence: s, prefill: tokens})
			budget -= tokens
		}
	}
	prefill := e.config.StepPrefillTokens - budget
	duration := e.config.StepBaseTime +
		time.Duration(decodes)*e.config.DecodeTime +
		time.Duration(prefill)*e.config.PrefillTime
	return plan, time.Duration(float64(duration) * e.slowdown)
}

// addSlotTime adds the duration of a step to the slot time for each running
// sequence.
func (e *Engine) addSlotTime(duration time.Duration) {
	for _, s := range e.running {
		e.usage.SlotTime[s.Class] += duration
	}
}

// finishStep applies the plan of a step and schedules the next step. The field
// stepping stays true until the whole plan is applied, so that a sequence
// submitted by a callback does not start another step.
func (e *Engine) finishStep(plan []stepItem) {
	for _, item := range plan {
		s := item.sequence
		if s.state != stateRunning {
			continue // canceled or preempted during the step
		}
		if s.Poison {
			e.Crash(s.RestartDelay)
			return
		}
		e.advance(s, item.prefill)
	}
	e.stepping = false
	e.scheduleStep()
}

// advance applies one step to a running sequence. A step that completes its
// prefill also generates a token.
func (e *Engine) advance(s *Sequence, prefill int) {
	s.computed += max(prefill, 1)
	if prefill > 0 {
		e.usage.Prefilled += prefill
		s.prefilled += prefill
		if s.remainingPrefill() > 0 {
			return
		}
		e.cachePrefix(s)
	} else {
		e.usage.Generated++
	}
	s.generated++
	s.prefilled++ // the KV state of the new token is in memory for the next step
	s.privateTokens++
	e.privateTokens++
	if !s.firstTokenReported {
		s.firstTokenReported = true
		if s.OnFirstToken != nil {
			s.OnFirstToken()
		}
	}
	if s.generated >= s.OutputTokens {
		e.remove(s)
		e.end(s, Finished)
		return
	}
	e.preemptToFit(s)
}

// cachePrefix moves the blocks of s.Prefix that s holds outside the cache into the
// cache, and pins them.
func (e *Engine) cachePrefix(s *Sequence) {
	for _, digest := range s.Prefix[s.pinned:] {
		e.cache.pin(digest)
		s.pinned++
		s.privateTokens -= e.config.BlockTokens
		e.privateTokens -= e.config.BlockTokens
	}
}

// release frees the memory of s. The blocks that it had pinned stay cached until
// they are evicted.
func (e *Engine) release(s *Sequence) {
	e.cache.unpin(s.Prefix[:s.pinned])
	e.privateTokens -= s.privateTokens
	s.pinned, s.privateTokens = 0, 0
}

// usedTokens returns the memory used by cached blocks and running sequences, in
// tokens.
func (e *Engine) usedTokens() int {
	return len(e.cache.blocks)*e.config.BlockTokens + e.privateTokens
}

// evictToFit evicts unpinned blocks until the given number of additional tokens
// fits into memory, and reports whether it does.
func (e *Engine) evictToFit(tokens int) bool {
	for e.usedTokens()+tokens > e.config.KVTokens {
		if !e.cache.evict() {
			return false
		}
	}
	return true
}

// preemptToFit preempts sequences until the memory in use is within KVTokens, only
// one sequence is running, or grown itself is preempted. It preempts the sequence
// with the highest value of Priority first, and of equal ones the one that started
// last.
func (e *Engine) preemptToFit(grown *Sequence) {
	for !e.evictToFit(0) && len(e.running) > 1 {
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

// preempt moves s from the batch to the queue, before the sequences of equal
// priority. Its KV state must be computed again, except for blocks that are still
// cached when it restarts.
func (e *Engine) preempt(s *Sequence) {
	e.remove(s)
	e.usage.Wasted += s.computed
	s.computed = 0
	s.prefilled = 0
	e.enqueue(s, beforeEqual)
}
