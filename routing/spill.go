package routing

import (
	"math"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// SpillReason is the reason why a request was or was not sent to another region
// when other regions were considered.
type SpillReason string

// The reasons of spill decisions.
const (
	SpillNone       SpillReason = ""
	SpillSent       SpillReason = "sent"                 // another region is expected to meet the target and to be sooner
	SpillNoSummary  SpillReason = "no_summary"           // sent to a region of unknown load, as no local server is available
	SpillTargetMet  SpillReason = "local_target_met"     // the request is expected to meet its target in this region
	SpillHysteresis SpillReason = "hysteresis"           // the local target has not been missed for long enough
	SpillNoRegion   SpillReason = "no_region"            // no permitted region has a fresh summary
	SpillNotBetter  SpillReason = "remote_target_missed" // no other region meets the target with a free slot, sooner than this one
	SpillRamp       SpillReason = "ramp"                 // the ramp's rate limit for the region is exhausted
	SpillLinkCap    SpillReason = "link_cap"             // the bandwidth budget of the link is exhausted
)

// Defaults of a Spiller.
const (
	defaultLinkLatency = 80 * time.Millisecond // one way, between regions
	defaultLinkRate    = 250e6                 // bytes per second: 2,000 Mbit/s
	defaultEnterAfter  = 500 * time.Millisecond
	defaultExitAfter   = 5 * time.Second
	defaultMaxAge      = 10 * time.Second
	defaultRampStart   = 2.0   // requests per second
	defaultRampMax     = 512.0 // requests per second
	rampDoublingTime   = 2 * time.Second
	// receivedTime is how long no requests are sent to a region that has sent one here: about
	// two summaries.
	receivedTime         = 700 * time.Millisecond
	remoteTargetFraction = 0.8 // fraction of the remaining target that the remote cost may use
	// soonerFraction is the fraction of the local time until the end of a stream within which it
	// must end in another region to be sent there. The rest is for the error of intervals
	// that are measured in streams of different length and age.
	soonerFraction = 0.75
)

// Spiller decides whether a request is sent to another region. It is safe for
// concurrent use. Zero fields stand for defaults.
type Spiller struct {
	Summaries   Summaries
	Link        *LinkBudget   // limits the bytes sent to other regions; nil for no limit
	LinkLatency time.Duration // one way
	LinkRate    float64       // bytes per second of the whole link, to estimate the transfer time
	EnterAfter  time.Duration // time for which the target must be missed before requests spill
	ExitAfter   time.Duration // time without a miss after which requests stop spilling
	MaxAge      time.Duration // summaries older than this are not used
	RampStart   float64       // requests per second to a region that has just become reachable
	RampMax     float64       // maximum requests per second to one region
	// TargetFraction is the fraction of the remaining target, 0..1, above which the
	// local cost counts as a miss; 0 stands for 1. A value below 1 makes requests
	// spill earlier: a backend server whose queue takes up the whole target also
	// slows the responses in progress.
	TargetFraction float64
	// SpillOverdue sends a request without an available local server to a region
	// that meets its deadline if no region meets its target. The ramp does not
	// limit requests without an available local server then, because they have no
	// alternative.
	SpillOverdue bool
	// CountFreedSlots adds an estimate of the slots freed since a summary to its
	// free slots. It suits short requests; for long responses the free slots of the
	// summary alone are the safer limit.
	CountFreedSlots bool
	// EndFraction is the fraction of the time until the deadline, 0..1, above which the
	// expected end of a stream counts as late. A stream that is late in this region is
	// sent to one where it ends sooner, also if the target for its first token is met
	// here. 0 disables this. A value below 1 allows for responses that are longer than
	// expected.
	EndFraction float64
	// Share returns this instance's fraction of what its region may send, 0..1.
	// Nil stands for 1.
	Share func() float64

	mu       sync.Mutex
	misses   map[missKey]*missState
	limiters map[string]*regionLimiter
}

// missKey identifies the requests whose missed targets are tracked together.
type missKey struct {
	service string
	rank    catalog.Rank
	pinned  bool // a version must run them, so that they tell nothing about the others
}

// missState is the hysteresis state of one missKey: requests spill only once the
// local target has been missed for some time.
type missState struct {
	firstMiss time.Time // first miss of the current series; zero if there is none
	lastMiss  time.Time // most recent miss
	spilling  bool      // requests may spill
}

// regionLimiter limits the requests sent to one region.
type regionLimiter struct {
	bucket    Bucket
	rampStart time.Time // start of the ramp
	failedAt  time.Time // last time that the region was unreachable
	summaryAt time.Time // time of the summary since which sent counts
	sent      int       // requests sent since that summary
	received  time.Time // last time that the region sent a request that it may run itself
}

// decide returns a decision for another region if the request should spill, and
// else the local decision with the reason.
func (s *Spiller) decide(now time.Time, req *Request, local Decision, r *Router) Decision {
	remaining := remainingTarget(now, req)
	missed := local.Server == nil || local.Cost > time.Duration(float64(remaining)*s.targetFraction())
	// The end depends on the length of the stream more than on the load, so that other
	// requests don't tell whether this one is late.
	late := local.StreamTime > 0 && s.endsLate(now, req, local.Cost+local.StreamTime)
	spill := s.hysteresis(now, req, missed, local.Server == nil) || late
	if !missed && !late {
		local.Spill = SpillTargetMet
		return local
	}
	if !spill {
		local.Spill = SpillHysteresis
		return local
	}
	return s.spillToBest(now, req, local, remaining, r)
}

// endsLate reports whether a stream that is expected to end after the given time takes too
// much of the time until its deadline.
func (s *Spiller) endsLate(now time.Time, req *Request, end time.Duration) bool {
	return s.EndFraction > 0 && end > time.Duration(s.EndFraction*float64(req.Deadline.Sub(now)))
}

// remainingTarget returns the time left until the target. It returns the time left
// until the deadline if the work has no target, or if the target has passed already
// and is therefore missed in every region.
func remainingTarget(now time.Time, req *Request) time.Duration {
	target := req.Service.PolicyOf(req.Work).Target
	if target <= 0 {
		return req.Deadline.Sub(now)
	}
	if req.Received.IsZero() {
		return target
	}
	if left := target - now.Sub(req.Received); left > 0 {
		return left
	}
	return req.Deadline.Sub(now)
}

// hysteresis records whether the local target is missed and reports whether requests
// of this service and rank may spill. If certain is set, because there is no local
// server or no slot in time, they may spill at once.
func (s *Spiller) hysteresis(now time.Time, req *Request, missed, certain bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.missState(missKey{req.Service.Name, req.Work.Rank, req.Version != 0})
	if !missed {
		if now.Sub(state.lastMiss) > s.exitAfter() {
			state.spilling = false
		}
		if !state.spilling {
			state.firstMiss = time.Time{}
		}
		return state.spilling
	}
	if state.firstMiss.IsZero() || now.Sub(state.lastMiss) > s.exitAfter() {
		state.firstMiss, state.spilling = now, false
	}
	state.lastMiss = now
	if certain || now.Sub(state.firstMiss) >= s.enterAfter() {
		state.spilling = true
	}
	return state.spilling
}

func (s *Spiller) missState(key missKey) *missState {
	if s.misses == nil {
		s.misses = make(map[missKey]*missState)
	}
	state := s.misses[key]
	if state == nil {
		state = &missState{}
		s.misses[key] = state
	}
	return state
}

// canSpill reports whether a request without a local slot would be sent to another
// region of known load.
func (s *Spiller) canSpill(now time.Time, req *Request, r *Router) bool {
	if !s.hysteresis(now, req, true, true) {
		return false
	}
	choice := s.chooseRegion(now, req, Decision{}, remainingTarget(now, req), r, false)
	return choice.summary.Region != "" && !choice.loadUnknown
}

// chooseRegion returns the region with the least expected time to first token among
// those that meet the remaining target, or, for a stream that would end late here, the
// region in which it ends first. If there is none and no local server is
// available, it returns a region of unknown load, which is better than a refusal.
// ignoreSlots admits regions whose free slots this instance has used up since their
// summary.
func (s *Spiller) chooseRegion(now time.Time, req *Request, local Decision, remaining time.Duration, r *Router, ignoreSlots bool) choice {
	best := choice{reason: SpillNoRegion}
	noLocalServer := local.Server == nil && !req.NoLocalSlot
	unknownRegion := ""
	for _, region := range r.Regions.Reachable() {
		if region == r.Region || !r.mayRunIn(req, region) {
			continue
		}
		sends := s.receivesFrom(now, region)
		if sends && !noLocalServer {
			best.reason = SpillNotBetter
			continue
		}
		summary, fresh := s.freshSummary(now, region, req.Service.Name)
		if !fresh {
			unknownRegion = region
			continue
		}
		offered, eligible := s.evaluateRegion(now, req, local, summary, remaining, ignoreSlots)
		if !eligible {
			best.reason = SpillNotBetter
			continue
		}
		offered.sends = sends
		best.consider(summary, offered, r.random())
	}
	if best.summary.Region == "" && noLocalServer && unknownRegion != "" {
		best.summary.Region, best.loadUnknown = unknownRegion, true
	}
	return best
}

// spillToBest returns a decision for the best other region, if there is one and its
// ramp and the link allow it. Otherwise it returns the local decision with the
// reason.
func (s *Spiller) spillToBest(now time.Time, req *Request, local Decision, remaining time.Duration, r *Router) Decision {
	choice := s.chooseRegion(now, req, local, remaining, r, false)
	noAlternative := s.SpillOverdue && local.Server == nil
	if choice.summary.Region == "" && noAlternative {
		choice = s.chooseRegion(now, req, local, req.Deadline.Sub(now), r, true)
	}
	if choice.summary.Region == "" {
		local.Spill = choice.reason
		return local
	}
	if refusal := s.reserve(now, req, choice.summary, noAlternative); refusal != SpillNone {
		local.Spill = refusal
		return local
	}
	spill := SpillSent
	if choice.loadUnknown {
		spill = SpillNoSummary
	}
	return Decision{
		Region: choice.summary.Region, Reason: ReasonOtherRegion, Candidates: local.Candidates,
		Cost: choice.cost, LocalCost: local.Cost, Spill: spill, StreamTime: choice.streamTime, Events: local.Events,
	}
}

// freshSummary returns the summary of a service in a region, and whether there is
// one that is not too old.
func (s *Spiller) freshSummary(now time.Time, region, service string) (RegionSummary, bool) {
	summary, ok := s.Summaries.Summary(region, service)
	return summary, ok && now.Sub(summary.At) <= s.maxAge()
}

// evaluateRegion returns what a region offers and whether the request may be sent there:
// the region meets the remaining target, has a free slot unless ignoreSlots is set, and
// is better than the local server, if any. A stream that would end late here is better
// off where it ends sooner, and no other stream is sent to where it would end late.
func (s *Spiller) evaluateRegion(now time.Time, req *Request, local Decision, summary RegionSummary, remaining time.Duration, ignoreSlots bool) (offer, bool) {
	cost, met := s.remoteCost(req, summary, remaining)
	o := offer{cost: cost, streamTime: summary.streamTime(local), rank: cost}
	if !met || summary.Servers == 0 {
		return o, false
	}
	left := s.freeSlots(summary, now.Sub(summary.At)) - s.sentSince(summary)
	if !ignoreSlots && left <= 0 {
		return o, false
	}
	o.room = float64(max(left, 0))
	localEnd, end := local.Cost+local.StreamTime, cost+o.streamTime
	switch {
	case local.Server == nil:
		return o, true
	case local.StreamTime > 0 && s.endsLate(now, req, localEnd):
		o.rank, o.late = end, true
		return o, float64(end) < soonerFraction*float64(localEnd)
	case o.streamTime > 0 && s.endsLate(now, req, end):
		return o, false
	}
	return o, cost < local.Cost
}

// streamTime returns the expected time from the first to the last event of the stream of a
// local decision, if it ran in this region. A region without recent streams is taken to
// send events at once if most of its slots are free, and else as fast as the local server.
func (s *RegionSummary) streamTime(local Decision) time.Duration {
	if s.EventInterval == 0 && 2*s.FreeSlots < s.Slots {
		return local.StreamTime
	}
	return time.Duration(local.Events * float64(s.EventInterval))
}

// remoteCost returns the expected time to first token in another region, including
// the link latency, the transfer of the request body and the prefill of the whole
// prompt, as nothing is assumed to be cached there. It also reports whether this
// cost meets the remaining target with a margin for changes since the summary.
func (s *Spiller) remoteCost(req *Request, summary RegionSummary, remaining time.Duration) (time.Duration, bool) {
	transfer := time.Duration(float64(req.BodyBytes) / s.linkRate() * float64(time.Second))
	cost := 2*s.linkLatency() + transfer + summary.Wait + prefillTime(req.PromptTokens, summary.PrefillRate)
	return cost, cost <= time.Duration(float64(remaining)*remoteTargetFraction)
}

// freeSlots returns the number of a region's slots that this instance may use
// until the next summary: its share of the free slots of the summary and, with
// CountFreedSlots, of the estimated slots freed since. It is only a share, as
// the other instances of this region use the same summary.
func (s *Spiller) freeSlots(summary RegionSummary, age time.Duration) int {
	free := float64(summary.FreeSlots)
	if s.CountFreedSlots && summary.Hold > 0 {
		free += float64(summary.Slots) * float64(age) / float64(summary.Hold)
	}
	return int(math.Ceil(free * s.share()))
}

// sentSince returns the number of requests sent to the region since the given
// summary.
func (s *Spiller) sentSince(summary RegionSummary) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiter(summary.Region)
	if !l.summaryAt.Equal(summary.At) {
		l.summaryAt, l.sent = summary.At, 0
	}
	return l.sent
}

