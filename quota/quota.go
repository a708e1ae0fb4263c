// Package quota bounds what all instances together admit for each organization. Every
// instance keeps one bucket for each organization that represents the whole deployment:
// it deducts its own charges at once, and those of others as they are reported. The
// package decides without I/O; package hosted carries the messages.
//
// What an instance has spent is reported as its recent spending: each charge counts in
// full at first and decays with the time constant decayTime. An instance that knows the
// recent spending of others deducts it from its bucket and replaces it, at the rate at
// which it decays, by a deduction for good. So a lost or repeated message, or a restart,
// falsifies nothing for longer than decayTime.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 120 * time.Millisecond
	// decayTime is long compared with the age of reports, so that a charge still counts
	// almost in full when it is first seen.
	decayTime = 2 * time.Second
	// fallTime limits how fast the known spending of others falls. A collector that has
	// just started knows only part of it. Refunds are known within this time.
	fallTime = 500 * time.Millisecond
	// regionTicks is the age of reports inside a region, in ticks, and deploymentTicks
	// that between regions.
	regionTicks     = 3
	deploymentTicks = 10
	// maxPause is the time between two calls of Tick after which the instance was
	// suspended. Its bucket is then empty, as the others have used the refill.
	maxPause = time.Second
	// settleTime is how long the bucket of an instance that has just started does not
	// gain from reports, which replace the assumption that others spend their entitlement.
	settleTime = 2 * time.Second
	// demandWeight is the weight of demand in the division of a quota. The rest is
	// divided by the number of instances.
	demandWeight = 0.7
	// minBurstTime is the least burst, as time at the rate.
	minBurstTime = 100 * time.Millisecond
	// surgeFactor is the ratio of the largest expected demand to the quota. If such a
	// demand stays within the margin until instances of a region know of each other, the
	// spending of single instances is not limited.
	surgeFactor = 8

	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Bounds are what the deployment permits beyond the quotas in each window.
type Bounds struct {
	Window time.Duration
	Excess float64 // fraction of rate times Window plus burst
	Margin float64 // units
}

// Reason is why a request is refused.
type Reason string

// The reasons of refusals.
const (
	Exhausted     Reason = "quota"          // the bucket of the deployment is empty
	UnseenRegion  Reason = "quota-region"   // this region has spent its part of what others do not know yet
	UnseenHere    Reason = "quota-instance" // this instance has spent its part of it
	LargerThanAll Reason = "quota-size"     // the request exceeds the burst and never has room
)

// Refusal reports that a request exceeds the quota of its organization.
type Refusal struct {
	Reason      Reason
	RetryAfter  time.Duration
	Rate, Burst float64
	Level       float64       // of the bucket, in units; negative if more was spent
	Cost        float64       // of the request
	Fraction    float64       // of the quota that is expected to be used here
	RegionAge   time.Duration // of the last report; negative if there is none
	RemoteAge   time.Duration // of the oldest report of another region; negative if there is none
}

// Limiter holds the buckets of all organizations. Its methods are safe for concurrent
// use.
type Limiter struct {
	bounds Bounds

	accounts atomic.Pointer[accountSet]

	mu        sync.Mutex // before that of an account
	started   time.Time
	unsettled time.Time // when too little was last known of others
	process   uint64    // identifies this Limiter in its reports
	ticked    time.Time
	listed    bool // the list of instances was not empty
	members   Members
	sources   map[sourceKey]*source
	counts    map[string]memberCount // by region; "" is the own one
	rotated   int                    // position of the next partial message
}

// accountSet is replaced as a whole.
type accountSet struct {
	byName map[string]*account
	byKey  map[uint64]*account
}

// account is the bucket of an organization.
type account struct {
	name string
	key  uint64

	mu       sync.Mutex
	quota    catalog.Quota
	slack    float64 // what may be admitted beyond rate times window plus burst
	at       time.Time
	settled  time.Time // end of settleTime
	settling bool      // settled was not over at the last tick
	filling  bool      // false until the list of instances is known

	// base is the level before the recent spending of others is deducted.
	base           float64
	own            float64 // recent spending of this instance, decayed at ticks
	region, remote float64 // recent spending of others in this region, and in other regions

	unseen        [regionTicks + 1]float64 // own charges by tick, the current one first
	largest       float64                  // cost of the largest recent request
	ownHistory    [regionTicks]float64     // own at the last ticks, latest first
	regionHistory [deploymentTicks]float64 // own plus region at the last ticks, latest first
	falls         [deploymentTicks]float64 // of region beyond its decay, at the last ticks
	regionSeen    float64                  // what is left of own plus region without unseen charges

	silentPart            float64 // of the quota; see view
	regionShare, ownShare float64 // of the deployment's spending, and of the region's
	regions, instances    int

	regionAge, remoteAge time.Duration
	returnAt             time.Time // when the last refused request was told to return
	spent                float64   // units charged here, for metrics
	refused              uint64
}

