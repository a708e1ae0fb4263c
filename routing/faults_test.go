package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// target is the latency target for the time to first token of urgent work.
const target = 1900 * time.Millisecond

// reportScorer is the baseline scorer: it uses only the last load report.
type reportScorer struct{}

func (reportScorer) Score(_ *Request, server *backend.Server, _ int) time.Duration {
	load := server.Load()
	return time.Duration(load.Running+load.Waiting) * time.Second / time.Duration(load.Slots)
}

// disableMechanisms replaces the mechanisms under test by baselines: scoring by
// the last load report, no penalty for occupied slots, the largest sample, no
// prefix affinity and no ejection.
func (s *sim) disableMechanisms() {
	for i, router := range s.routers {
		router.Scorer = reportScorer{}
		router.Picker = LeastCost{FullPenalty: time.Nanosecond}
		router.SampleSize = maxSample
		router.Prefix = nil
		s.ejectors[i] = nil
	}
}

// onAndOff runs the same load with the mechanisms under test enabled and disabled.
func onAndOff(run func(off bool) *sim) (on, off *sim) { return run(false), run(true) }

func TestSlowReplica(t *testing.T) {
	c := qt.New(t)
	on, off := onAndOff(func(off bool) *sim {
		s := newSim(6, 9, 500*time.Millisecond, 1)
		s.engines["engine-3"].rate = simRate / 20
		if off {
			s.disableMechanisms()
		}
		s.scheduleRequests(24, time.Minute, s.randomPrompt)
		s.run(3 * time.Minute)
		return s
	})
	slow := func(s *sim) int { return s.engines["engine-3"].served }
	t.Logf("p99 enabled %v, disabled %v; slow engine served %d and %d of %d requests", on.percentile(.99), off.percentile(.99), slow(on), slow(off), len(on.firstTokenTimes))
	c.Assert(off.percentile(.99) > target, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
	c.Assert(slow(on)*100 < 2*len(on.firstTokenTimes), qt.IsTrue)
}

// TestSlowReplicaRecovers checks that a replica that was slow for a minute gets its
// share of requests again later.
func TestSlowReplicaRecovers(t *testing.T) {
	c := qt.New(t)
	s := newSim(6, 9, 500*time.Millisecond, 1)
	e := s.engines["engine-3"]
	e.rate = simRate / 20
	s.scheduleRequests(24, 6*time.Minute, s.randomPrompt)
	s.run(time.Minute)
	e.rate = simRate
	s.run(4 * time.Minute)
	before := e.served
	s.run(time.Minute)
	t.Logf("replica served %d of 1440 requests in the last minute, p99 %v", e.served-before, s.percentile(.99))
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
		s.scheduleRequests(24, 2*time.Minute, s.randomPrompt)
		s.run(3 * time.Minute)
		return s
	})
	served := on.engines["engine-3"].served
	t.Logf("failed attempts enabled %d, disabled %d of %d requests; flapping engine served %d", on.failures, off.failures, len(on.firstTokenTimes), served)
	c.Assert(off.failures*100 > 3*len(off.firstTokenTimes), qt.IsTrue)
	c.Assert(on.failures*100 < 3*len(on.firstTokenTimes), qt.IsTrue)
	c.Assert(served > 0, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
}

// TestStaleReportsDoNotCauseHerding delays load reports by 2 s and 10 s. If all
// instances went by the last report, all would send to the server that it shows
// idle. When slots are held for 4 s, the outdated reports matter most; when prefill
// is the bottleneck, the requests sent since the report do.
func TestStaleReportsDoNotCauseHerding(t *testing.T) {
	for _, load := range []struct {
		name      string
		decode    time.Duration
		perSecond float64
		lag       time.Duration
	}{
		{"prefill bound", simDecode, 75, 2 * time.Second},
		{"slot bound", 4 * time.Second, 28, 2 * time.Second},
		{"slot bound, 10 s lag", 4 * time.Second, 28, 10 * time.Second},
	} {
		t.Run(load.name, func(t *testing.T) {
			c := qt.New(t)
			on, off := onAndOff(func(off bool) *sim {
				s := newSim(7, 18, load.lag, 3)
				for _, e := range s.engines {
					e.decode = load.decode
				}
				if off {
					s.disableMechanisms()
				}
				s.scheduleRequests(load.perSecond, 2*time.Minute, s.randomPrompt)
				s.run(4 * time.Minute)
				return s
			})
			t.Logf("p50 enabled %v, disabled %v; p99 enabled %v, disabled %v", on.percentile(.5), off.percentile(.5), on.percentile(.99), off.percentile(.99))
			c.Assert(off.percentile(.99) > target, qt.IsTrue)
			c.Assert(on.percentile(.99) < target, qt.IsTrue)
		})
	}
}

// TestPrefixAffinityUnderLoadBound sends 12 different prompts with a prefix of 2,048
// tokens. More than half of the requests have the same prompt; prefix affinity must
// not send so many of them to one engine that it is overloaded.
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
		s.scheduleRequests(40, time.Minute, func() (int, []uint64) {
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
	t.Logf("prompt tokens computed enabled %d, disabled %d; p99 enabled %v, disabled %v; busiest engine served %d of %d requests",
		on.tokens, off.tokens, on.percentile(.99), off.percentile(.99), most, len(on.firstTokenTimes))
	c.Assert(on.tokens*10 < 6*off.tokens, qt.IsTrue)
	c.Assert(on.percentile(.99) < target, qt.IsTrue)
	c.Assert(most*2 < len(on.firstTokenTimes), qt.IsTrue)
}
