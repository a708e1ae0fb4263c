// Package ratelimit holds callers to their limits of requests a second, tokens
// a second and requests in flight. The limits hold over all instances of a
// region: each instance enforces its part, which a share.Table moves with
// demand. No decision waits for another instance or for the store.
//
// Over any time T, all instances together admit at most the limit times T,
// plus a burst of BurstTime, plus one request for each instance. In flight,
// each instance permits at least one request, so that a limit below the number
// of instances is exceeded by at most that number.
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
	// BurstTime is the time for which a caller may save up an unused rate.
	BurstTime = time.Second
	// demandTime is the time constant of a caller's measured demand.
	demandTime = 5 * time.Second
	// idleTime is the time after which the state of a caller is dropped.
	idleTime = 30 * time.Second
	// quiet is the part of an equal part up to which demand is not announced:
	// what a member never gives away covers it.
	quiet         = 0.2
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	shardCount    = 16
)

// Kind names a limit.
type Kind string

// The limits of a caller.
const (
	Requests Kind = "requests_per_second"
	Tokens   Kind = "tokens_per_second"
	InFlight Kind = "in_flight"
)

// Refusal says which limit a request exceeds. The request has not run.
type Refusal struct {
	Limit      Kind
	RetryAfter time.Duration
}

// String returns one line for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("ratelimit: %s, retry after %v", r.Limit, r.RetryAfter)
}

// Shares tells which part of a limit this instance may use. share.Table
// implements it.
type Shares interface {
	Fraction(key share.Key) float64
	SetDemand(key share.Key, demand share.Demand)
	Members() int
}

// Limiter holds the state of the callers that are active at this instance. It
// is safe for concurrent use. Time must not go backwards between calls.
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
	key      share.Key
	limits   catalog.Limits
	fraction float64
	requests bucket
	tokens   bucket
	inFlight int
	last     time.Time // of the last request

	// What the caller asks for, admitted or not.
	wantRequests, wantTokens rate
	wantInFlight             float64 // highest since the last Tick
	refused                  int     // since the last Tick
}