// New returns a Limiter without organizations.
func New(now time.Time, bounds Bounds) *Limiter {
	l := &Limiter{bounds: bounds, started: now, unsettled: now, process: rand.Uint64(), ticked: now, sources: make(map[sourceKey]*source), counts: make(map[string]memberCount), members: Members{Own: 1}}
	l.accounts.Store(&accountSet{})
	return l
}

// keyOf identifies an organization in messages.
func keyOf(name string) uint64 { return xxhash.Sum64String(name) }

// Configure sets the organizations and their quotas; nil means none. A new organization
// starts with an empty bucket, and a lower burst cuts the level at once.
func (l *Limiter) Configure(now time.Time, organizations *catalog.Organizations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.accounts.Load()
	set := &accountSet{byName: make(map[string]*account), byKey: make(map[uint64]*account)}
	if organizations != nil {
		for organization := range organizations.All {
			if !organization.Quota.Limited() {
				continue
			}
			a := old.byName[organization.Name]
			if a == nil {
				a = l.newAccount(now, organization.Name)
			}
			a.mu.Lock()
			a.advance(now)
			a.quota = organization.Quota
			a.quota.Burst = max(a.quota.Burst, a.quota.Rate*minBurstTime.Seconds())
			a.slack = l.bounds.Excess*(a.quota.Rate*l.bounds.Window.Seconds()+organization.Quota.Burst) + l.bounds.Margin
			a.cap()
			a.mu.Unlock()
			set.byName[a.name], set.byKey[a.key] = a, a
		}
	}
	l.accounts.Store(set)
	l.update(now, 0)
}

func (l *Limiter) newAccount(now time.Time, name string) *account {
	return &account{
		name: name, key: keyOf(name), at: now, settled: now.Add(settleTime),
		regionShare: l.members.regionPart(), ownShare: 1 / float64(max(l.members.Own, 1)),
	}
}

// Reservation is a charge that can be refunded.
type Reservation struct {
	account *account
	cost    float64
}

// Charge charges a request to the quota of an organization, or refuses it. The
// organization's name selects the bucket; the quota in force is the configured one.
func (l *Limiter) Charge(now time.Time, organization *catalog.Organization, cost float64) (Reservation, *Refusal) {
	if organization == nil {
		return Reservation{}, nil
	}
	a := l.accounts.Load().byName[organization.Name]
	if a == nil {
		return Reservation{}, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if reason := a.check(cost); reason != "" {
		return Reservation{}, a.refuse(now, cost, reason)
	}
	a.spend(cost)
	return Reservation{a, cost}, nil
}

// Cancel refunds the charge of a request that has not run.
func (r Reservation) Cancel() {
	if r.account == nil {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spend(-r.cost)
	a.cap()
}

func (a *account) spend(cost float64) {
	a.base -= cost
	a.own += cost
	a.spent += cost
	a.unseen[0] += cost
	a.largest = max(a.largest, cost)
}

// level returns what is in the bucket, as far as this instance knows.
func (a *account) level() float64 { return a.base - a.region - a.remote }

// cap cuts the level at the part of the burst that silent instances may not use.
func (a *account) cap() {
	a.base = min(a.base, a.quota.Burst*(1-a.silentPart)+a.region+a.remote)
}

// advance fills the bucket up to now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	if !a.filling {
		return
	}
	if elapsed > maxPause {
		a.base = min(a.base, a.region+a.remote)
		a.settled = now.Add(settleTime)
		a.cap()
		return
	}
	a.base += (a.quota.Rate - (a.region+a.remote)/decayTime.Seconds()) * elapsed.Seconds()
	a.cap()
}

// check returns why a request of the given cost is refused, or "".
func (a *account) check(cost float64) Reason {
	level := a.level()
	switch {
	case cost > a.quota.Burst+a.slack/4:
		return LargerThanAll
	case level <= -a.reserve() || cost > level+a.overdraft(cost):
		return Exhausted
	case cost > level && a.at.Before(a.settled):
		// Many instances may have started at once, and each one knows only of itself.
		return Exhausted
	}
	left := level + a.reserve()
	if a.regions > 1 {
		unseen := a.unseenOfRegion()
		left = min(left, a.regionShare*(left+unseen)+a.regionSlack(level)-unseen)
		if unseen > 0 && left <= 0 {
			return UnseenRegion
		}
	}
	if unseen := a.unseenHere(); unseen > 0 && unseen+cost > a.ownShare*(max(left, 0)+unseen)+a.ownSlack(level, cost) {
		return UnseenHere
	}
	return ""
}

