package workload

import (
	"math"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Shape describes the request rate over a run.
type Shape struct {
	Horizon     time.Duration // length of the simulated day; no request arrives later
	Utilization float64       // mean offered load as a fraction of the capacity of all engines
	Amplitude   float64       // fraction of the mean rate by which the daily peak exceeds it
	Flood       *Flood
	Poison      *Poison
}

// Flood multiplies the request rate of one rank by Factor between From and Until.
type Flood struct {
	Rank   catalog.Rank
	Factor float64
	From   time.Duration
	Until  time.Duration
}

// Poison describes a request that crashes every engine that runs it. Its caller
// sends it again after each failure, each time to the next instance.
type Poison struct {
	At          time.Duration
	Resends     int
	ResendDelay time.Duration // delay between a failure and the next send
}

// rateFactor returns the factor on the mean rate of a region at a time. The load
// of the first region peaks in the middle of the day; the peaks of the others are
// offset by equal fractions of the day.
func (s *Shape) rateFactor(region, regions int, at time.Duration) float64 {
	phase := float64(at)/float64(s.Horizon) - 0.5 - float64(region)/float64(regions)
	return 1 + s.Amplitude*math.Cos(2*math.Pi*phase)
}

// floodFactor returns the factor on the rate of a rank at a time, or 1 if there is
// no flood of the rank then.
func (s *Shape) floodFactor(rank catalog.Rank, at time.Duration) float64 {
	if f := s.Flood; f != nil && f.Rank == rank && at >= f.From && at < f.Until {
		return f.Factor
	}
	return 1
}
