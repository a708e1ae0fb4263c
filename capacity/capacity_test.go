package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func estimator() learner { return own{&Estimator{}} }
func nominal() learner   { return fixed{} }

// scenario is a load on servers for the comparison of learners.
type scenario struct {
	name    string
	servers func() []*server
	rate    float64 // requests per second of each server
	slow    float64 // speed of the first quarter of the servers from 10 s to 20 s; 0: as usual
	calls   bool
}

func same(count int, make func() *server) func() []*server {
	return func() []*server {
		var list []*server
		for range count {
			list = append(list, make())
		}
		return list
	}
}

// engines returns eight engines, a quarter of which are slow.
func engines() []*server {
	var list []*server
	for k := range 8 {
		speed := 1.2
		if k%4 == 0 {
			speed = 0.55
		}
		list = append(list, engine(speed))
	}
	return list
}

var scenarios = []scenario{
	{"equal engines, 4/s", same(8, func() *server { return engine(1) }), 4, 0, false},
	{"a quarter at 0.55, 5/s", engines, 5, 0, false},
	{"a quarter at 0.55, 7/s", engines, 7, 0, false},
	{"a quarter 4 times slower for 10 s, 5/s", same(8, func() *server { return engine(1) }), 5, 0.25, false},
	{"equal engines, 6/s", same(8, func() *server { return engine(1) }), 6, 0, false},
	{"plain that slow down, 20/s", same(4, func() *server { return plain(1) }), 20, 0, true},
	{"plain that slow down, 40/s", same(4, func() *server { return plain(1) }), 40, 0, true},
}

func (c scenario) play(seed uint64, instances int, share bool, make func() learner) *sim {
	s := newSim(seed, instances, share, make, c.servers()...)
	s.eachSecond = func(second int) {
		for k, x := range s.servers[:len(s.servers)/4] {
			if c.slow > 0 && second == 10 {
				x.speed = c.slow
			} else if c.slow > 0 && second == 20 {
				x.speed = c.servers()[k].speed
			}
		}
	}
	load := s.engineRequest
	if c.calls {
		load = s.call
	}
	s.run(40*time.Second, c.rate*float64(len(s.servers)), load)
	return s
}

// BenchmarkAlternatives measures the credit of answers with each learner, for the table of
// docs/design/server-capacity.md.
func BenchmarkAlternatives(b *testing.B) {
	for _, c := range scenarios {
		for _, l := range []struct {
			name  string
			make  func() learner
			share bool
		}{
			{"nominal", nominal, false},
			{"AIMD", newAIMD, false},
			{"gradient", newGradient, false},
			{"delay window", newDelayWindow, false},
			{"throughput", newThroughput, false},
			{"estimator alone", estimator, false},
			{"estimator", estimator, true},
		} {
			for _, n := range []int{1, 7, 80} {
				b.Run(fmt.Sprintf("%s/%s/%d", c.name, l.name, n), func(b *testing.B) {
					credit := 0.0
					for seed := range b.N {
						credit += c.play(uint64(seed), n, l.share, l.make).credit()
					}
					b.ReportMetric(credit/float64(b.N), "credit")
				})
			}
		}
	}
}

// TestSlowingServers guards against servers that slow down before they are full and are
// filled all the same, and against instances that each see too little to learn it.
func TestSlowingServers(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 7, 80} {
		s := scenarios[5].play(1, instances, true, estimator)
		full := scenarios[5].play(1, instances, true, nominal)
		t.Logf("%d instances: %s; with all slots: %s", instances, s, full)
		qt.Check(t, float64(s.inTime) >= 0.9*float64(s.inTime+s.late+s.refused), qt.IsTrue, qt.Commentf("%d instances: %s", instances, s))
	}
}

// TestQuarterOfSlowEngines guards against fewer answers because slow engines are limited:
// their slots are still needed.
func TestQuarterOfSlowEngines(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 80} {
		var learned, all float64
		for seed := range uint64(3) {
			learned += scenarios[1].play(seed, instances, true, estimator).credit() / 3
			all += scenarios[1].play(seed, instances, true, nominal).credit() / 3
		}
		t.Logf("%d instances: credit %.3f, with all slots %.3f", instances, learned, all)
		qt.Check(t, learned >= all-0.01, qt.IsTrue, qt.Commentf("%d instances: credit %.3f, with all slots %.3f", instances, learned, all))
	}
}

// TestSteadyServersKeepAllSlots guards against a limit on servers of equal speed that
// answer well, also when all their slots are in use.
func TestSteadyServersKeepAllSlots(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 7, 80} {
		s := newSim(1, instances, true, estimator, engine(1), engine(1), engine(1))
		s.eachSecond = func(second int) {
			for _, x := range s.servers {
				qt.Check(t, x.limit, qt.Equals, 16, qt.Commentf("%d instances, second %d", instances, second))
			}
		}
		s.run(20*time.Second, 30, func() *request {
			return &request{prefill: 10, events: 8, perEvent: 16, target: 800 * time.Millisecond, maxGap: 400 * time.Millisecond}
		})
		qt.Check(t, s.late, qt.Equals, 0)
		qt.Check(t, s.refused > 0, qt.IsTrue, qt.Commentf("the slots were not all in use: %s", s))
	}
}

