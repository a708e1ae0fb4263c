package policybench

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// boundsHorizon is the length of the simulated day in most tests of this file.
const boundsHorizon = 5 * time.Minute

// fairFloodHorizon is the length of the day on which fairness within a flooded
// rank's minimum share is measured. Each caller must be able to get so many
// requests that one more or less is well within the bounds: on shorter days even
// one queue for all callers of a region misses them.
const fairFloodHorizon = 20 * time.Minute

// Bounds that the measurements of the gateway's policy must meet.
const (
	minUrgentWithinTarget = 0.99 // fraction within target at the daily peak
	maxUrgentDrop         = 0.01 // of the fraction within target, in a flood of batch requests
	minJain               = 0.95
	minWorstCaller        = 0.8  // received over fair share, of any caller
	maxSpillRatio         = 0.5  // of the fraction that a baseline sends to another region
	maxWasted             = 0.02 // fraction of the computed tokens, in runs without a fault
	minGoodputRatio       = 0.9  // of the attainable goodput of the remaining engines
	maxPoisonCrashes      = 2
)

// reportKey identifies a report that several tests use.
type reportKey struct {
	setup, run, policy string
	horizon            time.Duration
}

// reportCache maps each reportKey to a function that measures it on the first
// call and returns the same report on every call.
var reportCache sync.Map

// cachedReport returns the report of a run under a policy on a day of
// boundsHorizon. Each is measured once per test process.
func cachedReport(t *testing.T, setup *workload.Setup, run, policy string) *Report {
	t.Helper()
	return cachedReportOf(t, setup, run, policy, boundsHorizon)
}

func cachedReportOf(t *testing.T, setup *workload.Setup, run, policy string, horizon time.Duration) *Report {
	t.Helper()
	once, _ := reportCache.LoadOrStore(reportKey{setup.Name, run, policy, horizon}, sync.OnceValues(func() (*Report, error) {
		return New(setup, horizon, testSeed).Measure(findRun(run), policy)
	}))
	r, err := once.(func() (*Report, error))()
	qt.Assert(t, err, qt.IsNil)
	return r
}

// forEachSetup runs a subtest for each deployment.
func forEachSetup(t *testing.T, test func(t *testing.T, setup *workload.Setup)) {
	t.Parallel()
	for _, setup := range workload.Setups() {
		t.Run(setup.Name, func(t *testing.T) {
			t.Parallel()
			test(t, setup)
		})
	}
}

// checkFairness checks how evenly the callers of one rank were served.
func checkFairness(t *testing.T, name string, r RankReport) {
	t.Run(name, func(t *testing.T) {
		c := qt.New(t)
		c.Check(r.Fairness.Jain >= minJain, qt.IsTrue, qt.Commentf("Jain's index %.3f", r.Fairness.Jain))
		c.Check(r.Fairness.Worst >= minWorstCaller, qt.IsTrue, qt.Commentf("worst caller %.3f", r.Fairness.Worst))
	})
}

func checkWaste(t *testing.T, r *Report) {
	qt.Check(t, r.Wasted < maxWasted, qt.IsTrue, qt.Commentf("wasted %.4f of the computed tokens", r.Wasted))
}

func TestDailyPeak(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := cachedReport(t, setup, RunPeak, productName)
		qt.Check(t, r.Urgent.WithinTarget >= minUrgentWithinTarget, qt.IsTrue, qt.Commentf("%.4f of urgent requests within target", r.Urgent.WithinTarget))
		checkWaste(t, r)
		checkFairness(t, "urgent", r.Urgent)
		checkFairness(t, "batch", r.Batch)
	})
}

func TestBatchFlood(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		peak := cachedReport(t, setup, RunPeak, productName)
		r := cachedReport(t, setup, RunBatchFlood, productName)
		drop := peak.Urgent.WithinTarget - r.Urgent.WithinTarget
		qt.Check(t, drop <= maxUrgentDrop, qt.IsTrue, qt.Commentf("fraction of urgent requests within target drops by %.4f to %.4f", drop, r.Urgent.WithinTarget))
		checkWaste(t, r)
		checkFairness(t, "urgent", r.Urgent)
		checkFairness(t, "batch", r.Batch)
	})
}

// TestUrgentFlood checks what batch requests get of their minimum share, on a
// short and on a long day, and how evenly their callers get it on the long one.
func TestUrgentFlood(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		short := cachedReport(t, setup, RunUrgentFlood, productName)
		long := cachedReportOf(t, setup, RunUrgentFlood, productName, fairFloodHorizon)
		for _, r := range []*Report{short, long} {
			minShare := setup.Model.Ranks[catalog.Batch].MinShare
			qt.Check(t, r.Batch.SlotShare >= minShare, qt.IsTrue, qt.Commentf("batch used %.4f of the slot time", r.Batch.SlotShare))
			checkWaste(t, r)
			checkFairness(t, "urgent", r.Urgent)
		}
		checkFairness(t, "batch", long.Batch)
	})
}

func TestHalfRegionLost(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := cachedReport(t, setup, RunHalfRegion, productName)
		qt.Check(t, r.GoodputRatio >= minGoodputRatio, qt.IsTrue, qt.Commentf("%.4f of the attainable goodput", r.GoodputRatio))
	})
}

// TestSentAway compares the requests sent to another region, and the urgent
// requests within target, with both baselines at the daily peak.
func TestSentAway(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := cachedReport(t, setup, RunPeak, productName)
		for _, name := range PolicyNames() {
			if name == productName {
				continue
			}
			t.Run(name, func(t *testing.T) {
				b := cachedReport(t, setup, RunPeak, name)
				c := qt.New(t)
				c.Check(r.Spilled < maxSpillRatio*b.Spilled, qt.IsTrue, qt.Commentf("sent to another region: %.4f, baseline %.4f", r.Spilled, b.Spilled))
				c.Check(r.Urgent.WithinTarget >= b.Urgent.WithinTarget, qt.IsTrue,
					qt.Commentf("urgent within target: %.4f, baseline %.4f", r.Urgent.WithinTarget, b.Urgent.WithinTarget))
			})
		}
	})
}

func TestPoison(t *testing.T) {
	forEachSetup(t, func(t *testing.T, setup *workload.Setup) {
		r := cachedReport(t, setup, RunPoison, productName)
		qt.Check(t, r.PoisonCrashes <= maxPoisonCrashes, qt.IsTrue, qt.Commentf("poison request crashed %d engines", r.PoisonCrashes))
	})
}
