package policybench

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// fairnessInterval is the length of the intervals for which fair shares are
// computed. Load changes with the time of day, so shares are not carried over: that
// others received more while a caller demanded less, or while there was enough
// capacity for all, does not raise its fair share later.
const fairnessInterval = time.Minute

// Fairness measures how evenly the callers of each region were served. The fair
// share of a caller is its max-min fair share of the tokens that all callers of
// its region received for the requests sent in an interval: no caller gets more
// than its demand, and a caller that gets less than its demand gets at least as
// much as any other. Fair shares are summed over the intervals.
type Fairness struct {
	Jain  float64 `json:"jain"`  // Jain's index of the callers' ratios of received to fair share, of the least fair region
	Worst float64 `json:"worst"` // lowest ratio of received to fair share of any caller
}

// tokenCounts holds the prompt and output tokens of the requests that a caller
// sent in one interval: of all of them, and of those that were served.
type tokenCounts struct {
	demand, served float64
}

// callerTokens holds the token counts of one caller by interval.
type callerTokens map[int]tokenCounts

// fairness computes the fairness among the callers of each region for the
// requests of one rank.
func fairness(requests []*cluster.Request, rank catalog.Rank) Fairness {
	result := Fairness{Jain: 1, Worst: 1}
	for _, callers := range callersByRegion(requests, rank) {
		ratios := fairRatios(callers)
		result.Jain = min(result.Jain, jainIndex(ratios))
		result.Worst = min(result.Worst, slices.Min(ratios))
	}
	return result
}

// callersByRegion returns the token counts of the callers of each region, in the
// order of the callers' first requests.
func callersByRegion(requests []*cluster.Request, rank catalog.Rank) map[string][]callerTokens {
	byName := make(map[string]callerTokens)
	byRegion := make(map[string][]callerTokens)
	for _, r := range requests {
		if r.Work.Rank != rank || r.Poison {
			continue
		}
		caller := byName[r.Caller]
		if caller == nil {
			caller = make(callerTokens)
			byName[r.Caller] = caller
			byRegion[r.Region] = append(byRegion[r.Region], caller)
		}
		interval := int(r.SentAt / fairnessInterval)
		counts := caller[interval]
		counts.demand += float64(r.Tokens())
		if r.Served() {
			counts.served += float64(r.Tokens())
		}
		caller[interval] = counts
	}
	return byRegion
}

// fairRatios returns the ratio of received tokens to fair share of each caller,
// or 1 for a caller whose fair share is zero.
func fairRatios(callers []callerTokens) []float64 {
	served := make([]float64, len(callers))
	fair := make([]float64, len(callers))
	for _, interval := range intervalsOf(callers) {
		demands := make([]float64, len(callers))
		total := 0.0
		for i, c := range callers {
			demands[i] = c[interval].demand
			served[i] += c[interval].served
			total += c[interval].served
		}
		level := fairLevel(demands, total)
		for i, d := range demands {
			fair[i] += min(d, level)
		}
	}
	ratios := make([]float64, len(callers))
	for i := range callers {
		ratios[i] = 1
		if fair[i] > 0 {
			ratios[i] = served[i] / fair[i]
		}
	}
	return ratios
}

// intervalsOf returns the intervals in which any of the callers sent a request,
// in ascending order.
func intervalsOf(callers []callerTokens) []int {
	seen := make(map[int]bool)
	for _, c := range callers {
		for interval := range c {
			seen[interval] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// fairLevel returns the max-min fair limit per caller: the level at which the sum
// of min(demand, level) over all demands equals total. It returns +Inf if total is
// larger than the sum of all demands.
func fairLevel(demands []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		remaining := float64(len(sorted) - i)
		if d*remaining >= total {
			return total / remaining
		}
		total -= d
	}
	return math.Inf(1)
}

// jainIndex returns Jain's fairness index of values. It is 1 if all are equal.
func jainIndex(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}
