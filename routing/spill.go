package routing

import (
	"math"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// SpillReason says why a request stayed or left when leaving was weighed.
type SpillReason string

// The reasons for which a request stays or leaves.
const (
	SpillNone      SpillReason = ""
	SpillSent      SpillReason = "sent"             // local target missed, remote target met
	SpillBlind     SpillReason = "no_summary"       // no local server; the other region's load is unknown
	SpillTargetMet SpillReason = "local_target_met" // the request is served in time here
	SpillWaiting   SpillReason = "hysteresis"       // the miss has not lasted long enough
	SpillNoRegion  SpillReason = "no_region"        // no permitted region has a fresh summary
	SpillNotBetter SpillReason = "remote_target_missed"
	SpillRamp      SpillReason = "ramp"     // the region's share of this second is used
	SpillLink      SpillReason = "link_cap" // the link's share of this second is used
)

// Defaults of a Spiller.
const (
	defaultLinkLatency = 80 * time.Millisecond // one way, between regions
	defaultLinkRate    = 250e6                 // bytes per second: 2,000 Mbit/s
	defaultEnter       = 500 * time.Millisecond
	defaultLeave       = 5 * time.Second
	defaultMaxAge      = 10 * time.Second
	defaultRampStart   = 2.0   // requests per second
	defaultRampMax     = 512.0 // requests per second
	rampDoubling       = 2 * time.Second
	remoteMargin       = 0.8 // part of the remaining time that the remote cost may use
)

// Spiller decides whether a request is worth sending to another region. It is
// safe for concurrent use. Zero fields stand for defaults.
type Spiller struct {
	Summaries   Summaries
	Link        *LinkBudget   // bytes that this instance may send to other regions
	LinkLatency time.Duration // one way
	LinkRate    float64       // bytes per second of the whole link, for the transfer time
	Enter       time.Duration // how long the target must be missed before requests leave
	Leave       time.Duration // without a miss until requests stop leaving
	MaxAge      time.Duration // summaries older than this are not used
	RampStart   float64       // requests per second after a heal
	RampMax     float64       // requests per second at most, to one region
	// Part of the target from which on another region is asked, 0..1. A backend
	// server whose queue takes up the whole target also slows the answers that
	// it has begun.
	Part float64
	// Late work that cannot run here is sent where its deadline is met, if its
	// target is missed everywhere. The ramp does not hold it back: there is no
	// other place for it.
	Late bool
	// Turnover counts slots that have become free since a summary as free. It
	// suits short work; for long answers the summary itself is the safer bound.
	Turnover bool
	// Share returns this instance's part of what its region may send, 0..1.
	// Nil stands for the whole.
	Share func() float64

	mu       sync.Mutex
	misses   map[missKey]*missState
	channels map[string]*channel
}

// missKey names the work whose target is watched.
type missKey struct {
	service string
	rank    catalog.Rank
}

// missState is the hysteresis of one kind of work: requests leave only while
// the local target has been missed for a while.
type missState struct {
	since   time.Time // first miss of the present row; zero without one
	last    time.Time // last miss
	leaving bool
}

// channel limits what is sent to one region.
type channel struct {
	bucket Bucket
	upAt   time.Time // from which the ramp counts
	failed time.Time // when it could last not be reached
	sentAt time.Time // summary that sent counts against
	sent   int       // requests sent since that summary
}

// decide weighs leaving against the local decision.
func (s *Spiller) decide(now time.Time, req *Request, local Decision, r *Router) Decision {
	remaining := remainingTarget(now, req)
	missed := local.Server == nil || local.Cost > time.Duration(float64(remaining)*s.part())
	leave := s.hysteresis(now, req, missed, local.Server == nil)
	if !missed {
		local.Spill = SpillTargetMet
		return local
	}
	if !leave {
		local.Spill = SpillWaiting
		return local
	}
	return s.best(now, req, local, remaining, r)
}

// remainingTarget returns the part of the target that is left. A request whose
// target has passed already is weighed against its deadline: the target is
// missed anywhere.
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

// hysteresis reports whether requests of this kind may leave. With no local
// server left, or no slot in time, they may at once: the miss is certain.
func (s *Spiller) hysteresis(now time.Time, req *Request, missed, none bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.missState(missKey{req.Service.Name, req.Work.Rank})
	if !missed {
		if now.Sub(state.last) > s.leave() {
			state.leaving = false
		}
		if !state.leaving {
			state.since = time.Time{}
		}
		return state.leaving
	}
	if state.since.IsZero() || now.Sub(state.last) > s.leave() {
		state.since, state.leaving = now, false
	}
	state.last = now
	if none || now.Sub(state.since) >= s.enter() {
		state.leaving = true
	}
	return state.leaving
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

// couldLeave reports whether a request without a local slot would be sent to
// another region.
func (s *Spiller) couldLeave(now time.Time, req *Request, r *Router) bool {
	if !s.hysteresis(now, req, true, true) {
		return false
	}
	choice := s.choose(now, req, Decision{}, remainingTarget(now, req), r, false)
	return choice.summary.Region != "" && !choice.blind
}

// choice is the best other region for a request.
type choice struct {
	summary RegionSummary // of the chosen region; without a Region if there is none
	cost    time.Duration
	blind   bool        // the load of the region is not known
	why     SpillReason // if there is none
}

// choose finds the region with the least expected time to first token among
// those that meet the target. With no local server left, a region of unknown
// load is better than a refusal. full admits regions whose free slots this
// instance has used up since their summary.
func (s *Spiller) choose(now time.Time, req *Request, local Decision, remaining time.Duration, r *Router, full bool) choice {
	best := choice{why: SpillNoRegion}
	blind := ""
	for _, region := range r.Regions.Reachable() {
		if region == r.Region || !req.Service.Permits(req.Work, region) {
			continue
		}
		next, known := s.fresh(now, region, req.Service.Name)
		if !known {
			blind = region
			continue
		}
		cost, worth := s.worth(now, req, local, next, remaining, full)
		if !worth {
			best.why = SpillNotBetter
		} else if best.summary.Region == "" || cost < best.cost {
			best.summary, best.cost = next, cost
		}
	}
	gone := local.Server == nil && !req.NoSlot
	if best.summary.Region == "" && gone && blind != "" {
		best.summary.Region, best.blind = blind, true
	}
	return best
}

// best sends the request to the best region, if there is one and its ramp and
// the link allow it.
func (s *Spiller) best(now time.Time, req *Request, local Decision, remaining time.Duration, r *Router) Decision {
	choice := s.choose(now, req, local, remaining, r, false)
	stuck := s.Late && local.Server == nil
	if choice.summary.Region == "" && stuck {
		choice = s.choose(now, req, local, req.Deadline.Sub(now), r, true)
	}
	if choice.summary.Region == "" {
		local.Spill = choice.why
		return local
	}
	if refusal := s.take(now, req, choice.summary, stuck); refusal != SpillNone {
		local.Spill = refusal
		return local
	}
	spill := SpillSent
	if choice.blind {
		spill = SpillBlind
	}
	return Decision{
		Region: choice.summary.Region, Reason: ReasonOtherRegion, Candidates: local.Candidates,
		Cost: choice.cost, LocalCost: local.Cost, Spill: spill,
	}
}

// fresh returns a region's summary if it is not too old.
func (s *Spiller) fresh(now time.Time, region, service string) (RegionSummary, bool) {
	summary, ok := s.Summaries.Summary(region, service)
	return summary, ok && now.Sub(summary.At) <= s.maxAge()
}

// worth returns the cost of a region and whether sending the request there is
// worth it.
func (s *Spiller) worth(now time.Time, req *Request, local Decision, summary RegionSummary, remaining time.Duration, full bool) (time.Duration, bool) {
	cost, met := s.remoteCost(req, summary, remaining)
	if !met || summary.Servers == 0 {
		return cost, false
	}
	if !full && s.claimed(summary) >= s.free(summary, now.Sub(summary.At)) {
		return cost, false
	}
	return cost, local.Server == nil || cost < local.Cost
}

// remoteCost returns the expected time to first token in another region, with
// the link, the transfer of the request and a cold cache, and whether it meets
// the target with a margin for what the summary cannot know.
func (s *Spiller) remoteCost(req *Request, summary RegionSummary, remaining time.Duration) (time.Duration, bool) {
	transfer := time.Duration(float64(req.BodyBytes) / s.linkRate() * float64(time.Second))
	cost := 2*s.linkLatency() + transfer + summary.Wait + prefillTime(req.PromptTokens, summary.PrefillRate)
	return cost, cost <= time.Duration(float64(remaining)*remoteMargin)
}

// free returns the slots of a region that this instance may use until the next
// summary: those that were free and, with Turnover, those that have become free since. The other instances of its region use the same summary.
func (s *Spiller) free(summary RegionSummary, age time.Duration) int {
	free := float64(summary.FreeSlots)
	if s.Turnover && summary.Hold > 0 {
		free += float64(summary.Slots) * float64(age) / float64(summary.Hold)
	}
	return int(math.Ceil(free * s.share()))
}

// claimed returns the requests sent since the given summary.
func (s *Spiller) claimed(summary RegionSummary) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.channel(summary.Region)
	if !c.sentAt.Equal(summary.At) {
		c.sentAt, c.sent = summary.At, 0
	}
	return c.sent
}

// take uses the region's ramp and the link's budget for one request.
func (s *Spiller) take(now time.Time, req *Request, summary RegionSummary, stuck bool) SpillReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.channel(summary.Region)
	c.seen(now, summary.Since)
	rate := s.ramp(now.Sub(c.upAt)) * s.share()
	if !c.bucket.Take(now, 1, rate, max(1, rate)) && !stuck {
		return SpillRamp
	}
	if s.Link != nil && !s.Link.Take(now, req.BodyBytes) {
		return SpillLink
	}
	c.sent++
	return SpillNone
}

