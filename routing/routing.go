// Package routing decides which backend server runs a request, or to which other
// region the request is forwarded. The package does no I/O; time and randomness
// are passed in.
//
// A decision considers a few candidates: servers that may have the prompt's prefix
// cached, the servers that a consistent hash ring assigns to the prefix, and a
// random sample. Filters remove servers that must not or should not be used; a
// server with cold caches is a candidate only while its warm-up limit allows it.
// The scorer estimates the time to first token: the wait for a slot, the prefill
// of prompts that are already pending on the server, and the prefill of the
// uncached tokens of the request itself. The picker takes the candidate with the
// least cost. A bonus for cached and reusable tokens lowers the cost; for batch
// work, the time by which the prompt delays responses in progress raises it.
//
// A server with many pending prompt tokens may fetch the shared part of a prompt
// from the cache of another server. A request whose wait for other prompts would be
// too long is refused, unless another region serves it sooner.
//
// A request spills to another region if its expected local cost exceeds the
// permitted fraction of its latency target and another region is expected to serve
// it sooner, link latency included. If no local server can run it, it goes to the
// region with the least expected cost.
package routing

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
)

// Request holds the properties of a request that routing depends on. One Request
// serves all attempts of the request and must be used by one goroutine at a time.
type Request struct {
	ID           string
	Service      *catalog.Service
	Work         catalog.Work
	Caller       string
	Received     time.Time
	Deadline     time.Time
	PromptTokens int             // estimate
	EventsSent   int             // events of the response that earlier attempts have sent to the caller
	OutputHint   int             // estimate of the caller for the length of the response, in tokens; 0: unknown
	Weights      string          // version of the weights that the caller wants; "": any
	Version      origin.Version  // version that must run the request; 0: any
	BodyBytes    int             // bytes that cross the link if another region is chosen
	Prefix       []uint64        // digests of the prompt's leading blocks, longest last
	PrefixTokens []int           // tokens covered by each of Prefix; nil stands for BlockTokens per block
	SharedBlocks int             // leading blocks that are shared with other prompts; 0: unknown
	Forwarded    bool            // arrived from another region; is not forwarded again
	From         string          // region that has forwarded the request; "" if unknown
	StayLocal    bool            // another region was tried already; no second one is tried
	Alone        bool            // a suspect that must not share a server with other requests
	NoLocalSlot  bool            // no slot of this region becomes free in time; the request spills or is refused
	Tried        map[string]bool // IDs of backend servers that attempts have used
	Unchecked    map[string]bool // IDs of backend servers that did not tell their state; see SharedLimits

	scratch scratch
}

// Occupied returns the expected number of requests on a server. While candidates
// are compared, it uses an estimate that keeps instances with outdated load
// reports from all choosing the server that the same report shows idle. Otherwise
// it uses the most accurate estimate for the single server.
func (r *Request) Occupied(server *backend.Server) float64 {
	if r.scratch.sharers > 0 {
		return server.ExpectedRequests(r.scratch.sharers)
	}
	return float64(server.Occupied())
}

// Reason is the main cause of a decision.
type Reason string

// The reasons of decisions.
const (
	ReasonLeastCost          Reason = "least_cost"           // least expected time to first token
	ReasonPrefix             Reason = "prefix_cached"        // least expected time to first token, with part of the prompt cached
	ReasonProbe              Reason = "probe"                // health probe of an ejected server
	ReasonNoHealthy          Reason = "no_healthy_server"    // every permitted server is unhealthy; one is used anyway
	ReasonNoServer           Reason = "no_backend_server"    // no server is permitted to run the request
	ReasonPaused             Reason = "servers_paused"       // all servers that accept requests have asked for a pause
	ReasonNoSlot             Reason = "no_slot"              // no slot becomes free in time, in this region or another
	ReasonRegionNotPermitted Reason = "region_not_permitted" // the service or work is not permitted in this region
	ReasonWaitTooLong        Reason = "wait_too_long"        // pending prompts take too much of the target, and no other region is sooner
	ReasonOtherRegion        Reason = "other_region"         // another region serves the request sooner, or no local server can
)

