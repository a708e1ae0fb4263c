// Package routing decides which backend server runs a request, or which other
// region it is sent to. The package does no I/O; time and randomness are passed
// in.
//
// A decision draws a few candidates: servers that may have the prompt's prefix
// cached, those at the prefix's place on a hash ring, and some at random. Filters
// remove those that must not or should not be used; a cold server counts only
// within its warm-up bound. The scorer estimates the time to first token: the wait
// for a slot, the prompts that are still to be computed there, and the uncached
// part of the request's own. The picker takes the least, less a bonus for tokens
// that need not be computed again and, for batch work, plus the time that the
// prompt holds up answers in progress.
//
// A server with many prompts waiting may fetch the shared part of a prompt from the
// cache of another one. A prompt that would wait too long for others is refused,
// unless another region serves it sooner.
//
// The request leaves the region if a part of its target would pass here and
// another region serves it sooner, the link included; if it cannot run here, it
// goes to the region that serves it soonest.
package routing

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Request is what a decision needs to know of a request. It is used by one
// goroutine, and once for all attempts of the request.
type Request struct {
	ID           string
	Service      *catalog.Service
	Work         catalog.Work
	Caller       string
	Received     time.Time
	Deadline     time.Time
	PromptTokens int             // estimate
	BodyBytes    int             // what crosses a link if another region is chosen
	Prefix       []uint64        // digests of the prompt's leading blocks, longest last
	PrefixTokens []int           // tokens that each of Prefix covers; nil for BlockTokens a block
	Shared       int             // leading blocks that other prompts have in common; 0: unknown
	Forwarded    bool            // arrived from another region; must be decided here
	StayLocal    bool            // another region was tried; no second one is
	Alone        bool            // a suspect that must not run beside other requests
	NoSlot       bool            // no slot of this region becomes free in time; another region or none
	Tried        map[string]bool // ids of backend servers that attempts have used

	scratch scratch
}

// Occupied returns the requests expected on a server. While candidates are
// compared, the estimate is one that keeps instances with late reports from
// following the same report; else it is the best for the server alone.
func (r *Request) Occupied(server *backend.Server) float64 {
	if r.scratch.sharers > 0 {
		return server.Expected(r.scratch.sharers)
	}
	return float64(server.Occupied())
}

// Reason says why a decision came out as it did.
type Reason string

// The reasons of decisions.
const (
	ReasonLeastCost   Reason = "least_cost"           // least expected time to first token
	ReasonPrefix      Reason = "prefix_cached"        // the same, and the prompt's prefix is cached there
	ReasonProbe       Reason = "probe"                // probe of an ejected server
	ReasonNoHealthy   Reason = "no_healthy_server"    // every server is ejected or silent; one is used anyway
	ReasonNoServer    Reason = "no_backend_server"    // nothing accepts the request
	ReasonNoSlot      Reason = "no_slot"              // no slot becomes free in time, here or elsewhere
	ReasonNotHere     Reason = "region_not_permitted" // the service is not permitted in this region
	ReasonTooLong     Reason = "wait_too_long"        // prompts ahead take too much of the target, here and elsewhere
	ReasonOtherRegion Reason = "other_region"         // the target would be missed here and met there
)

// Decision is the result of routing. Exactly one of Server and Region is set,
// or none if the request cannot be served.
type Decision struct {
	Server       *backend.Server
	Region       string // another region to forward to
	Reason       Reason
	Candidates   int           // servers scored
	Cost         time.Duration // expected time to first token there
	Wait         time.Duration // part of Cost that is spent on prompts ahead
	LocalCost    time.Duration // of the best local server if Region is set; 0 without one
	CachedTokens int           // prompt tokens believed to be in the cache of Server, or of FetchFrom
	// FetchFrom is a server whose cache has more of the prompt than that of
	// Server, which may fetch it. Nil for none.
	FetchFrom *backend.Server
	Spill     SpillReason // why the request stayed or left, if leaving was weighed
}

// UncachedTokens returns the prompt tokens that Server has to compute.
func (d *Decision) UncachedTokens(req *Request) int {
	return max(0, req.PromptTokens-d.CachedTokens)
}

// Job returns what the request is expected to cost Server.
func (d *Decision) Job(req *Request) backend.Job {
	return backend.Job{Rank: req.Work.Rank, Prompt: d.UncachedTokens(req), Fresh: d.uncachedKnown(req)}
}

// uncachedKnown reports whether UncachedTokens is no guess: the server has
// computed all that the prompt shares with others, or the prompt does not tell
// what it shares.
func (d *Decision) uncachedKnown(req *Request) bool {
	return req.Shared == 0 || d.FetchFrom == nil && d.CachedTokens >= cachedTokens(req, req.Shared)
}

// Probe reports whether the decision sends the request to a server that is
// believed to fail, so that its answer ends the ejection.
func (d *Decision) Probe() bool { return d.Reason == ReasonProbe || d.Reason == ReasonNoHealthy }

