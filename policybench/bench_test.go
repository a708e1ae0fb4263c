package policybench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// testHorizon is the length of the simulated day in tests.
const testHorizon = time.Minute

const testSeed = 1

func findRun(name string) Run {
	for _, r := range Runs() {
		if r.Name == name {
			return r
		}
	}
	panic("unknown run " + name)
}

// TestEveryRequestEndsOnce executes all runs under all policies. The cluster
// panics if a request or a task ends twice.
func TestEveryRequestEndsOnce(t *testing.T) {
	t.Parallel()
	bench := New(workload.SwatchGuild(), testHorizon, testSeed)
	for _, run := range Runs() {
		for _, policy := range PolicyNames() {
			t.Run(run.Name+"/"+policy, func(t *testing.T) {
				c := qt.New(t)
				e, err := bench.execute(run, policy)
				c.Assert(err, qt.IsNil)
				arrivals := workload.Generate(bench.Setup, bench.shape(run), bench.capacity.RequestsPerSecond, bench.Seed)
				resent := 0
				for _, r := range e.cluster.Requests {
					c.Assert(r.Ended, qt.IsTrue)
					c.Assert(!r.WithinTarget() || r.FirstTokenReceived, qt.IsTrue)
					resent += min(r.ResendCount, 1)
				}
				c.Check(len(e.cluster.Requests)-resent, qt.Equals, len(arrivals))
				c.Check(ranTwice(e.cluster.Requests), qt.Equals, 0)
			})
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	for _, policy := range PolicyNames() {
		t.Run(policy, func(t *testing.T) {
			c := qt.New(t)
			measure := func(seed uint64) *Report {
				r, err := New(workload.SwatchGuild(), testHorizon, seed).Measure(findRun(RunLinkCut), policy)
				c.Assert(err, qt.IsNil)
				return r
			}
			c.Check(measure(testSeed), qt.DeepEquals, measure(testSeed))
			c.Check(measure(testSeed), qt.Not(qt.DeepEquals), measure(testSeed+1))
		})
	}
}

func TestUnknownPolicy(t *testing.T) {
	_, err := New(workload.SwatchGuild(), testHorizon, testSeed).Measure(findRun(RunPeak), "none")
	qt.Assert(t, err, qt.ErrorMatches, `unknown policy "none"`)
}
