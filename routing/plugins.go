package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// AcceptingFilter keeps servers that accept new requests.
type AcceptingFilter struct{}

// Keep implements Filter.
func (AcceptingFilter) Keep(_ time.Time, _ *Request, server *backend.Server) bool {
	return server.Accepts()
}

// WeightsFilter keeps servers that may have the version of the weights that the request
// wants.
type WeightsFilter struct{}

// Keep implements Filter.
func (WeightsFilter) Keep(now time.Time, req *Request, server *backend.Server) bool {
	return server.MayHaveWeights(now, req.Weights)
}

// VersionFilter keeps servers of the version that must run the request.
type VersionFilter struct{}

// Keep implements Filter.
func (VersionFilter) Keep(_ time.Time, req *Request, server *backend.Server) bool {
	return req.Version == 0 || server.Origin() == req.Version
}

// UntriedFilter removes servers that an earlier attempt of the request used.
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

// StaleReportFilter removes servers whose last load report is too old. A server
// that has never sent a report is kept, because plain services need not report.
type StaleReportFilter struct {
	MaxAge time.Duration // maximum age of the last report
}

// Keep implements Filter.
func (f StaleReportFilter) Keep(now time.Time, _ *Request, server *backend.Server) bool {
	return server.ReportAge(now) <= f.MaxAge
}

// Defaults for servers without measurements.
const (
	defaultPrefillRate = 4000.0                 // tokens per second
	defaultHoldTime    = 2 * time.Second        // time that a request holds a slot
	defaultZoneLatency = 500 * time.Microsecond // one way, between availability zones
)

// FirstTokenScorer estimates the time to first token: the wait for a slot, the
// base latency, the prefill of prompts that are already pending on the server and
// of the uncached part of the request's prompt, what the server's slowdown adds, and
// the round trip to another zone. Prefill rates and base latencies are learned per
// server.
type FirstTokenScorer struct {
	Zone        string        // availability zone of this instance
	ZoneLatency time.Duration // one way, to another zone; 0 stands for 500 µs
	// ByRank states that servers compute the prompts of urgent work first.
	ByRank bool
}

// lowerRankFraction is the fraction of the pending prompt tokens of less urgent work
// that counts toward the wait. Servers compute them later, but interleaved with
// the output tokens of the request.
const lowerRankFraction = 0.5

// tokensAhead returns the number of pending prompt tokens that count as computed
// before a request of the given rank.
func (s FirstTokenScorer) tokensAhead(rank catalog.Rank, server *backend.Server) int {
	all := server.PendingPrefill(catalog.Batch)
	if !s.ByRank {
		return all
	}
	first := server.PendingPrefill(rank)
	return first + int(lowerRankFraction*float64(all-first))
}

