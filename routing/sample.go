package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Limits of the candidates of one decision. They keep the cost of a decision
// independent of the number of servers.
const (
	DefaultSample     = 8  // candidates drawn at random
	maxSample         = 16 // maximum number of candidates drawn at random
	maxMatches        = 4  // candidates that may have the prefix cached
	ringMatches       = 2  // candidates from the consistent hash ring
	maxCandidates     = maxSample + maxMatches + ringMatches
	drawsPerCandidate = 3 // random draws per requested candidate; some draws hit unusable servers
)

// scratch is the working memory of a decision. It is embedded in the Request so
// that a decision allocates no memory.
type scratch struct {
	candidates      [maxCandidates]Candidate
	count           int
	matchSpace      [maxMatches]match
	matches         []match
	probe           *backend.Server
	sharers         float64
	bestBaseLatency time.Duration // base latency assumed for servers whose latency is unknown
	now             time.Time
}

func (s *scratch) reset(now time.Time) {
	s.count = 0
	s.probe = nil
	s.sharers, s.bestBaseLatency, s.now = 0, 0, now
	s.matches = s.matchSpace[:0]
}

func (s *scratch) add(server *backend.Server, cached int) {
	s.candidates[s.count] = Candidate{Server: server, CachedTokens: cached}
	s.count++
}

// find returns the index of a server among the candidates, or -1.
func (s *scratch) find(server *backend.Server) int {
	for i := range s.count {
		if s.candidates[i].Server == server {
			return i
		}
	}
	return -1
}

// probeTimeout is the time after which a probe is due again if its result has not
// been reported.
const probeTimeout = 10 * time.Second

// takeProbe returns the ejected server that this request should probe, or nil.
// Only repeatable requests are used as probes, and no suspects.
func (s *scratch) takeProbe(now time.Time, req *Request) *backend.Server {
	if s.probe == nil || !req.Work.Repeatable || req.Alone {
		return nil
	}
	if !s.probe.Health().ReserveProbe(now, now.Add(probeTimeout)) {
		return nil
	}
	return s.probe
}

// addMatches adds the usable servers that may have the prefix cached.
func (r *Router) addMatches(now time.Time, req *Request, group *backend.Group) {
	s := &req.scratch
	for _, m := range s.matches {
		server := group.ByKey(m.server)
		if server != nil && r.usable(now, req, server) {
			s.add(server, cachedTokens(req, m.blocks))
		}
	}
}

// ringBlock is the block whose digest determines the position of a prompt on the
// hash ring if the number of shared blocks is unknown. Prompts with the same first
// ringBlock blocks, about 500 tokens, are assigned to the same servers.
const ringBlock = 8

// addRing adds the two servers that the hash ring assigns to the prompt. All
// instances prefer them for new prompts, so that prompts with the same prefix use
// the same caches without communication between the instances.
func (r *Router) addRing(now time.Time, req *Request, group *backend.Group) {
	if len(req.Prefix) == 0 {
		return
	}
	block, shared := min(ringBlock, len(req.Prefix)), len(req.Prefix)
	if req.SharedBlocks > 0 {
		block = min(req.SharedBlocks, len(req.Prefix))
		shared = block
	}
	first, second := group.LookupRing(req.Prefix[block-1])
	tokens := cachedTokens(req, shared)
	r.addRingServer(now, req, first, tokens)
	r.addRingServer(now, req, second, tokens/2)
}

func (r *Router) addRingServer(now time.Time, req *Request, server *backend.Server, tokens int) {
	s := &req.scratch
	if server == nil {
		return
	}
	at := s.find(server)
	if at < 0 && !r.usable(now, req, server) {
		return
	}
	if at < 0 {
		at = s.count
		s.add(server, 0)
	}
	s.candidates[at].ReuseTokens = tokens
}

// cachedTokens returns the number of prompt tokens in the given number of leading
// blocks.
func cachedTokens(req *Request, blocks int) int {
	if len(req.PrefixTokens) >= blocks && blocks > 0 {
		return min(req.PromptTokens, req.PrefixTokens[blocks-1])
	}
	return min(req.PromptTokens, blocks*BlockTokens)
}

// sample adds usable servers drawn at random, or all usable servers if there are
// no more than the sample size. If no draw hits a usable server and there is no
// other candidate, it scans for one.
func (r *Router) sample(now time.Time, req *Request, servers []*backend.Server, random Random) {
	targetCount := r.sampleSize() + req.scratch.count
	if len(servers) <= r.sampleSize() {
		r.scan(now, req, servers, 0, targetCount, r.usable)
		return
	}
	for range drawsPerCandidate * r.sampleSize() {
		if req.scratch.count >= targetCount {
			return
		}
		r.addIfEligible(now, req, servers[randomIndex(random, len(servers))], r.usable)
	}
	if req.scratch.count == 0 {
		r.scan(now, req, servers, randomIndex(random, len(servers)), 1, r.usable)
	}
}

// fallback adds permitted servers regardless of their health.
func (r *Router) fallback(now time.Time, req *Request, servers []*backend.Server, random Random) {
	if len(servers) > 0 {
		r.scan(now, req, servers, randomIndex(random, len(servers)), r.sampleSize(), r.permitted)
	}
}

// scan adds eligible servers in order, beginning at index start, until there are
// targetCount candidates in total.
func (r *Router) scan(now time.Time, req *Request, servers []*backend.Server, start, targetCount int, eligible eligibleFunc) {
	for i := range servers {
		if req.scratch.count >= targetCount {
			return
		}
		r.addIfEligible(now, req, servers[(start+i)%len(servers)], eligible)
	}
}

// eligibleFunc reports whether a server may be a candidate.
type eligibleFunc func(now time.Time, req *Request, server *backend.Server) bool

func (r *Router) addIfEligible(now time.Time, req *Request, server *backend.Server, eligible eligibleFunc) {
	s := &req.scratch
	if s.find(server) >= 0 || s.count == maxCandidates || !eligible(now, req, server) {
		return
	}
	s.add(server, 0)
}

// usable reports whether a server passes all filters, Health included. If Health
// removes a server whose probe is due, usable stores it as the probe of the request.
func (r *Router) usable(now time.Time, req *Request, server *backend.Server) bool {
	if !r.permitted(now, req, server) {
		return false
	}
	for _, f := range r.Health {
		if !f.Keep(now, req, server) {
			if server.Health().ProbeDue(now) {
				req.scratch.probe = server
			}
			return false
		}
	}
	return true
}

// permitted reports whether a server passes Limits and Filters, which
// apply even if no healthy server is left.
func (r *Router) permitted(now time.Time, req *Request, server *backend.Server) bool {
	if !r.Limits.Keep(now, req, server) {
		return false
	}
	for _, f := range r.Filters {
		if !f.Keep(now, req, server) {
			return false
		}
	}
	return true
}

func (r *Router) sampleSize() int {
	if r.SampleSize <= 0 {
		return DefaultSample
	}
	return min(r.SampleSize, maxSample)
}

// randomIndex returns a random index in [0, n).
func randomIndex(random Random, n int) int {
	return int((random.Uint64() >> 32) * uint64(n) >> 32)
}
