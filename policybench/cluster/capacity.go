package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/sim"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// Capacity is what one saturated model engine serves.
type Capacity struct {
	Requests float64 // a second
	Answer   float64 // tokens of answers a second
}

// Parameters of the measurement of a Capacity.
const (
	capacityWarmUp   = 60 * time.Second
	capacityTime     = 300 * time.Second
	capacityRequests = 8 // a second generated for each engine, more than it can serve
)

// MeasureCapacity saturates one engine with the requests of the callers whose
// prefixes it would hold if the callers of the first region were divided among
// its engines. Two full batches are kept outstanding. A flood, which may be
// nil, changes the mix of ranks.
func MeasureCapacity(setup *workload.Setup, flood *workload.Flood, seed uint64) Capacity {
	m := &capacityRun{clock: &sim.Clock{}, arrivals: saturatingArrivals(setup, flood, seed)}
	config := ModelEngine()
	m.engine = engine.New(config, m.clock)
	for range 2 * config.Slots {
		m.submit()
	}
	m.clock.RunUntil(capacityWarmUp)
	requests, tokens := m.requests, m.tokens
	m.clock.RunUntil(capacityWarmUp + capacityTime)
	seconds := capacityTime.Seconds()
	return Capacity{
		Requests: float64(m.requests-requests) / seconds,
		Answer:   float64(m.tokens-tokens) / seconds,
	}
}

// saturatingArrivals returns requests of every n-th caller of the first region,
// where n is the number of its engines.
func saturatingArrivals(setup *workload.Setup, flood *workload.Flood, seed uint64) []*workload.Arrival {
	region := setup.Regions[0]
	alone := *setup
	alone.Regions = []workload.Region{region}
	shape := workload.Shape{Horizon: capacityWarmUp + capacityTime, Utilization: 1}
	if flood != nil {
		shape.Flood = &workload.Flood{Rank: flood.Rank, Factor: flood.Factor, Until: shape.Horizon}
	}
	var list []*workload.Arrival
	for _, a := range workload.Generate(&alone, shape, capacityRequests, seed) {
		if a.Service == setup.Model && a.CallerIndex%region.ModelReplicas == 0 {
			list = append(list, a)
		}
	}
	return list
}

type capacityRun struct {
	clock    *sim.Clock
	engine   *engine.Engine
	arrivals []*workload.Arrival
	next     int
	requests int
	tokens   int
}

// submit queues the next request; its end queues another one.
func (m *capacityRun) submit() {
	a := m.arrivals[m.next%len(m.arrivals)]
	m.next++
	m.engine.Submit(&engine.Sequence{
		Prefix: a.Prefix, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens,
		OnEnd: func(engine.End) {
			m.requests++
			m.tokens += a.OutputTokens
			m.submit()
		},
	})
}