// small reports whether the margin covers any expected demand until the instances of a
// region know of it.
func (a *account) small() bool {
	return surgeFactor*a.quota.Rate*(regionTicks*TickInterval).Seconds() <= 0.65*a.slack
}

// overdraft is how much more than the level a request may cost. The level deviates from
// the true one, for an organization with few requests by more of one request's cost.
func (a *account) overdraft(cost float64) float64 {
	if a.small() {
		return a.reserve() + a.slack/4
	}
	if a.stale() {
		return 0
	}
	return min(a.slack/4, cost/2)
}

// reserve is how much the level of a small organization may be below 0. Each of its
// requests is a large part of the bucket, so that two that all instances do not know at
// the same time make the level negative at some.
func (a *account) reserve() float64 {
	if !a.small() || a.at.Before(a.settled) {
		return 0
	}
	return a.slack / 5
}

// stale reports whether the last report of this region is older than the rules on unseen
// spending assume.
func (a *account) stale() bool { return a.regionAge > regionTicks*TickInterval }

// unseenHere returns the charges that the other instances of the region may not know.
func (a *account) unseenHere() (sum float64) {
	for _, units := range a.unseen {
		sum += units
	}
	return max(sum, 0)
}

// unseenOfRegion returns the charges of this region that other regions may not know.
func (a *account) unseenOfRegion() float64 { return max(a.own+a.region-a.regionSeen, 0) }

// regionSlack is what the region may spend unseen beyond its share of the bucket. It is
// lower when the bucket is nearly empty, as the instances of the region then exceed it by
// what they do not know of each other.
func (a *account) regionSlack(level float64) float64 {
	if a.small() {
		return 0.65 * a.slack / float64(a.regions)
	}
	return (0.35 + 0.3*min(1, 2*level/a.quota.Burst)) * a.slack / float64(a.regions)
}

// ownSlack is what this instance may spend unseen beyond its share of the bucket. With a
// full bucket, it is more than one request: callers choose instances at random, so that
// some get several requests at a time. All instances together cannot get as many. A small
// request has as much room as a large one, or it would be refused after one.
func (a *account) ownSlack(level, cost float64) float64 {
	cost = max(cost, a.largest)
	slack := a.slack / 10 / float64(max(a.instances, 1))
	switch {
	case a.small():
		return max(slack, a.slack/4)
	case a.stale():
		return slack
	}
	usual := a.quota.Rate * (regionTicks * TickInterval).Seconds() / float64(max(a.instances, 1)) / cost
	return slack + cost*(4+4*math.Sqrt(usual))*min(1, level/a.quota.Burst)
}

// refuse returns a refusal. It takes a place in the schedule of this instance's part of
// the refill; the place lapses if it is not used.
func (a *account) refuse(now time.Time, cost float64, reason Reason) *Refusal {
	a.refused++
	fraction := a.regionShare * a.ownShare
	refill := a.quota.Rate * max(fraction, 1e-3)
	net := max(a.quota.Rate-(a.region+a.remote)/decayTime.Seconds(), refill)
	wait := time.Duration(float64(regionTicks) * float64(TickInterval))
	if reason == Exhausted {
		wait = seconds(max(min(cost, a.quota.Burst)-a.level(), 0) / net)
	}
	at := now.Add(wait)
	if next := a.returnAt.Add(seconds(cost / refill)); next.After(at) && !a.returnAt.Before(now) {
		at = next
	}
	a.returnAt = at
	// Instances that refuse at the same time tell different times.
	wait = at.Sub(now) + seconds(rand.Float64()*min(cost/a.quota.Rate, 1)) + rand.N(minRetryAfter)
	if reason == LargerThanAll || wait > maxRetryAfter {
		wait = maxRetryAfter - rand.N(maxRetryAfter/4)
		a.returnAt = now.Add(maxRetryAfter)
	}
	return &Refusal{
		Reason: reason, RetryAfter: max(wait, minRetryAfter), Rate: a.quota.Rate, Burst: a.quota.Burst, Level: a.level(), Cost: cost,
		Fraction: fraction, RegionAge: a.regionAge, RemoteAge: a.remoteAge,
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
