package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/sim"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Capacity is the throughput of one saturated model engine.
type Capacity struct {
	RequestsPerSecond     float64
	OutputTokensPerSecond float64
}

// Parameters of MeasureCapacity.
const (
	capacityWarmUp      = 60 * time.Second
	capacityDuration    = 300 * time.Second
	capacityRequestRate = 8 // per second and engine, more than an engine can serve
)

// MeasureCapacity measures the throughput of one engine that always has two
// full batches outstanding. It uses the requests of one engine's share of the
// callers of the first region, so that the engine caches as many prefixes as it
// would if these callers were partitioned among the engines of the region. The
// flood changes the mix of ranks; it may be nil.
func MeasureCapacity(setup *workload.Setup, flood *workload.Flood, seed uint64) Capacity {
	m := &capacityRun{clock: &sim.Clock{}, arrivals: saturatingArrivals(setup, flood, seed)}
	config := ModelEngineConfig()
	m.engine = engine.New(config, m.clock)
	for range 2 * config.Slots {
		m.submit()
	}
	m.clock.RunUntil(capacityWarmUp)
	warmUpRequests, warmUpTokens := m.requests, m.outputTokens
	m.clock.RunUntil(capacityWarmUp + capacityDuration)
	seconds := capacityDuration.Seconds()
	return Capacity{
		RequestsPerSecond:     float64(m.requests-warmUpRequests) / seconds,
		OutputTokensPerSecond: float64(m.outputTokens-warmUpTokens) / seconds,
	}
}

// saturatingArrivals returns the model requests of every n-th caller of the
// first region, where n is the number of model engines of the region.
func saturatingArrivals(setup *workload.Setup, flood *workload.Flood, seed uint64) []*workload.Arrival {
	region := setup.Regions[0]
	singleRegion := *setup
	singleRegion.Regions = []workload.Region{region}
	shape := workload.Shape{Horizon: capacityWarmUp + capacityDuration, Utilization: 1}
	if flood != nil {
		shape.Flood = &workload.Flood{Rank: flood.Rank, Factor: flood.Factor, Until: shape.Horizon}
	}
	var list []*workload.Arrival
	for _, a := range workload.Generate(&singleRegion, shape, capacityRequestRate, seed) {
		if a.Service == setup.Model && a.CallerIndex%region.ModelReplicas == 0 {
			list = append(list, a)
		}
	}
	return list
}

// capacityRun is the state of one capacity measurement.
type capacityRun struct {
	clock        *sim.Clock
	engine       *engine.Engine
	arrivals     []*workload.Arrival
	nextArrival  int // index of the next arrival, modulo the number of arrivals
	requests     int // requests that have ended
	outputTokens int // output tokens of the requests that have ended
}

// submit queues the next request at the engine. The request queues its successor
// when it ends, so that the number of outstanding requests stays constant.
func (m *capacityRun) submit() {
	a := m.arrivals[m.nextArrival%len(m.arrivals)]
	m.nextArrival++
	m.engine.Submit(&engine.Sequence{
		Prefix: a.Prefix, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens,
		OnEnd: func(engine.EndReason) {
			m.requests++
			m.outputTokens += a.OutputTokens
			m.submit()
		},
	})
}
