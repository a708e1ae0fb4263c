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

// Arrival is one request of a caller. It must not be modified: a poison request
// that is sent again uses the same Arrival, and its Service is shared by the runs
// of all policies.
type Arrival struct {
	Number       int // index in the order of arrival
	At           time.Duration
	Caller       string
	CallerIndex  int    // position within its region by request rate; 0 is the largest caller
	Region       string // whose instances the caller uses
	Service      *catalog.Service
	Work         catalog.Work
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	Poison       bool
}

// callerSkew is the exponent of the Zipf distribution of request rates: the n-th
// largest caller of a region sends in proportion to n to the power of -callerSkew.
const callerSkew = 0.8

type generator struct {
	setup    *Setup
	shape    Shape
	seed     uint64
	rng      *rand.Rand
	arrivals []*Arrival
}

// Generate returns the requests of a run in order of arrival. engineRate is the
// number of requests per second that one engine can serve. The mean rate of
// requests to the model service is the utilization times the rate that all engines
// together can serve; the rate of each region is proportional to its number of
// engines.
func Generate(setup *Setup, shape Shape, engineRate float64, seed uint64) []*Arrival {
	g := &generator{setup: setup, shape: shape, seed: seed, rng: rand.New(rand.NewPCG(seed, hash(setup.Name)))}
	for i, region := range setup.Regions {
		meanRate := shape.Utilization * engineRate * float64(region.ModelReplicas)
		g.addRegion(i, region, meanRate)
	}
	g.addPoison()
	slices.SortStableFunc(g.arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for i, a := range g.arrivals {
		a.Number = i
		if a.Service.Kind == catalog.Model {
			g.setPrompt(a, a.Work.Rank)
		}
	}
	return g.arrivals
}

// addRegion adds the requests of the callers of one region. meanRate is the mean
// rate of requests to the model service, per second.
func (g *generator) addRegion(index int, region Region, meanRate float64) {
	callers := callerNames(region)
	shares := cumulativeShares(len(callers))
	for rank := range catalog.Rank(catalog.RankCount) {
		fraction := urgentFraction
		if rank == catalog.Batch {
			fraction = 1 - urgentFraction
		}
		g.drawArrivals(index, meanRate*fraction, g.floodOf(rank), func(at time.Duration) {
			caller := pickCaller(shares, g.rng.Float64())
			g.add(&Arrival{
				At: at, Caller: callers[caller], CallerIndex: caller, Region: region.Name,
				Service: g.setup.Model, Work: g.modelWork(rank, region.Name),
			})
		})
	}
	plainRate := meanRate * plainFraction / (1 - plainFraction)
	g.drawArrivals(index, plainRate, nil, func(at time.Duration) {
		caller := pickCaller(shares, g.rng.Float64())
		g.add(&Arrival{
			At: at, Caller: callers[caller], CallerIndex: caller, Region: region.Name, Service: g.setup.Plain, Work: g.plainWork(),
			PromptTokens: 1, OutputTokens: plainOutputTokens,
		})
	})
}

func (g *generator) add(a *Arrival) { g.arrivals = append(g.arrivals, a) }

func (g *generator) floodOf(rank catalog.Rank) *Flood {
	if f := g.shape.Flood; f != nil && f.Rank == rank {
		return f
	}
	return nil
}

// drawArrivals calls arrive with the arrival times of a Poisson process whose rate
// changes over the run. It uses thinning. meanRate is in requests per second.
func (g *generator) drawArrivals(region int, meanRate float64, flood *Flood, arrive func(time.Duration)) {
	maxRate := meanRate * (1 + g.shape.Amplitude)
	if flood != nil {
		maxRate *= max(flood.Factor, 1)
	}
	var at time.Duration
	for {
		at += time.Duration(g.rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= g.shape.Horizon {
			return
		}
		rate := meanRate * g.shape.rateFactor(region, len(g.setup.Regions), at)
		if flood != nil {
			rate *= g.shape.floodFactor(flood.Rank, at)
		}
		if g.rng.Float64()*maxRate < rate {
			arrive(at)
		}
	}
}

func (g *generator) modelWork(rank catalog.Rank, region string) catalog.Work {
	name := urgentWork
	if rank == catalog.Batch {
		name = batchWork
	}
	if g.rng.Float64() < homeFraction {
		name = homePrefix + region + "-" + name
	}
	return g.setup.Model.Work[name]
}

func (g *generator) plainWork() catalog.Work {
	if g.rng.Float64() < nonRepeatableFraction {
		return g.setup.Plain.Work[nonRepeatableWork]
	}
	return g.setup.Plain.Work[repeatableWork]
}

// addPoison adds the poison request, if there is one. Its caller is the first one
// of the first region.
func (g *generator) addPoison() {
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

// cumulativeShares returns, for each caller in descending order of rate, the
// fraction of the requests that this caller and the larger ones send.
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

func pickCaller(cumulative []float64, x float64) int {
	i, _ := slices.BinarySearch(cumulative, x)
	return min(i, len(cumulative)-1)
}