// Decision is the result of routing. At most one of Server and Region is set;
// neither is set if the request cannot be served.
type Decision struct {
	Server       *backend.Server
	Region       string // another region to forward to
	Reason       Reason
	Candidates   int           // servers scored
	Cost         time.Duration // expected time to first token at Server or in Region
	Wait         time.Duration // part of Cost that is neither the base latency nor the request's own prefill
	LocalCost    time.Duration // cost of the best local server if Region is set; 0: no local server
	CachedTokens int           // prompt tokens expected in the cache of Server, or of FetchFrom if it is set
	// FetchFrom is a server from whose cache Server may fetch a longer part of the
	// prompt than Server has cached itself. Nil for none.
	FetchFrom *backend.Server
	// RetryAfter is the time until the first paused server resumes; set with ReasonPaused.
	RetryAfter time.Duration
	// Slowdown is the last one that Server reported; 0 if it has reported none.
	Slowdown    backend.Slowdown
	SlowdownAge time.Duration
	// SlowCandidates is the number of candidates that are expected to take longer than
	// usual.
	SlowCandidates int
	TokensAhead    int // prompt tokens that are pending on Server
	// StreamTime is the expected time from the first to the last event of a stream, and
	// Events the expected number of events; 0 if unknown.
	StreamTime time.Duration
	Events     float64
	Occupied   int // requests that are expected on Server
	// ColdFor is the time for which the caches of Server still count as cold, and LimitRate
	// the requests per second that this instance may send it; 0 if it has no limit.
	ColdFor   time.Duration
	LimitRate float64
	// ListAge is the age of the list of servers; 0 if it is unknown.
	ListAge   time.Duration
	GoodSlots int         // requests that Server is known to answer well at once
	Spill     SpillReason // why the request was or was not forwarded, if another region was considered
}

// UncachedTokens returns the prompt tokens that Server has to compute.
func (d *Decision) UncachedTokens(req *Request) int {
	return max(0, req.PromptTokens-d.CachedTokens)
}

// Job returns the work that the request is expected to cause on Server.
func (d *Decision) Job(req *Request) backend.Job {
	return backend.Job{
		Rank: req.Work.Rank, UncachedTokens: d.UncachedTokens(req), UncachedExact: d.uncachedExact(req),
		Target: req.Service.PolicyOf(req.Work).Target, MaxGap: req.Work.MaxGap,
	}
}

// uncachedExact reports whether UncachedTokens may be taken as exact: the server
// has cached all blocks that the prompt shares with other prompts, or the number
// of shared blocks is unknown.
func (d *Decision) uncachedExact(req *Request) bool {
	return req.SharedBlocks == 0 || d.FetchFrom == nil && d.CachedTokens >= cachedTokens(req, req.SharedBlocks)
}

// Probe reports whether the decision sends the request to a server that is
// considered unhealthy, so that a success ends the ejection.
func (d *Decision) Probe() bool { return d.Reason == ReasonProbe || d.Reason == ReasonNoHealthy }

// Candidate is a server that a decision compares with others.
type Candidate struct {
	Server       *backend.Server
	Cost         time.Duration   // expected time to first token
	CachedTokens int             // prompt tokens expected in the cache
	Occupied     float64         // requests expected on the server
	FetchFrom    *backend.Server // server that CachedTokens are fetched from; nil: they are in the cache of Server
	fetchTime    time.Duration
	ReuseTokens  int           // prompt tokens that later requests need not compute if this one runs here
	Bonus        time.Duration // subtracted from Cost when candidates are compared; may be negative
}

// Filter excludes servers from a decision.
type Filter interface {
	// Keep reports whether the server may run the request.
	Keep(now time.Time, req *Request, server *backend.Server) bool
}

// Scorer estimates the cost of running a request on a server.
type Scorer interface {
	// Score returns the expected time to first token. cached is the number of
	// prompt tokens expected in the server's cache.
	Score(req *Request, server *backend.Server, cached int) time.Duration
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate. candidates is not empty.
	Pick(req *Request, candidates []Candidate, random Random) int
}