// reserve charges one request to the region's ramp and to the link budget. It
// returns SpillNone, or the reason if one of them is exhausted. The ramp does not
// apply if ignoreRamp is set.
func (s *Spiller) reserve(now time.Time, req *Request, summary RegionSummary, ignoreRamp bool) SpillReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiter(summary.Region)
	l.updateRamp(now, summary.Since)
	rate := s.ramp(now.Sub(l.rampStart)) * s.share()
	if !l.bucket.Take(now, 1, rate, max(1, rate)) && !ignoreRamp {
		return SpillRamp
	}
	if s.Link != nil && !s.Link.Take(now, req.BodyBytes) {
		return SpillLinkCap
	}
	l.sent++
	return SpillNone
}

// Failed records that a region was unreachable. The rate of requests to it starts
// again at the beginning of the ramp.
func (s *Spiller) Failed(now time.Time, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter(region).failedAt = now
}

// Received records that a region has sent a request here that it may run itself.
func (s *Spiller) Received(now time.Time, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter(region).received = now
}

// receivesFrom reports whether a region has sent requests here lately: it has less room
// than this one, or had until its requests arrived.
func (s *Spiller) receivesFrom(now time.Time, region string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.limiter(region).received
	return !received.IsZero() && now.Sub(received) < receivedTime
}

