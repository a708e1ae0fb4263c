package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// TestManyInstancesBeforeManyEngines brings about the herd of a large deployment: many
// instances place long prompts on many engines and know what the others have sent only
// after a while. An engine that the last news show as idle is chosen by all of them until
// the next news. With few instances, what helps many must not harm.
func TestManyInstancesBeforeManyEngines(t *testing.T) {
	t.Parallel()
	const (
		rate         = 56000.0 // prompt tokens per second
		promptTokens = 9000
		newsInterval = 120 * time.Millisecond
		newsDelay    = 180 * time.Millisecond
		target       = 800 * time.Millisecond
	)
	run := func(instances, engines int, perSecond float64, byAge bool) *sim {
		s := newSim(instances, engines, 300*time.Millisecond, 1)
		for _, e := range s.engines {
			e.rate, e.slots, e.decode = rate, 48, time.Second
		}
		for k, router := range s.routers {
			router.SampleSize = maxSample
			if byAge {
				router.NewsAge, router.Instances = newsDelay, func() int { return instances }
			}
			s.ejectors[k] = nil
		}
		s.every(newsInterval, func() { s.exchangeWork(newsDelay) })
		duration := time.Duration(1500 / perSecond * float64(time.Second))
		s.scheduleRequests(perSecond, duration, func() (int, []uint64) { return promptTokens, nil })
		s.run(duration + 10*time.Second)
		return s
	}
	for _, test := range []struct {
		instances, engines int
		perSecond          float64
		bound              float64 // of the 95th percentile, against the last news alone
	}{
		{2, 4, 20, 1.05}, {3, 9, 48, 1.05}, {20, 30, 160, 0.8}, {65, 54, 230, 0.7},
	} {
		t.Run(fmt.Sprint(test.instances), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			last, byAge := run(test.instances, test.engines, test.perSecond, false), run(test.instances, test.engines, test.perSecond, true)
			t.Logf("late %.3f by the last news alone, %.3f with their age; p95 %v and %v", last.lateFraction(target), byAge.lateFraction(target), last.percentile(.95), byAge.percentile(.95))
			c.Check(byAge.percentile(.95) <= time.Duration(test.bound*float64(last.percentile(.95))), qt.IsTrue)
			c.Check(byAge.lateFraction(target) <= last.lateFraction(target), qt.IsTrue)
		})
	}
}

// lateFraction returns the fraction of the requests without a first token in time.
func (s *sim) lateFraction(target time.Duration) float64 {
	late := 0
	for _, firstToken := range s.firstTokenTimes {
		if firstToken > target {
			late++
		}
	}
	return float64(late) / float64(len(s.firstTokenTimes))
}

// exchangeWork tells each router, after a delay, the prompt tokens that the others have
// sent to each engine and that are not computed yet.
func (s *sim) exchangeWork(delay time.Duration) {
	for k := range s.routers[0].Registry.All() {
		pending := make([]int, len(s.routers))
		total := 0
		for n, router := range s.routers {
			pending[n] = router.Registry.All()[k].LocalPrefill(catalog.Urgent) + router.Registry.All()[k].LocalPrefill(catalog.Batch)
			total += pending[n]
		}
		s.after(delay, func() {
			for n, router := range s.routers {
				router.Registry.All()[k].SetPeerPrefill(catalog.Urgent, total-pending[n])
			}
		})
	}
}