// Random is a source of random numbers, such as *rand.Rand.
type Random interface {
	Uint64() uint64
}

// sharedRandom uses the global generator of math/rand/v2, which needs no lock.
type sharedRandom struct{}

// Uint64 implements Random.
func (sharedRandom) Uint64() uint64 { return rand.Uint64() }

// Regions lists the other regions that could serve a request.
type Regions interface {
	// Reachable returns the regions with a live instance, other than this one.
	Reachable() []string
}

// Router routes the requests of one region. It is safe for concurrent use if its
// Random is.
type Router struct {
	Region   string
	Registry *backend.Registry
	// Filters remove servers that must never be used.
	Filters []Filter
	// Health removes servers that should not be used. If it leaves none, it is
	// ignored: a server that is considered unhealthy is better than no server.
	Health []Filter
	// Limits limits the request rate of servers whose limit holds for all instances
	// together; nil for no limit.
	Limits  *SharedLimits
	Scorer  Scorer
	Picker  Picker       // nil picks the least cost
	Prefix  *PrefixIndex // nil for no prefix affinity
	Spill   *Spiller     // nil to use another region only if no local server is available
	Regions Regions      // regions with a live instance
	// Remote records which prefixes servers of other regions have cached; nil
	// disables fetching from them.
	Remote *RemoteCaches
	// Waiting returns the number of requests of this region that wait for a slot
	// of a service. They take its free slots before any request of another region,
	// so that summaries do not offer these slots. Nil stands for none.
	Waiting func(service string) int
	// RecomputeWeight weighs the prefill time that a server saves by cached or
	// fetched tokens, as a bonus in addition to the lower cost: if the tokens had
	// to be computed again, other requests would wait behind them. 0 disables the
	// bonus.
	RecomputeWeight float64
	// ExpectedReuses is the number of later prompts that are expected to reuse the
	// tokens that a prompt leaves in a server's cache. The prefill time that they
	// save is a bonus for the servers that the hash ring assigns to the prompt. 0
	// counts one prompt, at the default prefill rate.
	ExpectedReuses float64
	// InterferenceWeight weighs the time by which the prefill of a batch request
	// delays each request that a server runs already. It keeps long prompts of
	// batch work away from servers with many responses in progress. 0 disables it.
	InterferenceWeight float64
	// MaxWaitFraction is the fraction of its latency target that a request may wait
	// for others. A request with a longer expected wait is refused: its prefill
	// would make the requests behind it miss their targets too. 0 disables the
	// limit.
	MaxWaitFraction float64
	SampleSize      int              // candidates drawn at random; 0 for DefaultSample
	Now             func() time.Time // nil for time.Now
	Random          Random           // nil for the global generator of math/rand/v2
}

// Decide chooses a server or another region for the next attempt of a request.
func (r *Router) Decide(req *Request) Decision {
	now := r.now()
	if req.From != "" && r.Spill != nil && req.Service.Permits(req.Work, req.From) {
		r.Spill.Received(now, req.From)
	}
	if !req.Service.Permits(req.Work, r.Region) {
		return r.considerSpill(now, req, Decision{Reason: ReasonRegionNotPermitted})
	}
	if req.NoLocalSlot {
		return r.considerSpill(now, req, Decision{Reason: ReasonNoSlot})
	}
	decision := r.decideLocal(now, req)
	if r.maySpill(req) && (decision.Server == nil || r.Spill != nil) {
		decision = r.considerSpill(now, req, decision)
	}
	if r.waitTooLong(req, decision) {
		decision.Server, decision.Reason = nil, ReasonWaitTooLong
	}
	return decision
}

// Healthy returns the servers of a service that pass Filters and Health. If there
// are none, it returns those that pass Filters alone, as Decide does. Limits is not
// applied.
func (r *Router) Healthy(service string) iter.Seq[*backend.Server] {
	return func(yield func(*backend.Server) bool) {
		now, req := r.now(), &Request{}
		servers := r.Registry.Servers(service)
		eligible := r.usable
		if !slices.ContainsFunc(servers, func(s *backend.Server) bool { return r.usable(now, req, s) }) {
			eligible = r.permitted
		}
		for _, server := range servers {
			if eligible(now, req, server) && !yield(server) {
				return
			}
		}
	}
}