// updateRamp restarts the ramp if the region has been unreachable since the ramp
// began: a request to it failed, or its current series of summaries began later. A
// region that was reachable but received no requests keeps its ramp. since is the
// start of the series of summaries, or zero if there is no summary.
func (l *regionLimiter) updateRamp(now, since time.Time) {
	if since.Before(l.failedAt) {
		since = l.failedAt
	}
	switch {
	case l.rampStart.IsZero() && since.IsZero():
		l.rampStart = now
	case since.After(l.rampStart):
		l.rampStart, l.bucket = since, Bucket{}
	}
}

// ramp returns the requests per second that may be sent to a region at the given
// time after it became reachable. The rate starts low and grows exponentially
// because the caches of the region are cold at first.
func (s *Spiller) ramp(up time.Duration) float64 {
	start, limit := s.RampStart, s.RampMax
	if start <= 0 {
		start = defaultRampStart
	}
	if limit <= 0 {
		limit = defaultRampMax
	}
	return min(limit, start*math.Exp2(up.Seconds()/rampDoublingTime.Seconds()))
}

func (s *Spiller) limiter(region string) *regionLimiter {
	if s.limiters == nil {
		s.limiters = make(map[string]*regionLimiter)
	}
	l := s.limiters[region]
	if l == nil {
		l = &regionLimiter{}
		s.limiters[region] = l
	}
	return l
}

func (s *Spiller) share() float64 {
	if s.Share == nil {
		return 1
	}
	return s.Share()
}

func (s *Spiller) linkLatency() time.Duration { return orDefault(s.LinkLatency, defaultLinkLatency) }
func (s *Spiller) enterAfter() time.Duration  { return orDefault(s.EnterAfter, defaultEnterAfter) }
func (s *Spiller) exitAfter() time.Duration   { return orDefault(s.ExitAfter, defaultExitAfter) }
func (s *Spiller) maxAge() time.Duration      { return orDefault(s.MaxAge, defaultMaxAge) }

func (s *Spiller) targetFraction() float64 {
	if s.TargetFraction <= 0 {
		return 1
	}
	return s.TargetFraction
}

func (s *Spiller) linkRate() float64 {
	if s.LinkRate <= 0 {
		return defaultLinkRate
	}
	return s.LinkRate
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
