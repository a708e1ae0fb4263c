package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/sim"
)

var config = engine.Config{
	Slots: 2, KVTokens: 1024, BlockTokens: 64, StepPrefillTokens: 256,
	StepBaseTime: 10 * time.Millisecond, DecodeTime: time.Millisecond, PrefillTime: 100 * time.Microsecond,
}

// recorder submits sequences to an engine and records the time and order of their
// first tokens and the reasons for their ends.
type recorder struct {
	clock           sim.Clock
	engine          *engine.Engine
	firstTokenAt    map[*engine.Sequence]time.Duration
	ended           map[*engine.Sequence]engine.EndReason
	firstTokenOrder []*engine.Sequence
}

func newRecorder(config engine.Config) *recorder {
	r := &recorder{firstTokenAt: make(map[*engine.Sequence]time.Duration), ended: make(map[*engine.Sequence]engine.EndReason)}
	r.engine = engine.New(config, &r.clock)
	return r
}

func (r *recorder) submit(s *engine.Sequence) *engine.Sequence {
	s.OnFirstToken = func() { r.firstTokenAt[s] = r.clock.Elapsed(); r.firstTokenOrder = append(r.firstTokenOrder, s) }
	s.OnEnd = func(reason engine.EndReason) { r.ended[s] = reason }
	r.engine.Submit(s)
	return s
}

func TestTimeOfOneSequence(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	s := r.submit(&engine.Sequence{PromptTokens: 300, OutputTokens: 3})
	r.clock.RunUntil(time.Minute)
	// Two steps compute 256 and 44 prompt tokens; the second also generates the
	// first output token. Two more steps generate the other two.
	c.Check(r.firstTokenAt[s], qt.Equals, 2*10*time.Millisecond+300*100*time.Microsecond)
	c.Check(r.ended[s], qt.Equals, engine.Finished)
	usage := r.engine.Usage()
	c.Check(usage.Prefilled, qt.Equals, 300)
	c.Check(usage.Generated, qt.Equals, 2)
	c.Check(usage.SlotTime[0], qt.Equals, 4*10*time.Millisecond+2*time.Millisecond+300*100*time.Microsecond)
}

func TestThroughputOfFullBatch(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	var refill func()
	refill = func() {
		s := &engine.Sequence{PromptTokens: 1, OutputTokens: 100}
		s.OnEnd = func(engine.EndReason) { refill() }
		r.engine.Submit(s)
	}
	for range 3 * config.Slots {
		refill()
	}
	r.clock.RunUntil(100 * time.Second)
	// A step with two sequences in the decode phase takes 12 ms.
	c.Check(r.engine.Usage().Generated > 16000, qt.IsTrue)
	c.Check(r.engine.Usage().Generated <= 16667, qt.IsTrue)
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	prefix := []uint64{1, 2, 3, 4}
	r.submit(&engine.Sequence{Prefix: prefix, PromptTokens: 300, OutputTokens: 1})
	r.clock.RunUntil(time.Second)
	r.submit(&engine.Sequence{Prefix: []uint64{1, 2, 3, 5}, PromptTokens: 300, OutputTokens: 1})
	r.clock.RunUntil(2 * time.Second)
	c.Check(r.engine.Usage().Prefilled, qt.Equals, 300+300-3*64)
	c.Check(r.engine.Usage().Cached, qt.Equals, 3*64)
}

func TestPrefixCacheIsLimited(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	// 1,024 tokens hold 16 blocks, so that five prefixes of four blocks do not fit.
	for i := range uint64(10) {
		base := i % 5 * 10
		r.submit(&engine.Sequence{Prefix: []uint64{base, base + 1, base + 2, base + 3}, PromptTokens: 257, OutputTokens: 1})
		r.clock.RunUntil(time.Duration(i+1) * time.Second)
	}
	c.Check(r.engine.Usage().Cached, qt.Equals, 0)
}

func TestPriorityGoesFirst(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	for range 4 {
		r.submit(&engine.Sequence{Priority: 1, PromptTokens: 10, OutputTokens: 50})
	}
	r.clock.RunUntil(100 * time.Millisecond) // both slots are in use by then
	urgent := r.submit(&engine.Sequence{PromptTokens: 10, OutputTokens: 50})
	r.clock.RunUntil(time.Minute)
	c.Check(r.firstTokenOrder[2], qt.Equals, urgent)
}

func TestPreemptedSequenceFinishes(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	a := r.submit(&engine.Sequence{PromptTokens: 300, OutputTokens: 400})
	b := r.submit(&engine.Sequence{Priority: 1, PromptTokens: 300, OutputTokens: 400})
	r.clock.RunUntil(time.Minute)
	c.Check(r.ended[a], qt.Equals, engine.Finished)
	c.Check(r.ended[b], qt.Equals, engine.Finished)
	c.Check(r.engine.Usage().Wasted > 300, qt.IsTrue)
}

func TestCancelStopsWork(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	s := r.submit(&engine.Sequence{PromptTokens: 10, OutputTokens: 1000})
	r.clock.RunUntil(time.Second)
	r.engine.Cancel(s)
	computed := s.Computed()
	r.clock.RunUntil(time.Minute)
	c.Check(r.ended[s], qt.Equals, engine.Canceled)
	c.Check(r.engine.Usage().Wasted, qt.Equals, computed)
	c.Check(r.engine.Load().Running, qt.Equals, 0)
}

func TestPoisonCrashesAndRestarts(t *testing.T) {
	c := qt.New(t)
	r := newRecorder(config)
	neighbor := r.submit(&engine.Sequence{PromptTokens: 10, OutputTokens: 1000})
	r.clock.RunUntil(time.Second)
	poison := r.submit(&engine.Sequence{PromptTokens: 10, OutputTokens: 10, Poison: true, RestartDelay: 20 * time.Second})
	r.clock.RunUntil(2 * time.Second)
	c.Check(r.ended[neighbor], qt.Equals, engine.Crashed)
	c.Check(r.ended[poison], qt.Equals, engine.Crashed)
	c.Check(r.engine.Submit(&engine.Sequence{PromptTokens: 1, OutputTokens: 1}), qt.IsFalse)
	r.clock.RunUntil(22 * time.Second)
	c.Check(r.engine.Up(), qt.IsTrue)
}
