// Package ratelimit enforces limits on each caller's requests per second, tokens
// per second and requests in flight. The limits apply to all instances of a region
// together: each instance enforces its share, which a share.Table adjusts to
// demand. No decision waits for another instance or for the store.
//
// Within any period T, all instances together admit at most the limit times T,
// plus a burst of BurstTime, plus one request per instance. Each instance permits
// at least one request in flight, so an in-flight limit below the number of
// instances is exceeded by at most that number.
package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/share"
)

const (
	// BurstTime is the longest period whose unused rate a caller can accumulate
	// for a burst.
	BurstTime = time.Second
	// demandTimeConstant is the time constant of the exponential decay of a
	// caller's measured demand.
	demandTimeConstant = 5 * time.Second
	// idleTimeout is the time without a request after which the state of a caller
	// is dropped.
	idleTimeout = 30 * time.Second
	// minAnnouncedDemand is the fraction of an equal share below which demand is
	// announced as zero: the floor, which a member never transfers away, covers it.
	minAnnouncedDemand = 0.2
	minRetryAfter      = time.Second
	maxRetryAfter      = time.Minute
	shardCount         = 16
)

// Kind is the kind of a limit.
type Kind string

// The kinds of limits of a caller.
const (
	Requests Kind = "requests_per_second"
	Tokens   Kind = "tokens_per_second"
	InFlight Kind = "in_flight"
)

// Refusal reports the limit that a request exceeds. The request has not run.
type Refusal struct {
	Limit      Kind
	RetryAfter time.Duration
	Allowed    float64       // this instance's share of the limit
	Used       float64       // requests in flight, or what the last second has used of the rate
	Share      share.Share   // from which Allowed was computed
	ShareAge   time.Duration // since Share was read
}

// String returns one line for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("ratelimit: limit %s exceeded, retry after %v", r.Limit, r.RetryAfter)
}

// Shares provides the fraction of each limit that this instance may use.
// share.Table implements it.
type Shares interface {
	Share(key share.Key) share.Share
	SetDemand(key share.Key, demand share.Demand)
	Members() int
}

// Limiter enforces the limits of the callers of this instance. It keeps state only
// for active callers. It is safe for concurrent use. The times passed to it must not
// decrease from call to call.
type Limiter struct {
	shares Shares
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	callers map[callerKey]*caller
	random  *rand.Rand
}

type callerKey struct{ service, caller string }

// caller is the state of one caller at one service.
type caller struct {
	key         share.Key
	limits      catalog.Limits
	share       share.Share
	shareReadAt time.Time
	requests    bucket
	tokens      bucket
	inFlight    int
	lastRequest time.Time

	// The demand of the caller: all its requests, admitted or refused.
	requestDemand, tokenDemand rateEstimator
	peakInFlight               float64 // since the last Tick, of admitted and refused requests
	refusedSinceTick           int
}

