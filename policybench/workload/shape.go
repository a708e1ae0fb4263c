package workload

import (
	"math"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Shape says how the rate of requests changes over a run.
type Shape struct {
	Horizon     time.Duration // requests arrive until then; also the length of the day
	Utilization float64       // mean offered load over the capacity of all engines
	Swing       float64       // part of the mean by which the daily peak exceeds it
	Flood       *Flood
	Poison      *Poison
}

// Flood multiplies the requests of one rank for some time.
type Flood struct {
	Rank   catalog.Rank
	Factor float64
	From   time.Duration
	Until  time.Duration
}

// Poison is one request that crashes every engine that runs it. Its caller
// sends it again after each failure, each time to another instance.
type Poison struct {
	At      time.Duration
	Resends int
	Pause   time.Duration // between a failure and the next send
}

// rate returns the factor on the mean rate of a region at a time. The first
// region peaks in the middle of the day; the peaks of the others are offset by
// equal parts of the day.
func (s *Shape) rate(region, regions int, at time.Duration) float64 {
	phase := float64(at)/float64(s.Horizon) - 0.5 - float64(region)/float64(regions)
	return 1 + s.Swing*math.Cos(2*math.Pi*phase)
}

// floodFactor returns the factor on the rate of a rank at a time.
func (s *Shape) floodFactor(rank catalog.Rank, at time.Duration) float64 {
	if f := s.Flood; f != nil && f.Rank == rank && at >= f.From && at < f.Until {
		return f.Factor
	}
	return 1
}