// Candidate is a server that a decision weighs.
type Candidate struct {
	Server       *backend.Server
	Cost         time.Duration   // expected time to first token
	CachedTokens int             // prompt tokens believed to be cached
	Occupied     float64         // requests expected on the server
	Fetch        *backend.Server // where CachedTokens are fetched from; nil: they are here
	fetchTime    time.Duration
	Later        int           // prompt tokens that later requests save if this one is sent here
	Bonus        time.Duration // what speaks for the server besides Cost
}

// Filter removes servers that must not be used.
type Filter interface {
	// Keep reports whether the server may run the request.
	Keep(now time.Time, req *Request, server *backend.Server) bool
}

// Scorer estimates what running a request on a server costs.
type Scorer interface {
	// Score returns the expected time to first token. cached are the prompt
	// tokens believed to be in the server's cache.
	Score(req *Request, server *backend.Server, cached int) time.Duration
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate. There is at least one.
	Pick(req *Request, candidates []Candidate, random Random) int
}

// Random is a source of random numbers, such as *rand.Rand.
type Random interface {
	Uint64() uint64
}

// sharedRandom is the generator of the runtime, which needs no lock.
type sharedRandom struct{}

// Uint64 implements Random.
func (sharedRandom) Uint64() uint64 { return rand.Uint64() }

// Regions tells which other regions could serve a request.
type Regions interface {
	// Reachable returns the regions with a live instance, other than this one.
	Reachable() []string
}

// Router decides for one region. It is safe for concurrent use if its Random
// is.
type Router struct {
	Region   string
	Registry *backend.Registry
	// Filters remove servers that must never be used.
	Filters []Filter
	// Health removes servers that should not be used. If it leaves none, it is
	// ignored: a server that is believed to fail is better than none.
	Health []Filter
	// Warmup bounds what cold servers are sent; nil for no bound.
	Warmup  *Warmup
	Scorer  Scorer
	Picker  Picker       // nil picks the least cost
	Prefix  *PrefixIndex // nil for no prefix affinity
	Spill   *Spiller     // nil to leave the region only if no server is left
	Regions Regions      // regions with a live instance
	// Remote tells what the caches of other regions have; nil for nothing.
	Remote *RemoteCaches
	// Waiting returns the requests of this region that wait for a slot of a
	// service. They take its free slots before any request of another region.
	// Nil stands for none.
	Waiting func(service string) int
	// Reread is how much more a prompt token that has to be computed again
	// weighs than its own time: others wait behind it. 0 counts the time alone.
	Reread float64
	// Reuse is how many later prompts are taken to share what a prompt leaves in
	// the cache of a server; the time that they save speaks for the servers at
	// the prompt's place on the ring. 0 counts one, at the default rate.
	Reuse float64
	// Crowding weighs how long a prompt holds up each request that a server
	// runs already. It keeps long prompts of batch work away from servers with
	// many answers in progress. 0 for none.
	Crowding float64
	// MaxWait is the part of its target that a prompt may wait for others. One
	// that would wait for longer is refused: what it takes would make those
	// behind it late too. 0 for no bound.
	MaxWait float64
	Sample  int              // candidates drawn at random; 0 for DefaultSample
	Now     func() time.Time // nil for time.Now
	Random  Random           // nil for the generator of the runtime
}

// Decide routes one request.
func (r *Router) Decide(req *Request) Decision {
	now := r.now()
	if !req.Service.Permits(req.Work, r.Region) {
		return r.elsewhere(now, req, Decision{Reason: ReasonNotHere})
	}
	if req.NoSlot {
		return r.elsewhere(now, req, Decision{Reason: ReasonNoSlot})
	}
	decision := r.local(now, req)
	if r.mayLeave(req) && (decision.Server == nil || r.Spill != nil) {
		decision = r.elsewhere(now, req, decision)
	}
	if r.tooLong(req, decision) {
		decision.Server, decision.Reason = nil, ReasonTooLong
	}
	return decision
}

// tooLong reports whether a request would wait for too long at the server of
// its decision. One that may have run already is not refused any more.
func (r *Router) tooLong(req *Request, d Decision) bool {
	target := req.Service.PolicyOf(req.Work).Target
	if r.MaxWait == 0 || target <= 0 || d.Server == nil || len(req.Tried) > 0 {
		return false
	}
	if !rateKnown(req.scratch.now, req.Work.Rank, d.Server) {
		return false
	}
	return d.Wait > time.Duration(r.MaxWait*float64(target))
}

// Healthy returns the servers of a service that requests are sent to: those
// that accept them and are not ejected, silent or reserved for a trial. If
// there are none it returns those that accept requests, as Decide does.
func (r *Router) Healthy(service string) iter.Seq[*backend.Server] {
	return func(yield func(*backend.Server) bool) {
		now, req := r.now(), &Request{}
		servers := r.Registry.Of(service)
		use := r.usable
		if !slices.ContainsFunc(servers, func(s *backend.Server) bool { return r.usable(now, req, s) }) {
			use = r.permitted
		}
		for _, server := range servers {
			if use(now, req, server) && !yield(server) {
				return
			}
		}
	}
}