// New returns a Limiter. The seed determines the jitter of RetryAfter.
func New(shares Shares, seed uint64) *Limiter {
	l := &Limiter{shares: shares}
	for i := range l.shards {
		l.shards[i].callers = make(map[callerKey]*caller)
		l.shards[i].random = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	return l
}

// Reservation is an admitted request. Exactly one of Done and Cancel must be
// called, once. On the zero value, which Admit returns for a caller without
// limits, they do nothing.
type Reservation struct {
	shard    *shard
	caller   *caller
	estimate int
}

// Admit charges a request to the limits of a caller, or refuses it.
// estimatedTokens is the expected number of tokens of prompt and response.
func (l *Limiter) Admit(now time.Time, service *catalog.Service, callerName string, estimatedTokens int) (Reservation, *Refusal) {
	limits := service.LimitsOf(callerName)
	if limits == (catalog.Limits{}) {
		return Reservation{}, nil
	}
	s := l.shardOf(service.Name, callerName)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callers[callerKey{service.Name, callerName}]
	if c == nil {
		c = l.newCaller(now, service.Name, callerName, limits)
		s.callers[callerKey{service.Name, callerName}] = c
	}
	c.limits = limits
	c.recordDemand(now, estimatedTokens)
	if kind, wait := c.exceededLimit(now, estimatedTokens); kind != "" {
		return Reservation{}, s.newRefusal(now, c, kind, wait)
	}
	c.requests.level--
	c.chargeTokens(estimatedTokens)
	c.refusedSinceTick--
	c.inFlight++
	return Reservation{shard: s, caller: c, estimate: estimatedTokens}, nil
}

func (l *Limiter) newCaller(now time.Time, service, callerName string, limits catalog.Limits) *caller {
	key := share.KeyOf(service, callerName)
	c := &caller{key: key, limits: limits, share: l.shares.Share(key), shareReadAt: now}
	c.requests = bucket{level: bucketSize(limits.RequestsPerSecond * c.share.Fraction), updatedAt: now}
	c.tokens = bucket{level: bucketSize(limits.TokensPerSecond * c.share.Fraction), updatedAt: now}
	return c
}

// recordDemand adds a request to the demand of the caller. The request counts as
// refused until Admit has admitted it.
func (c *caller) recordDemand(now time.Time, tokens int) {
	c.lastRequest = now
	c.requestDemand.add(now, 1)
	c.tokenDemand.add(now, float64(tokens))
	c.refusedSinceTick++
	c.peakInFlight = max(c.peakInFlight, float64(c.inFlight+c.refusedSinceTick))
}

// exceededLimit returns the limit that one more request would exceed and the time
// until the request would be within it, or "" if no limit is exceeded.
func (c *caller) exceededLimit(now time.Time, tokens int) (Kind, time.Duration) {
	if c.limits.InFlight > 0 && c.inFlight >= c.maxInFlight() {
		return InFlight, minRetryAfter
	}
	if perSecond := c.limits.RequestsPerSecond * c.share.Fraction; c.limits.RequestsPerSecond > 0 {
		if wait := c.requests.wait(now, perSecond, 1); wait > 0 {
			return Requests, wait
		}
	}
	if perSecond := c.limits.TokensPerSecond * c.share.Fraction; c.limits.TokensPerSecond > 0 {
		if wait := c.tokens.wait(now, perSecond, float64(tokens)); wait > 0 {
			return Tokens, wait
		}
	}
	return "", 0
}

// chargeTokens removes tokens from the bucket. Without a limit on tokens it does
// nothing, so that a limit that is configured later starts without a debt.
func (c *caller) chargeTokens(tokens int) {
	if c.limits.TokensPerSecond > 0 {
		c.tokens.level -= float64(tokens)
	}
}

// maxInFlight returns this instance's share of the limit on requests in flight.
func (c *caller) maxInFlight() int {
	return max(int(float64(c.limits.InFlight)*c.share.Fraction), 1)
}

func (s *shard) newRefusal(now time.Time, c *caller, kind Kind, wait time.Duration) *Refusal {
	retryAfter := min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps requests that were refused together from being retried together.
	retryAfter += time.Duration(s.random.Int64N(int64(retryAfter)/2 + 1))
	allowed, used := c.usage(kind)
	return &Refusal{
		Limit: kind, RetryAfter: retryAfter, Allowed: allowed, Used: used,
		Share: c.share, ShareAge: now.Sub(c.shareReadAt),
	}
}

// usage returns this instance's share of a limit and how much of it is used.
func (c *caller) usage(kind Kind) (allowed, used float64) {
	switch kind {
	case Requests:
		allowed = bucketSize(c.limits.RequestsPerSecond * c.share.Fraction)
		return allowed, allowed - c.requests.level
	case Tokens:
		allowed = bucketSize(c.limits.TokensPerSecond * c.share.Fraction)
		return allowed, allowed - c.tokens.level
	default:
		return float64(c.maxInFlight()), float64(c.inFlight)
	}
}

// Done ends a request that ran, and charges the difference between the actual and
// the estimated number of tokens.
func (r Reservation) Done(actualTokens int) {
	if r.caller == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.caller.inFlight--
	r.caller.chargeTokens(actualTokens - r.estimate)
}

// Cancel ends a request that did not run, and reverts its charges.
func (r Reservation) Cancel() {
	if r.caller == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.caller.inFlight--
	r.caller.requests.level++
	r.caller.chargeTokens(-r.estimate)
}

// Tick announces the demand of each caller, updates this instance's share of the
// caller's limits and drops the state of idle callers. It must be called about once
// a second.
func (l *Limiter) Tick(now time.Time) {
	equalShare := 1 / float64(max(l.shares.Members(), 1))
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for key, c := range s.callers {
			c.refill(now)
			demand := c.demand(now)
			if demand < minAnnouncedDemand*equalShare {
				demand = 0
			}
			if c.isIdle(now) {
				demand = 0
				delete(s.callers, key)
			}
			l.shares.SetDemand(c.key, share.NewDemand(demand))
			c.share, c.shareReadAt = l.shares.Share(c.key), now
		}
		s.mu.Unlock()
	}
}

