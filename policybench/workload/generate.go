package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Arrival is one request of a caller. It is shared by the runs of all policies
// and must not be modified.
type Arrival struct {
	Number       int // in order of arrival, from zero
	At           time.Duration
	Caller       string
	CallerIndex  int    // within its region, by size
	Region       string // where the caller enters
	Service      *catalog.Service
	Work         catalog.Work
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	Poison       bool
}

// callerSkew is the exponent of the sizes of callers: the n-th largest caller
// of a region sends in proportion to n to the power of -callerSkew.
const callerSkew = 0.8

type generator struct {
	setup *Setup
	shape Shape
	seed  uint64
	rng   *rand.Rand
	list  []*Arrival
}

// Generate returns the requests of a run in order of arrival. The mean rate of
// the model service is the utilization times the rate that all engines
// together can serve; each region's part follows its number of engines.
func Generate(setup *Setup, shape Shape, engineRate float64, seed uint64) []*Arrival {
	g := &generator{setup: setup, shape: shape, seed: seed, rng: rand.New(rand.NewPCG(seed, hash(setup.Name)))}
	for i, region := range setup.Regions {
		mean := shape.Utilization * engineRate * float64(region.ModelReplicas)
		g.region(i, region, mean)
	}
	g.poison()
	slices.SortStableFunc(g.list, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for i, a := range g.list {
		a.Number = i
		if a.Service.Kind == catalog.Model {
			g.prompt(a, a.Work.Rank)
		}
	}
	return g.list
}

// region draws the requests that enter in one region.
func (g *generator) region(index int, region Region, mean float64) {
	callers := callerNames(region)
	shares := cumulativeShares(len(callers))
	for rank := range catalog.Rank(catalog.RankCount) {
		part := urgentPart
		if rank == catalog.Batch {
			part = 1 - urgentPart
		}
		g.poisson(index, mean*part, g.floodOf(rank), func(at time.Duration) {
			caller := pick(shares, g.rng.Float64())
			g.add(&Arrival{
				At: at, Caller: callers[caller], CallerIndex: caller, Region: region.Name,
				Service: g.setup.Model, Work: g.modelWork(rank, region.Name),
			})
		})
	}
	plain := mean * plainPart / (1 - plainPart)
	g.poisson(index, plain, nil, func(at time.Duration) {
		caller := pick(shares, g.rng.Float64())
		g.add(&Arrival{
			At: at, Caller: callers[caller], CallerIndex: caller, Region: region.Name, Service: g.setup.Plain, Work: g.plainWork(),
			PromptTokens: 1, OutputTokens: plainTokens,
		})
	})
}

func (g *generator) add(a *Arrival) { g.list = append(g.list, a) }

func (g *generator) floodOf(rank catalog.Rank) *Flood {
	if f := g.shape.Flood; f != nil && f.Rank == rank {
		return f
	}
	return nil
}

// poisson draws arrivals of a rate that changes over the run, by thinning.
func (g *generator) poisson(region int, mean float64, flood *Flood, arrive func(time.Duration)) {
	highest := mean * (1 + g.shape.Swing)
	if flood != nil {
		highest *= max(flood.Factor, 1)
	}
	var at time.Duration
	for {
		at += time.Duration(g.rng.ExpFloat64() / highest * float64(time.Second))
		if at >= g.shape.Horizon {
			return
		}
		rate := mean * g.shape.rate(region, len(g.setup.Regions), at)
		if flood != nil {
			rate *= g.shape.floodFactor(flood.Rank, at)
		}
		if g.rng.Float64()*highest < rate {
			arrive(at)
		}
	}
}

func (g *generator) modelWork(rank catalog.Rank, region string) catalog.Work {
	name := urgentWork
	if rank == catalog.Batch {
		name = batchWork
	}
	if g.rng.Float64() < homePart {
		name = homePrefix + region + "-" + name
	}
	return g.setup.Model.Work[name]
}

func (g *generator) plainWork() catalog.Work {
	if g.rng.Float64() < oncePart {
		return g.setup.Plain.Work[onceWork]
	}
	return g.setup.Plain.Work[repeatableWork]
}

// poison adds the poison request. It enters in the first region.
func (g *generator) poison() {
	if g.shape.Poison == nil {
		return
	}
	region := g.setup.Regions[0]
	g.add(&Arrival{
		At: g.shape.Poison.At, Caller: callerNames(region)[0], Region: region.Name,
		Service: g.setup.Model, Work: g.setup.Model.Work[urgentWork], Poison: true,
	})
}

func callerNames(region Region) []string {
	names := make([]string, region.Callers)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", region.Name, i)
	}
	return names
}

// cumulativeShares returns for each caller the part of the requests that it
// and the larger ones send.
func cumulativeShares(callers int) []float64 {
	shares := make([]float64, callers)
	sum := 0.0
	for i := range shares {
		sum += math.Pow(float64(i+1), -callerSkew)
		shares[i] = sum
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func pick(cumulative []float64, x float64) int {
	i, _ := slices.BinarySearch(cumulative, x)
	return min(i, len(cumulative)-1)
}
