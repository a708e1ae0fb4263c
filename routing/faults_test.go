package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// target is the time to first token of urgent work.
const target = 1900 * time.Millisecond

// reportScorer is the scorer with the mechanisms off: it goes by the last load
// report.
type reportScorer struct{}

func (reportScorer) Score(_ *Request, server *backend.Server, _ int) time.Duration {
	load := server.Load()
	return time.Duration(load.Running+load.Waiting) * time.Second / time.Duration(load.Slots)
}

// off returns a change to a simulation that turns the mechanisms off.
func (s *sim) off() {
	for i, router := range s.routers {
		router.Scorer = reportScorer{}
		router.Picker = LeastCost{FullPenalty: time.Nanosecond}
		router.Sample = maxSample
		router.Prefix = nil
		s.ejectors[i] = nil
	}
}

// onAndOff runs the same load with the mechanisms and without.
func onAndOff(run func(off bool) *sim) (on, off *sim) { return run(false), run(true) }

func TestSlowReplica(t *testing.T) {
	c := qt.New(t)
	on, off := onAndOff(func(off bool) *sim {
		s := newSim(6, 9, 500*time.Millisecond, 1)
		s.engines["engine-3"].rate = simRate / 20
		if off {
			s.off()
		}
		s.arrive(24, time.Minute, s.randomPrompt)
		s.run(3 * time.Minute)
		return s
	})
	slow := func(s *sim) int { return s.engines["engine-3"].served }
	t.Logf("p99 on %v, off %v; slow engine ran %d and %d of %d", on.percentile(.99), off.percentile(.99), slow(on), slow(off), len(on.first))
	c.Assert(off.percentile(.99) > target, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
	c.Assert(slow(on)*100 < 2*len(on.first), qt.IsTrue)
}

// TestSlowReplicaRecovers has a replica that is slow for a minute.
func TestSlowReplicaRecovers(t *testing.T) {
	c := qt.New(t)
	s := newSim(6, 9, 500*time.Millisecond, 1)
	e := s.engines["engine-3"]
	e.rate = simRate / 20
	s.arrive(24, 6*time.Minute, s.randomPrompt)
	s.run(time.Minute)
	e.rate = simRate
	s.run(4 * time.Minute)
	before := e.served
	s.run(time.Minute)
	t.Logf("in the last minute it ran %d of 1440, p99 %v", e.served-before, s.percentile(.99))
	c.Assert(e.served-before > 1440/9/2, qt.IsTrue)
	c.Assert(s.percentile(.99) < target, qt.IsTrue)
}

func TestFlappingReplica(t *testing.T) {
	c := qt.New(t)
	on, off := onAndOff(func(off bool) *sim {
		s := newSim(6, 9, 500*time.Millisecond, 2)
		flap := s.engines["engine-3"]
		s.every(5*time.Second, func() { flap.failing = !flap.failing })
		for i := range s.ejectors {
			if off {
				s.ejectors[i] = nil
			}
		}
		s.arrive(24, 2*time.Minute, s.randomPrompt)
		s.run(3 * time.Minute)
		return s
	})
	served := on.engines["engine-3"].served
	t.Logf("failed attempts on %d, off %d of %d requests; flapping engine ran %d", on.failures, off.failures, len(on.first), served)
	c.Assert(off.failures*100 > 3*len(off.first), qt.IsTrue)
	c.Assert(on.failures*100 < 3*len(on.first), qt.IsTrue)
	c.Assert(served > 0, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
}

// TestLateReportsAndHerd has reports that are 2 s and 10 s old. With slots held
// for 4 s the reports matter most; with long prompts it is the work since.
func TestLateReportsAndHerd(t *testing.T) {
	for _, load := range []struct {
		name      string
		decode    time.Duration
		perSecond float64
		lag       time.Duration
	}{
		{"prefill bound", simDecode, 75, 2 * time.Second},
		{"slot bound", 4 * time.Second, 28, 2 * time.Second},
		{"slot bound, very late", 4 * time.Second, 28, 10 * time.Second},
	} {
		t.Run(load.name, func(t *testing.T) {
			c := qt.New(t)
			on, off := onAndOff(func(off bool) *sim {
				s := newSim(7, 18, load.lag, 3)
				for _, e := range s.engines {
					e.decode = load.decode
				}
				if off {
					s.off()
				}
				s.arrive(load.perSecond, 2*time.Minute, s.randomPrompt)
				s.run(4 * time.Minute)
				return s
			})
			t.Logf("p50 on %v, off %v; p99 on %v, off %v", on.percentile(.5), off.percentile(.5), on.percentile(.99), off.percentile(.99))
			c.Assert(off.percentile(.99) > target, qt.IsTrue)
			c.Assert(on.percentile(.99) < target, qt.IsTrue)
		})
	}
}

// TestPrefixAffinityUnderLoadBound has 12 prompts of 2,048 tokens; half of the
// requests share one, which must not fill one engine.
func TestPrefixAffinityUnderLoadBound(t *testing.T) {
	c := qt.New(t)
	prompts := make([][]uint64, 12)
	for i := range prompts {
		prompts[i] = prefixOf(uint64(i), 32)
	}
	on, off := onAndOff(func(off bool) *sim {
		s := newSim(6, 9, 500*time.Millisecond, 4)
		for _, router := range s.routers {
			if off {
				router.Prefix = nil
			}
		}
		s.arrive(40, time.Minute, func() (int, []uint64) {
			if s.random.IntN(2) == 0 {
				return 2100, prompts[0]
			}
			return 2100, prompts[s.random.IntN(len(prompts))]
		})
		s.run(2 * time.Minute)
		return s
	})
	most := 0
	for _, e := range on.engines {
		most = max(most, e.served)
	}
	t.Logf("prompt tokens computed on %d, off %d; p99 on %v, off %v; busiest engine ran %d of %d",
		on.tokens, off.tokens, on.percentile(.99), off.percentile(.99), most, len(on.first))
	c.Assert(on.tokens*10 < 6*off.tokens, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
	c.Assert(most*2 < len(on.first), qt.IsTrue)
}
