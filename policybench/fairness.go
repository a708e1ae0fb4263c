package policybench

import (
	"math"
	"slices"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// Fairness tells how evenly the callers of a region were served. The fair part
// of a caller is its max-min share of what all callers of its region received:
// nobody gets more than it asked for, and whoever gets less than that gets as
// much as any other.
type Fairness struct {
	Jain  float64 `json:"jain"`  // Jain's index of received over fair part, of the least fair region
	Worst float64 `json:"worst"` // least received over fair part of any caller
}

// callerTokens is the demand and the service of one caller, in tokens of
// prompts and answers.
type callerTokens struct {
	demand, served float64
}

// fairness compares the callers of each region by the tokens of one rank.
func fairness(requests []*cluster.Request, rank catalog.Rank) Fairness {
	result := Fairness{Jain: 1, Worst: 1}
	for _, callers := range tokensByRegion(requests, rank) {
		ratios := fairRatios(callers)
		result.Jain = min(result.Jain, jain(ratios))
		result.Worst = min(result.Worst, slices.Min(ratios))
	}
	return result
}

func tokensByRegion(requests []*cluster.Request, rank catalog.Rank) map[string][]*callerTokens {
	byName := make(map[string]*callerTokens)
	byRegion := make(map[string][]*callerTokens)
	for _, r := range requests {
		if r.Work.Rank != rank || r.Poison {
			continue
		}
		c := byName[r.Caller]
		if c == nil {
			c = &callerTokens{}
			byName[r.Caller] = c
			byRegion[r.Region] = append(byRegion[r.Region], c)
		}
		c.demand += float64(r.Tokens())
		if r.Served() {
			c.served += float64(r.Tokens())
		}
	}
	return byRegion
}

// fairRatios returns for each caller what it received over its fair part.
func fairRatios(callers []*callerTokens) []float64 {
	demands := make([]float64, len(callers))
	total := 0.0
	for i, c := range callers {
		demands[i] = c.demand
		total += c.served
	}
	level := fairLevel(demands, total)
	ratios := make([]float64, len(callers))
	for i, c := range callers {
		ratios[i] = 1
		if fair := min(c.demand, level); fair > 0 {
			ratios[i] = c.served / fair
		}
	}
	return ratios
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