// TestEngineThatSlowsDownAndRecovers guards against a server that stays limited, or is not
// limited, when it becomes four times slower for ten seconds.
func TestEngineThatSlowsDownAndRecovers(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 7, 80} {
		s := newSim(1, instances, true, estimator, same(8, func() *server { return engine(1) })()...)
		least, recovered := 16, 0 // slots while slow, and the second at which all are used again
		s.eachSecond = func(second int) {
			switch second {
			case 10:
				s.servers[0].speed = 0.25
			case 20:
				s.servers[0].speed = 1
			}
			slots := s.servers[0].limit
			if second > 10 && second <= 16 {
				least = min(least, slots)
			}
			if second > 20 && slots == 16 && recovered == 0 {
				recovered = second
			}
		}
		s.run(36*time.Second, 32, s.engineRequest)
		qt.Check(t, least <= 12, qt.IsTrue, qt.Commentf("%d instances: %d slots after 6 s", instances, least))
		qt.Check(t, recovered > 0 && recovered <= 32, qt.IsTrue, qt.Commentf("%d instances: all slots at second %d", instances, recovered))
	}
}

// TestLimitDoesNotFollowUnrelatedMisses guards against a limit that stays low although
// answers are late at any concurrency.
func TestLimitDoesNotFollowUnrelatedMisses(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	e, now, total := &Estimator{}, time.Unix(1e9, 0), 0
	const steps = 6000
	for range steps {
		now = now.Add(10 * time.Millisecond)
		requests := 1 + random.IntN(e.Slots(now, 16))
		e.Observe(now, 16, Sample{Requests: requests, Ratio: 0.6 + random.Float64(), Began: now.Add(-time.Millisecond)})
		e.Evaluate(now, 16, true)
		total += e.Slots(now, 16)
	}
	qt.Check(t, float64(total)/steps >= 0.9*16, qt.IsTrue, qt.Commentf("mean slots %.1f", float64(total)/steps))
}

// TestLimitIsAtLeastOne guards against a server that is excluded, and against values from
// other instances that cannot be right.
func TestLimitIsAtLeastOne(t *testing.T) {
	t.Parallel()
	e, now := &Estimator{}, time.Unix(1e9, 0)
	for k := range 2000 {
		now = now.Add(10 * time.Millisecond)
		requests := 1 + k%max(1, e.Slots(now, 6))
		e.Observe(now, 6, Sample{Requests: requests, Ratio: float64(requests), Began: now.Add(-time.Millisecond)})
		e.Evaluate(now, 6, true)
		qt.Assert(t, e.Slots(now, 6) >= 1, qt.IsTrue)
	}
	version := e.limit.Version
	for _, l := range []Limit{
		{Version: version + 1, Ceiling: 4, Floor: 0.5, At: now},
		{Version: version + 1, Ceiling: math.NaN(), Floor: 1, At: now},
		{Version: version + 1, Ceiling: 2, Floor: 3, At: now},
		{Version: version + 1, Ceiling: 2, Floor: 1, Releases: -1, At: now},
		{Version: version + 1, Ceiling: 2, Floor: 1, Use: useCount, At: now},
		{Version: version + 1, At: now},
		{Version: math.MaxUint32, Ceiling: 2, Floor: 1, At: now},
	} {
		e.Merge(now, "other", false, Report{Limit: l})
		qt.Check(t, e.limit.Version, qt.Equals, version, qt.Commentf("%+v", l))
	}
	for _, evidence := range []Evidence{
		{Samples: math.Inf(1), Count: 1}, {Samples: 1, Misses: 2, Count: 1}, {Samples: -1, Count: 1}, {Ratio: math.NaN(), Count: 1},
	} {
		e.Merge(now, "other", false, Report{Limit: e.limit, Evidence: evidence})
		qt.Check(t, e.others, qt.HasLen, 0, qt.Commentf("%+v", evidence))
	}
}

// TestAdmissionFollowsThroughput guards against requests that are refused although the
// server would serve more per second, and against a server that is filled although it
// serves fewer per second then.
func TestAdmissionFollowsThroughput(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		ratio func(n float64) float64
		admit bool // all slots
	}{
		{"times rise less than the requests", func(n float64) float64 { return 0.6 + 0.04*n }, true},
		{"times rise more than the requests", func(n float64) float64 { return n * n / 100 }, false},
	} {
		random := rand.New(rand.NewPCG(1, 1))
		e, now := &Estimator{}, time.Unix(1e9, 0)
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			n := 1 + random.IntN(e.Slots(now, 16))
			e.Observe(now, 16, Sample{Requests: n, Ratio: test.ratio(float64(n)), Began: now.Add(-time.Millisecond)})
			e.Evaluate(now, 16, true)
		}
		qt.Check(t, e.Slots(now, 16) < 16, qt.IsTrue, qt.Commentf("%s: %d slots", test.name, e.Slots(now, 16)))
		qt.Check(t, e.AdmissionSlots(now, 16) == 16, qt.Equals, test.admit, qt.Commentf("%s: %d admitted", test.name, e.AdmissionSlots(now, 16)))
	}
}