// New returns a Limiter. The seed is for the jitter of RetryAfter.
func New(shares Shares, seed uint64) *Limiter {
	l := &Limiter{shares: shares}
	for i := range l.shards {
		l.shards[i].callers = make(map[callerKey]*caller)
		l.shards[i].random = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	return l
}

// Use is an admitted request. It must end by Done or Cancel, once.
type Use struct {
	shard    *shard
	caller   *caller
	estimate int
}

// Admit charges a request of a caller, or refuses it. tokens is the estimate of
// prompt and answer.
func (l *Limiter) Admit(now time.Time, service *catalog.Service, name string, tokens int) (Use, *Refusal) {
	limits := service.LimitsOf(name)
	if limits == (catalog.Limits{}) {
		return Use{}, nil
	}
	s := l.shardOf(service.Name, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callers[callerKey{service.Name, name}]
	if c == nil {
		c = l.newCaller(now, service.Name, name, limits)
		s.callers[callerKey{service.Name, name}] = c
	}
	c.limits = limits
	c.want(now, tokens)
	if kind, wait := c.refuse(now, tokens); kind != "" {
		return Use{}, s.refusal(kind, wait)
	}
	c.requests.level--
	c.charge(tokens)
	c.refused--
	c.inFlight++
	return Use{shard: s, caller: c, estimate: tokens}, nil
}

func (l *Limiter) newCaller(now time.Time, service, name string, limits catalog.Limits) *caller {
	key := share.KeyOf(service, name)
	c := &caller{key: key, limits: limits, fraction: l.shares.Fraction(key)}
	c.requests = bucket{level: burst(limits.RequestsPerSecond * c.fraction), at: now}
	c.tokens = bucket{level: burst(limits.TokensPerSecond * c.fraction), at: now}
	return c
}

// want records what the caller asks for.
func (c *caller) want(now time.Time, tokens int) {
	c.last = now
	c.wantRequests.add(now, 1)
	c.wantTokens.add(now, float64(tokens))
	c.refused++
	c.wantInFlight = max(c.wantInFlight, float64(c.inFlight+c.refused))
}

// refuse returns the limit that another request exceeds and the time until it
// would not, or "".
func (c *caller) refuse(now time.Time, tokens int) (Kind, time.Duration) {
	if c.limits.InFlight > 0 && c.inFlight >= c.slots() {
		return InFlight, minRetryAfter
	}
	if perSecond := c.limits.RequestsPerSecond * c.fraction; c.limits.RequestsPerSecond > 0 {
		if wait := c.requests.wait(now, perSecond, 1); wait > 0 {
			return Requests, wait
		}
	}
	if perSecond := c.limits.TokensPerSecond * c.fraction; c.limits.TokensPerSecond > 0 {
		if wait := c.tokens.wait(now, perSecond, float64(tokens)); wait > 0 {
			return Tokens, wait
		}
	}
	return "", 0
}

// charge takes tokens. Without a limit nothing is owed, also not to one that is
// configured later.
func (c *caller) charge(tokens int) {
	if c.limits.TokensPerSecond > 0 {
		c.tokens.level -= float64(tokens)
	}
}

// slots returns this instance's part of the requests in flight.
func (c *caller) slots() int {
	return max(int(float64(c.limits.InFlight)*c.fraction), 1)
}

func (s *shard) refusal(kind Kind, wait time.Duration) *Refusal {
	retry := min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps callers refused together from returning together.
	retry += time.Duration(s.random.Int64N(int64(retry)/2 + 1))
	return &Refusal{Limit: kind, RetryAfter: retry}
}

// Done ends a request that took tokens in truth, and charges the difference to
// the estimate.
func (u Use) Done(tokens int) {
	if u.caller == nil {
		return
	}
	u.shard.mu.Lock()
	defer u.shard.mu.Unlock()
	u.caller.inFlight--
	u.caller.charge(tokens - u.estimate)
}

// Cancel ends a request that did not run: it is not charged.
func (u Use) Cancel() {
	if u.caller == nil {
		return
	}
	u.shard.mu.Lock()
	defer u.shard.mu.Unlock()
	u.caller.inFlight--
	u.caller.requests.level++
	u.caller.charge(-u.estimate)
}

// Tick announces the demand of the callers, takes over their parts and drops
// the state of idle ones. It is called about once a second.
func (l *Limiter) Tick(now time.Time) {
	equal := 1 / float64(max(l.shares.Members(), 1))
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for key, c := range s.callers {
			c.refill(now)
			demand := c.demand(now)
			if demand < quiet*equal {
				demand = 0
			}
			if c.idle(now) {
				demand = 0
				delete(s.callers, key)
			}
			l.shares.SetDemand(c.key, share.NewDemand(demand))
			c.fraction = l.shares.Fraction(c.key)
		}
		s.mu.Unlock()
	}
}

// idle reports whether nothing is lost with the state of the caller. A caller
// that owes tokens is kept, or it could shed the debt by waiting.
func (c *caller) idle(now time.Time) bool {
	return c.inFlight == 0 && c.tokens.level >= 0 && now.Sub(c.last) > idleTime
}

// refill credits the time at the old part before it changes.
func (c *caller) refill(now time.Time) {
	c.requests.refill(now, c.limits.RequestsPerSecond*c.fraction)
	c.tokens.refill(now, c.limits.TokensPerSecond*c.fraction)
}

// demand returns the part of the limits that the caller asks for here: the
// largest of the three.
func (c *caller) demand(now time.Time) float64 {
	demand := 0.0
	if c.limits.RequestsPerSecond > 0 {
		demand = max(demand, c.wantRequests.perSecond(now)/c.limits.RequestsPerSecond)
	}
	if c.limits.TokensPerSecond > 0 {
		demand = max(demand, c.wantTokens.perSecond(now)/c.limits.TokensPerSecond)
	}
	if c.limits.InFlight > 0 {
		demand = max(demand, c.wantInFlight/float64(c.limits.InFlight))
	}
	c.wantInFlight, c.refused = float64(c.inFlight), 0
	return demand
}

// Callers returns the number of callers that state is kept of.
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

func (l *Limiter) shardOf(service, name string) *shard {
	var h uint32 = 2166136261
	for _, text := range [...]string{service, name} {
		for i := range len(text) {
			h = (h ^ uint32(text[i])) * 16777619
		}
	}
	return &l.shards[h%shardCount]
}

// burst returns the most that a bucket holds; at least one request.
func burst(perSecond float64) float64 { return max(perSecond*BurstTime.Seconds(), 1) }

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, perSecond float64) {
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.level = min(b.level+elapsed*perSecond, burst(perSecond))
}

// wait returns the time until the bucket holds amount, or is full if amount
// exceeds it; 0 if it does now.
func (b *bucket) wait(now time.Time, perSecond, amount float64) time.Duration {
	b.refill(now, perSecond)
	missing := min(amount, burst(perSecond)) - b.level
	if missing <= 0 {
		return 0
	}
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min(missing/perSecond, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), time.Nanosecond)
}

// rate measures a rate with exponential decay.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 && r.sum > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	}
	r.at = now
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / demandTime.Seconds()
}
