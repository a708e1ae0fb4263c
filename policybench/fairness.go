package policybench

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// fairInterval is the time over which fair parts are told. A caller is not owed
// later what others received while it asked for less, or while there was enough
// for all: load changes with the time of the day.
const fairInterval = time.Minute

// Fairness tells how evenly the callers of a region were served. The fair part
// of a caller is its max-min share of what all callers of its region received
// of an interval's requests: nobody gets more than it asked for, and whoever
// gets less than that gets as much as any other. Parts are added up over the
// intervals.
type Fairness struct {
	Jain  float64 `json:"jain"`  // Jain's index of received over fair part, of the least fair region
	Worst float64 `json:"worst"` // least received over fair part of any caller
}

// account is what a caller asked for and received of one interval's requests,
// in tokens of prompts and answers.
type account struct {
	demand, served float64
}

// accounts are those of one caller by interval.
type accounts map[int]account

// fairness compares the callers of each region by the tokens of one rank.
func fairness(requests []*cluster.Request, rank catalog.Rank) Fairness {
	result := Fairness{Jain: 1, Worst: 1}
	for _, callers := range accountsByRegion(requests, rank) {
		ratios := fairRatios(callers)
		result.Jain = min(result.Jain, jain(ratios))
		result.Worst = min(result.Worst, slices.Min(ratios))
	}
	return result
}

// accountsByRegion returns the accounts of the callers of each region, in the
// order of their first requests.
func accountsByRegion(requests []*cluster.Request, rank catalog.Rank) map[string][]accounts {
	byName := make(map[string]accounts)
	byRegion := make(map[string][]accounts)
	for _, r := range requests {
		if r.Work.Rank != rank || r.Poison {
			continue
		}
		caller := byName[r.Caller]
		if caller == nil {
			caller = make(accounts)
			byName[r.Caller] = caller
			byRegion[r.Region] = append(byRegion[r.Region], caller)
		}
		interval := int(r.SentAt / fairInterval)
		a := caller[interval]
		a.demand += float64(r.Tokens())
		if r.Served() {
			a.served += float64(r.Tokens())
		}
		caller[interval] = a
	}
	return byRegion
}

// fairRatios returns for each caller what it received over its fair part.
func fairRatios(callers []accounts) []float64 {
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

// intervalsOf returns the intervals in which any of the callers sent.
func intervalsOf(callers []accounts) []int {
	seen := make(map[int]bool)
	for _, c := range callers {
		for interval := range c {
			seen[interval] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// fairLevel returns the level up to which demands can be met by the total.
func fairLevel(demands []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		left := float64(len(sorted) - i)
		if d*left >= total {
			return total / left
		}
		total -= d
	}
	return math.Inf(1)
}

// jain returns Jain's fairness index of values: 1 if all are equal.
func jain(values []float64) float64 {
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