// CanSpill reports whether a request that gets no local slot would be sent to
// another region. It reserves nothing, so that a later Decide with NoLocalSlot
// may come to another result.
func (r *Router) CanSpill(req *Request) bool {
	if !r.maySpill(req) || r.Regions == nil || r.Spill == nil {
		return false
	}
	now := r.now()
	return r.Spill.canSpill(now, req, r)
}

func (r *Router) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func (r *Router) random() Random {
	if r.Random == nil {
		return sharedRandom{}
	}
	return r.Random
}

// maySpill reports whether the request may be sent to another region. Work with
// this region as its only home stays, a forwarded request is not forwarded again,
// and a suspect runs in the region that has recorded it as suspect.
func (r *Router) maySpill(req *Request) bool {
	return !req.Forwarded && !req.StayLocal && !req.Alone && req.Work.MayRunOutside(r.Region)
}

// considerSpill returns a decision for another region if that is better than the
// local decision, and else the local decision.
func (r *Router) considerSpill(now time.Time, req *Request, local Decision) Decision {
	if !r.maySpill(req) || r.Regions == nil {
		return local
	}
	if r.Spill != nil {
		return r.Spill.decide(now, req, local, r)
	}
	if req.NoLocalSlot {
		return local
	}
	for _, region := range r.Regions.Reachable() {
		if region != r.Region && r.mayRunIn(req, region) {
			return Decision{Region: region, Reason: ReasonOtherRegion}
		}
	}
	return local
}

// mayRunIn reports whether another region may run the request and, as far as this one
// knows, has a server of the version that must.
func (r *Router) mayRunIn(req *Request, region string) bool {
	return req.Service.Permits(req.Work, region) && (req.Version == 0 || r.Remote == nil || r.Remote.HasVersion(region, req.Service.Name, req.Version))
}

// decideLocal chooses the best server of this region.
func (r *Router) decideLocal(now time.Time, req *Request) Decision {
	group := r.Registry.Group(req.Service.Name)
	s := &req.scratch
	s.reset(now)
	random := r.random()
	if r.Prefix != nil {
		s.matches = r.Prefix.match(now, req.Prefix, s.matches[:0])
		r.addMatches(now, req, group)
		r.addRing(now, req, group)
	}
	r.sample(now, req, group.Servers, random)
	reason := ReasonLeastCost
	if s.count == 0 {
		r.fallback(now, req, group.Servers, random)
		reason = ReasonNoHealthy
	}
	if s.count == 0 {
		return noServer(now, group.Servers)
	}
	if probe := s.takeProbe(now, req); probe != nil {
		return Decision{Server: probe, Reason: ReasonProbe, Candidates: s.count, Cost: r.Scorer.Score(req, probe, 0)}
	}
	return r.pick(req, reason, random)
}

