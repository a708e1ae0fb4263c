package policybench

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// boundsHorizon is the length of the day in tests of bounds.
const boundsHorizon = 5 * time.Minute

// Bounds of the promises.
const (
	leastUrgent       = 0.99 // within target at the daily peak
	mostUrgentFall    = 0.01 // in a flood of batch
	leastJain         = 0.95
	leastWorst        = 0.8  // of its fair part, of any caller
	mostSentAway      = 0.5  // of what a baseline sends
	mostWasted        = 0.02 // outside faults
	leastGoodput      = 0.9  // of what the remaining engines can do
	mostPoisonCrashes = 2
)

// measurement names a report that several tests need.
type measurement struct{ setup, run, policy string }

// measurements holds a function for each measurement that takes it once.
var measurements sync.Map

// measured returns the report of a run under a policy.
func measured(t *testing.T, setup *workload.Setup, run, policy string) *Report {
	t.Helper()
	once, _ := measurements.LoadOrStore(measurement{setup.Name, run, policy}, sync.OnceValues(func() (*Report, error) {
		return New(setup, boundsHorizon, testSeed).Measure(runNamed(run), policy)
	}))
	r, err := once.(func() (*Report, error))()
	qt.Assert(t, err, qt.IsNil)
	return r
}

// eachSetup runs a test for each deployment.
func eachSetup(t *testing.T, test func(t *testing.T, setup *workload.Setup)) {
	t.Parallel()
	for _, setup := range workload.Setups() {
		t.Run(setup.Name, func(t *testing.T) {
			t.Parallel()
			test(t, setup)
		})
	}
}

// checkFair checks the callers of one rank.
func checkFair(t *testing.T, name string, r RankReport) {
	t.Run(name, func(t *testing.T) {
		c := qt.New(t)
		c.Check(r.Fairness.Jain >= leastJain, qt.IsTrue, qt.Commentf("Jain's index %.3f", r.Fairness.Jain))
		c.Check(r.Fairness.Worst >= leastWorst, qt.IsTrue, qt.Commentf("worst caller %.3f", r.Fairness.Worst))
	})
}

func checkWaste(t *testing.T, r *Report) {
	qt.Check(t, r.Wasted < mostWasted, qt.IsTrue, qt.Commentf("wasted %.4f", r.Wasted))
}

func TestDailyPeak(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := measured(t, setup, RunPeak, productName)
		qt.Check(t, r.Urgent.WithinTarget >= leastUrgent, qt.IsTrue, qt.Commentf("%.4f", r.Urgent.WithinTarget))
		checkWaste(t, r)
		checkFair(t, "urgent", r.Urgent)
		checkFair(t, "batch", r.Batch)
	})
}

func TestBatchFlood(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		calm := measured(t, setup, RunPeak, productName)
		r := measured(t, setup, RunBatchFlood, productName)
		fall := calm.Urgent.WithinTarget - r.Urgent.WithinTarget
		qt.Check(t, fall <= mostUrgentFall, qt.IsTrue, qt.Commentf("urgent falls by %.4f to %.4f", fall, r.Urgent.WithinTarget))
		checkWaste(t, r)
		checkFair(t, "urgent", r.Urgent)
		checkFair(t, "batch", r.Batch)
	})
}

func TestUrgentFlood(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := measured(t, setup, RunUrgentFlood, productName)
		least := setup.Model.Ranks[catalog.Batch].MinShare
		qt.Check(t, r.Batch.SlotShare >= least, qt.IsTrue, qt.Commentf("batch has %.4f of the slots", r.Batch.SlotShare))
		checkWaste(t, r)
		checkFair(t, "urgent", r.Urgent)
		checkFair(t, "batch", r.Batch)
	})
}

func TestHalfRegionLost(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := measured(t, setup, RunHalfRegion, productName)
		qt.Check(t, r.GoodputPossible >= leastGoodput, qt.IsTrue, qt.Commentf("%.4f", r.GoodputPossible))
	})
}

// TestSentAway compares with both baselines at the daily peak.
func TestSentAway(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := measured(t, setup, RunPeak, productName)
		for _, name := range PolicyNames() {
			if name == productName {
				continue
			}
			t.Run(name, func(t *testing.T) {
				b := measured(t, setup, RunPeak, name)
				c := qt.New(t)
				c.Check(r.SentAway < mostSentAway*b.SentAway, qt.IsTrue, qt.Commentf("%.4f, baseline %.4f", r.SentAway, b.SentAway))
				c.Check(r.Urgent.WithinTarget >= b.Urgent.WithinTarget, qt.IsTrue,
					qt.Commentf("urgent %.4f, baseline %.4f", r.Urgent.WithinTarget, b.Urgent.WithinTarget))
			})
		}
	})
}

func TestPoison(t *testing.T) {
	eachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := measured(t, setup, RunPoison, productName)
		qt.Check(t, r.PoisonCrashes <= mostPoisonCrashes, qt.IsTrue, qt.Commentf("%d crashes", r.PoisonCrashes))
	})
}