// CouldLeave reports whether another region would be worth it for a request
// that gets no slot here. It uses up nothing: Decide with NoSlot may come to
// another result a moment later.
func (r *Router) CouldLeave(req *Request) bool {
	if !r.mayLeave(req) || r.Regions == nil || r.Spill == nil {
		return false
	}
	now := r.now()
	return r.Spill.couldLeave(now, req, r)
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

// mayLeave reports whether the request may be sent to another region. Work
// never leaves its only home, a forwarded request is decided here, and a
// suspect runs where its suspicion is known.
func (r *Router) mayLeave(req *Request) bool {
	return !req.Forwarded && !req.StayLocal && !req.Alone && req.Work.MayLeave(r.Region)
}

// elsewhere weighs other regions against the local decision.
func (r *Router) elsewhere(now time.Time, req *Request, local Decision) Decision {
	if !r.mayLeave(req) || r.Regions == nil {
		return local
	}
	if r.Spill != nil {
		return r.Spill.decide(now, req, local, r)
	}
	if req.NoSlot {
		return local
	}
	for _, region := range r.Regions.Reachable() {
		if region != r.Region && req.Service.Permits(req.Work, region) {
			return Decision{Region: region, Reason: ReasonOtherRegion}
		}
	}
	return local
}

// local finds the best server of this region.
func (r *Router) local(now time.Time, req *Request) Decision {
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
		return Decision{Reason: ReasonNoServer}
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
	s.bestRate = bestRate(s.now, req.Work.Rank, candidates)
	s.bestBase = bestBase(s.now, req.Work.Rank, candidates)
	for i := range candidates {
		candidates[i].Occupied = req.Occupied(candidates[i].Server)
	}
	mean := meanOccupied(candidates)
	source, most := r.source(req, candidates)
	for i := range candidates {
		c := &candidates[i]
		if overBound(c, mean) {
			c.CachedTokens, c.Later = 0, 0
		}
		c.fetch(req, source, most)
		r.weigh(req, c)
	}
	picker := r.Picker
	if picker == nil {
		picker = LeastCost{}
	}
	best := candidates[picker.Pick(req, candidates, random)]
	s.sharers = 0
	best.Cost = r.Scorer.Score(req, best.Server, best.CachedTokens) + best.fetchTime
	if best.CachedTokens > 0 && reason == ReasonLeastCost {
		reason = ReasonPrefix
	}
	return Decision{
		Server: best.Server, Reason: reason, Candidates: len(candidates),
		Cost: best.Cost, CachedTokens: best.CachedTokens, FetchFrom: best.Fetch,
		Wait: best.Cost - req.BaseLatency(best.Server) - best.ownPrefill(req),
	}
}

// weigh sets the cost of a candidate and what else speaks for it.
func (r *Router) weigh(req *Request, c *Candidate) {
	c.Cost = r.Scorer.Score(req, c.Server, c.CachedTokens) + c.fetchTime
	rate := req.PrefillRate(c.Server)
	c.Bonus = r.laterTime(c.Later, rate) + time.Duration(r.Reread*float64(prefillTime(c.CachedTokens, rate)))
	if req.Work.Rank != catalog.Urgent {
		c.Bonus -= time.Duration(r.Crowding * c.Occupied * float64(c.ownPrefill(req)))
	}
}

// ownPrefill returns the time to compute what the server lacks of the prompt.
func (c *Candidate) ownPrefill(req *Request) time.Duration {
	return prefillTime(max(req.PromptTokens-c.CachedTokens, 0), req.PrefillRate(c.Server))
}

// laterTime returns what later requests save if a server computes tokens now.
func (r *Router) laterTime(tokens int, rate float64) time.Duration {
	if r.Reuse == 0 {
		return prefillTime(tokens, 0)
	}
	return time.Duration(r.Reuse * float64(prefillTime(tokens, rate)))
}

// Admit takes what the request uses up of the chosen server's warm-up. It
// reports false if nothing is left of it: the request must be decided again.
func (r *Router) Admit(req *Request, server *backend.Server) bool {
	return r.Warmup == nil || r.Warmup.Take(r.now(), req, server)
}

// told returns the digests of the shared parts that other instances are told of.
func (r *Request) told() []uint64 {
	shared := r.Prefix[:min(r.Shared, len(r.Prefix))]
	for n := range shared {
		if cachedTokens(r, n+1) >= minToldTokens {
			return shared[n:]
		}
	}
	return nil
}

// Dispatched tells the router that a request was sent to a server, so that
// later requests with the same prefix may be sent there too.
func (r *Router) Dispatched(req *Request, server *backend.Server) {
	if r.Prefix != nil {
		r.Prefix.addPrompt(r.now(), server.Key, req.Prefix, req.told())
	}
}
