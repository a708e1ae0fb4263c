package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// AcceptingFilter keeps servers that accept new work.
type AcceptingFilter struct{}

// Keep implements Filter.
func (AcceptingFilter) Keep(_ time.Time, _ *Request, server *backend.Server) bool {
	return server.Accepts()
}

// UntriedFilter removes servers that an earlier attempt used.
type UntriedFilter struct{}

// Keep implements Filter.
func (UntriedFilter) Keep(_ time.Time, req *Request, server *backend.Server) bool {
	return !req.Tried[server.ID]
}

// HealthyFilter removes ejected servers.
type HealthyFilter struct{}

// Keep implements Filter.
func (HealthyFilter) Keep(_ time.Time, _ *Request, server *backend.Server) bool {
	return !server.Health().Ejected()
}

// SilentFilter removes servers whose last load report is too old. A server
// that has never reported is kept, as plain services need not report.
type SilentFilter struct {
	Limit time.Duration // longest time since the last report
}

// Keep implements Filter.
func (f SilentFilter) Keep(now time.Time, _ *Request, server *backend.Server) bool {
	return server.Silence(now) <= f.Limit
}

// Defaults of a server that nothing is known of yet.
const (
	defaultPrefillRate = 4000.0                 // tokens per second
	defaultHold        = 2 * time.Second        // time a request holds a slot
	defaultZoneLatency = 500 * time.Microsecond // one way, between availability zones
)

// FirstTokenScorer estimates the time to first token: the wait for a slot,
// the prompts that this instance has sent ahead, and the uncached part of the
// prompt. Rates are learned for each server.
type FirstTokenScorer struct {
	Zone        string        // availability zone of this instance
	ZoneLatency time.Duration // one way, to another zone; 0 for half a millisecond
}

// Score implements Scorer.
func (s FirstTokenScorer) Score(req *Request, server *backend.Server, cached int) time.Duration {
	tokens := server.PendingPrefill() + max(0, req.PromptTokens-cached)
	cost := slotWait(server) + server.BaseLatency() + prefillTime(tokens, server.PrefillRate())
	if server.Zone != s.Zone {
		cost += 2 * s.zoneLatency()
	}
	return cost
}

func (s FirstTokenScorer) zoneLatency() time.Duration {
	if s.ZoneLatency == 0 {
		return defaultZoneLatency
	}
	return s.ZoneLatency
}

// prefillTime returns the time to compute tokens at rate, in tokens per
// second; rate 0 stands for the default.
func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// slotWait returns the expected wait for a slot of the server's batch. With
// all slots held one is freed each hold/slots on average.
func slotWait(server *backend.Server) time.Duration {
	slots := max(server.Load().Slots, 1)
	ahead := server.Occupied() - slots + 1
	if ahead <= 0 {
		return 0
	}
	hold := server.HoldTime()
	if hold == 0 {
		hold = defaultHold
	}
	return hold * time.Duration(ahead) / time.Duration(slots)
}

// LeastCost picks the candidate with the least cost, and one of them at random
// if several cost the same.
type LeastCost struct{}

// Pick implements Picker.
func (LeastCost) Pick(_ *Request, candidates []Candidate, random Random) int {
	best, same := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch cost := candidates[i].Cost; {
		case cost < candidates[best].Cost:
			best, same = i, 1
		case cost == candidates[best].Cost:
			same++
			if index(random, same) == 0 {
				best = i
			}
		}
	}
	return best
}

// affinityBound is how far above the mean of the candidates a server may be
// occupied and still attract requests by its cache.
const affinityBound = 1.5

func meanOccupied(candidates []Candidate) float64 {
	total := 0
	for i := range candidates {
		total += candidates[i].Server.Occupied()
	}
	return float64(total) / float64(len(candidates))
}

// overBound reports whether a server is too loaded to attract requests by its
// cache. A server with half of its slots free is not.
func overBound(server *backend.Server, mean float64) bool {
	occupied := server.Occupied()
	return 2*occupied > server.Load().Slots && float64(occupied) > affinityBound*mean+1
}