// Score implements Scorer.
func (s FirstTokenScorer) Score(req *Request, server *backend.Server, cached int) time.Duration {
	tokens := s.tokensAhead(req.Work.Rank, server) + max(0, req.PromptTokens-cached)
	cost := slotWait(server, server.GoodSlots(req.scratch.now), req.Occupied(server)) + req.BaseLatency(server) + prefillTime(tokens, req.PrefillRate(server))
	cost += server.Delay(req.scratch.now, cost)
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

// prefillTime returns the time to process tokens at rate, in tokens per second. A
// rate of 0 stands for defaultPrefillRate.
func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// learnedMaxAge is how long a learned prefill rate or base latency is used without
// a new sample. A server learned to be slow may receive no requests, and so no new
// samples. After this time it is assumed to be as fast as the best candidate, so
// that a request measures it again. The time is longer for urgent work, so that
// urgent requests do so less often.
var learnedMaxAge = [catalog.RankCount]time.Duration{catalog.Urgent: 2 * time.Minute, catalog.Batch: 30 * time.Second}

// PrefillRate returns the prefill rate to expect of the server, in tokens per second, or
// 0 if nothing is known of its service.
func (r *Request) PrefillRate(server *backend.Server) float64 {
	return server.ExpectedPrefillRate(r.scratch.now, learnedMaxAge[r.Work.Rank])
}

// BaseLatency returns the server's time to first token for a request without a
// prompt. If it is unknown or its last sample is too old, the least known latency
// among the candidates is returned, or 0 if there is none.
func (r *Request) BaseLatency(server *backend.Server) time.Duration {
	if baseLatencyKnown(r.scratch.now, r.Work.Rank, server) {
		return server.BaseLatency()
	}
	return r.scratch.bestBaseLatency
}

func baseLatencyKnown(now time.Time, rank catalog.Rank, server *backend.Server) bool {
	return server.BaseLatencyKnown(now, learnedMaxAge[rank])
}

// bestBaseLatency returns the least known base latency of the candidates, or 0.
func bestBaseLatency(now time.Time, rank catalog.Rank, candidates []Candidate) time.Duration {
	best := time.Duration(0)
	for i := range candidates {
		if server := candidates[i].Server; baseLatencyKnown(now, rank, server) && (best == 0 || server.BaseLatency() < best) {
			best = server.BaseLatency()
		}
	}
	return best
}

// slotWait returns the expected wait for one of the slots that are used of the server's
// batch. With all of them occupied, one is freed every hold/slots on average.
func slotWait(server *backend.Server, used int, occupied float64) time.Duration {
	slots := float64(max(used, 1))
	ahead := occupied - slots + 1
	if ahead <= 0 {
		return 0
	}
	hold := server.HoldTime()
	if hold == 0 {
		hold = defaultHoldTime
	}
	return time.Duration(float64(hold) * ahead / slots)
}

// reducedSlotsWait returns how much of the expected wait for a slot of a server is due to
// the learned concurrency. It makes other servers and regions the better choice, but is no
// reason to refuse a request: the server has slots left, and a late answer is better than
// none.
func reducedSlotsWait(req *Request, server *backend.Server) time.Duration {
	occupied := req.Occupied(server)
	return slotWait(server, server.GoodSlots(req.scratch.now), occupied) - slotWait(server, server.SlotCount(), occupied)
}

// fullPenalty is added to the cost of a server with all slots occupied when
// candidates are compared.
const fullPenalty = 200 * time.Millisecond

// LeastCost picks the candidate with the least cost, and a random one of them if
// several have the same cost. FullPenalty is added in proportion to the occupied
// slots: load reports are delayed and other instances use the same slots, so that
// of two servers with free slots the less occupied one is the safer choice.
type LeastCost struct {
	FullPenalty time.Duration // for a server with all slots occupied; 0 stands for 200 ms
}

// Pick implements Picker.
func (p LeastCost) Pick(req *Request, candidates []Candidate, random Random) int {
	penalty := orDefault(p.FullPenalty, fullPenalty)
	best, same := 0, 1
	now := req.scratch.now
	least := candidates[0].penalized(now, penalty)
	for i := 1; i < len(candidates); i++ {
		switch cost := candidates[i].penalized(now, penalty); {
		case cost < least:
			best, same, least = i, 1, cost
		case cost == least:
			same++
			if randomIndex(random, same) == 0 {
				best = i
			}
		}
	}
	return best
}

// penalized returns the cost, less the bonus, plus the penalty for occupied slots.
// full is the penalty for a server with all slots occupied.
func (c *Candidate) penalized(now time.Time, full time.Duration) time.Duration {
	slots := c.Server.GoodSlots(now)
	if slots == 0 {
		return c.Cost - c.Bonus
	}
	return c.Cost - c.Bonus + time.Duration(float64(full)*min(1, c.Occupied/float64(slots)))
}

// affinityBound is the maximum number of requests on a server, as a multiple of the
// mean of the candidates, up to which its cache is taken into account.
const affinityBound = 1.5

func meanOccupied(candidates []Candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += candidates[i].Occupied
	}
	return total / float64(len(candidates))
}

// exceedsAffinityBound reports whether a server is so loaded that its cache must not
// attract further requests. This never holds for a server with at least half of
// its slots free.
func exceedsAffinityBound(now time.Time, c *Candidate, mean float64) bool {
	return 2*c.Occupied > float64(c.Server.GoodSlots(now)) && c.Occupied > affinityBound*mean+1
}

// maxSharers is the upper limit of the estimate of sharers.
const maxSharers = 32

// sharers estimates the number of instances that send requests to the candidates,
// as the ratio of all requests on them to those of this instance.
func sharers(candidates []Candidate) float64 {
	var all, own float64
	for i := range candidates {
		total, mine := candidates[i].Server.SmoothedRequests()
		all, own = all+total, own+mine
	}
	if own <= 0 {
		return 1
	}
	return min(maxSharers, max(1, all/own))
}