func (r *Router) pick(req *Request, reason Reason, random Random) Decision {
	s := &req.scratch
	candidates := s.candidates[:s.count]
	s.sharers = sharers(candidates)
	s.bestBaseLatency = bestBaseLatency(s.now, req.Work.Rank, candidates)
	for i := range candidates {
		candidates[i].Occupied = req.Occupied(candidates[i].Server)
	}
	mean := meanOccupied(candidates)
	source, mostTokens := r.fetchSource(req, candidates)
	for i := range candidates {
		c := &candidates[i]
		if exceedsAffinityBound(s.now, c, mean) {
			c.CachedTokens, c.ReuseTokens = 0, 0
		}
		c.planFetch(req, source, mostTokens)
		r.setCost(req, c)
	}
	picker := r.Picker
	if picker == nil {
		picker = LeastCost{}
	}
	best := candidates[picker.Pick(req, candidates, random)]
	slow := 0
	for i := range candidates {
		if candidates[i].Server.Delay(s.now, candidates[i].Cost) > 0 {
			slow++
		}
	}
	slowdown := best.Server.LastSlowdown()
	events := max(0, best.Server.ExpectedEvents(req.OutputHint)-float64(req.EventsSent))
	s.sharers = 0
	best.Cost = r.Scorer.Score(req, best.Server, best.CachedTokens) + best.fetchTime
	if r.exceedsWait(req, best.Server, best.wait(req)) {
		// Candidates are compared by averages, which may hide that the best one is full now.
		if others := r.withRoom(req, candidates); len(others) > 0 {
			best = others[picker.Pick(req, others, random)]
			best.Cost = r.Scorer.Score(req, best.Server, best.CachedTokens) + best.fetchTime
		}
	}
	if best.CachedTokens > 0 && reason == ReasonLeastCost {
		reason = ReasonPrefix
	}
	limit, _ := r.Limits.localLimit(s.now, req, best.Server)
	return Decision{
		Server: best.Server, Reason: reason, Candidates: len(candidates),
		Cost: best.Cost, CachedTokens: best.CachedTokens, FetchFrom: best.FetchFrom,
		Wait:     best.wait(req),
		Slowdown: slowdown.Slowdown, SlowdownAge: slowdown.Age(s.now), SlowCandidates: slow,
		TokensAhead: best.Server.PendingPrefill(catalog.Batch), Occupied: best.Server.Occupied(),
		StreamTime: time.Duration(events * float64(best.Server.ExpectedInterval(s.now))), Events: events,
		ColdFor: best.Server.ColdFor(s.now), LimitRate: limit.Rate, ListAge: r.Limits.listAge(),
		GoodSlots: best.Server.GoodSlots(s.now),
	}
}

// setCost sets the cost and the bonus of a candidate.
func (r *Router) setCost(req *Request, c *Candidate) {
	c.Cost = r.Scorer.Score(req, c.Server, c.CachedTokens) + c.fetchTime
	rate := req.PrefillRate(c.Server)
	c.Bonus = r.reuseSavings(c.ReuseTokens, rate) + time.Duration(r.RecomputeWeight*float64(prefillTime(c.CachedTokens, rate)))
	if req.Work.Rank != catalog.Urgent {
		c.Bonus -= time.Duration(r.InterferenceWeight * c.Occupied * float64(c.ownPrefillTime(req)))
	}
}

// ownPrefillTime returns the time to compute the prompt tokens that are neither
// cached nor fetched.
func (c *Candidate) ownPrefillTime(req *Request) time.Duration {
	return prefillTime(max(req.PromptTokens-c.CachedTokens, 0), req.PrefillRate(c.Server))
}

// reuseSavings returns the prefill time that later requests save if a server
// computes tokens now.
func (r *Router) reuseSavings(tokens int, rate float64) time.Duration {
	if r.ExpectedReuses == 0 {
		return prefillTime(tokens, 0)
	}
	return time.Duration(r.ExpectedReuses * float64(prefillTime(tokens, rate)))
}

// Reserve consumes one request of the limits of the chosen server, which apply while
// it warms up and after a pause. It reports false if one of them is exhausted: the
// caller must call Decide again.
func (r *Router) Reserve(req *Request, server *backend.Server) bool {
	now := r.now()
	return takeResume(now, server) && r.Limits.Take(now, req, server)
}

// publishedDigests returns the digests of the shared blocks whose placement is
// published to other instances.
func (r *Request) publishedDigests() []uint64 {
	shared := r.Prefix[:min(r.SharedBlocks, len(r.Prefix))]
	for n := range shared {
		if cachedTokens(r, n+1) >= minPublishedTokens {
			return shared[n:]
		}
	}
	return nil
}

// RecordDispatch records that a request was sent to a server, so that later
// requests with the same prefix may be sent there too.
func (r *Router) RecordDispatch(req *Request, server *backend.Server) {
	if r.Prefix != nil {
		r.Prefix.addPrompt(r.now(), server.Key, req.Prefix, req.publishedDigests())
	}
}
