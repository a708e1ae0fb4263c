package capacity

import (
	"math"
	"time"
)

// The alternatives that were weighed. Each instance has its own and exchanges nothing.

// sampleWindow adjusts a limit once for each group of samples.
type sampleWindow struct {
	limit         float64
	since         time.Time
	count         int
	ratio         float64
	adjust        func(limit, ratio, nominal float64) float64
	samplesNeeded int
}

func (w *sampleWindow) slots(_ time.Time, nominal int) int {
	if w.limit == 0 {
		return nominal
	}
	return max(1, int(w.limit))
}

func (w *sampleWindow) admission(now time.Time, nominal int) int { return w.slots(now, nominal) }

func (w *sampleWindow) observe(now time.Time, nominal int, s Sample) {
	if w.limit == 0 {
		w.limit = float64(nominal)
	}
	w.count++
	w.ratio += s.Ratio
	if w.count < w.samplesNeeded || now.Sub(w.since) < settleTime {
		return
	}
	w.limit = min(float64(nominal), max(1, w.adjust(w.limit, w.ratio/float64(w.count), float64(nominal))))
	w.since, w.count, w.ratio = now, 0, 0
}

// newAIMD raises the limit by one while answers are in time, and lowers it by a fifth
// otherwise.
func newAIMD() learner {
	return &sampleWindow{samplesNeeded: 3, adjust: func(limit, ratio, _ float64) float64 {
		if ratio > 1 {
			return limit * 0.8
		}
		return limit + 1
	}}
}

// newGradient multiplies the limit with the ratio of the long-term to the recent time, and
// adds its root.
func newGradient() learner {
	long := 0.0
	return &sampleWindow{samplesNeeded: 3, adjust: func(limit, ratio, _ float64) float64 {
		if long == 0 {
			long = ratio
		}
		long += 0.02 * (ratio - long)
		next := limit*min(1, max(0.5, 1.5*long/max(ratio, 1e-9))) + math.Sqrt(limit)
		return limit + 0.3*(next-limit)
	}}
}

// newDelayWindow keeps the requests that wait at the server, by the ratio of the least to
// the recent time, between one and three.
func newDelayWindow() learner {
	least := math.Inf(1)
	return &sampleWindow{samplesNeeded: 3, adjust: func(limit, ratio, _ float64) float64 {
		least = min(least*1.005, ratio)
		switch waiting := limit * (1 - least/max(ratio, 1e-9)); {
		case waiting < 1:
			return limit + 1
		case waiting > 3:
			return limit - 1
		}
		return limit
	}}
}

// throughput uses the concurrency with the most requests per second, by the mean time of
// samples at that concurrency, and one more.
type throughput struct{ rate [64]float64 }

func newThroughput() learner { return &throughput{} }

func (t *throughput) observe(_ time.Time, nominal int, s Sample) {
	n := min(s.Requests, nominal, len(t.rate)-1)
	if sample := float64(n) / max(s.Ratio, 0.01); t.rate[n] == 0 {
		t.rate[n] = sample
	} else {
		t.rate[n] += 0.1 * (sample - t.rate[n])
	}
}

func (t *throughput) slots(_ time.Time, nominal int) int {
	best, known := nominal, false
	for n, rate := range t.rate {
		if rate > 0 && (!known || rate > t.rate[best]) {
			best, known = n, true
		}
	}
	return min(nominal, best+1)
}

func (t *throughput) admission(now time.Time, nominal int) int { return t.slots(now, nominal) }