// Failed tells that a region could not be reached: what is sent there starts
// again from the beginning of the ramp.
func (s *Spiller) Failed(now time.Time, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.channel(region).failed = now
}

// seen begins the ramp anew if the region has been away: if its summaries have
// come since a later time only, or if it has failed. A region that was merely not
// needed has not been away. since is zero if there is no summary.
func (c *channel) seen(now, since time.Time) {
	if since.Before(c.failed) {
		since = c.failed
	}
	switch {
	case c.upAt.IsZero() && since.IsZero():
		c.upAt = now
	case since.After(c.upAt):
		c.upAt, c.bucket = since, Bucket{}
	}
}

// ramp returns the requests per second that a region may be sent some time
// after it was seen again. Its caches are cold then.
func (s *Spiller) ramp(up time.Duration) float64 {
	start, limit := s.RampStart, s.RampMax
	if start <= 0 {
		start = defaultRampStart
	}
	if limit <= 0 {
		limit = defaultRampMax
	}
	return min(limit, start*math.Exp2(up.Seconds()/rampDoubling.Seconds()))
}

func (s *Spiller) channel(region string) *channel {
	if s.channels == nil {
		s.channels = make(map[string]*channel)
	}
	c := s.channels[region]
	if c == nil {
		c = &channel{}
		s.channels[region] = c
	}
	return c
}

func (s *Spiller) share() float64 {
	if s.Share == nil {
		return 1
	}
	return s.Share()
}

func (s *Spiller) linkLatency() time.Duration { return orDefault(s.LinkLatency, defaultLinkLatency) }
func (s *Spiller) enter() time.Duration       { return orDefault(s.Enter, defaultEnter) }
func (s *Spiller) leave() time.Duration       { return orDefault(s.Leave, defaultLeave) }
func (s *Spiller) maxAge() time.Duration      { return orDefault(s.MaxAge, defaultMaxAge) }

func (s *Spiller) part() float64 {
	if s.Part <= 0 {
		return 1
	}
	return s.Part
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