// isIdle reports whether the state of the caller can be dropped. A caller with a
// token debt is kept, otherwise it would lose the debt by being idle.
func (c *caller) isIdle(now time.Time) bool {
	return c.inFlight == 0 && c.tokens.level >= 0 && now.Sub(c.lastRequest) > idleTimeout
}

// refill credits the time since the last refill at the present fraction. It is
// called before the fraction changes.
func (c *caller) refill(now time.Time) {
	c.requests.refill(now, c.limits.RequestsPerSecond*c.share.Fraction)
	c.tokens.refill(now, c.limits.TokensPerSecond*c.share.Fraction)
}

// demand returns the caller's demand at this instance as a fraction of its limits,
// the largest of the three, and resets the measurements since the last Tick.
func (c *caller) demand(now time.Time) float64 {
	demand := 0.0
	if c.limits.RequestsPerSecond > 0 {
		demand = max(demand, c.requestDemand.perSecond(now)/c.limits.RequestsPerSecond)
	}
	if c.limits.TokensPerSecond > 0 {
		demand = max(demand, c.tokenDemand.perSecond(now)/c.limits.TokensPerSecond)
	}
	if c.limits.InFlight > 0 {
		demand = max(demand, c.peakInFlight/float64(c.limits.InFlight))
	}
	c.peakInFlight, c.refusedSinceTick = float64(c.inFlight), 0
	return demand
}

// Callers returns the number of callers whose state is kept.
func (l *Limiter) Callers() int {
	total := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		total += len(s.callers)
		s.mu.Unlock()
	}
	return total
}

// shardOf returns the shard of a caller by the FNV-1a hash of service and name.
func (l *Limiter) shardOf(service, callerName string) *shard {
	var h uint32 = 2166136261
	for _, text := range [...]string{service, callerName} {
		for i := range len(text) {
			h = (h ^ uint32(text[i])) * 16777619
		}
	}
	return &l.shards[h%shardCount]
}

// bucketSize returns the capacity of a bucket: BurstTime at the given rate, and at
// least 1, so that a request can pass at any rate.
func bucketSize(perSecond float64) float64 { return max(perSecond*BurstTime.Seconds(), 1) }

// bucket is a token bucket. Its level is negative after a charge beyond it.
type bucket struct {
	level     float64
	updatedAt time.Time
}

func (b *bucket) refill(now time.Time, perSecond float64) {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.level = min(b.level+elapsed*perSecond, bucketSize(perSecond))
}

// wait returns the time until the bucket holds amount, or until it is full if
// amount exceeds its size. It returns 0 if that is the case now.
func (b *bucket) wait(now time.Time, perSecond, amount float64) time.Duration {
	b.refill(now, perSecond)
	shortfall := min(amount, bucketSize(perSecond)) - b.level
	if shortfall <= 0 {
		return 0
	}
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min(shortfall/perSecond, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), time.Nanosecond)
}

// rateEstimator measures a rate with exponential decay.
type rateEstimator struct {
	sum       float64
	updatedAt time.Time
}

func (r *rateEstimator) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 && r.sum > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	}
	r.updatedAt = now
}

func (r *rateEstimator) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *rateEstimator) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / demandTimeConstant.Seconds()
}
