package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// regionTTL is the age at which a report inside a region does not count any more. It
	// allows for three lost ones.
	regionTTL = 5 * TickInterval
	// remoteTTL is the same between regions, where one is exchanged every 500 ms.
	remoteTTL = 1800 * time.Millisecond
	// warmupTime is how long a collector that has just started does not speak for its
	// members, whose reports it may not have yet.
	warmupTime = 2 * TickInterval
	// memory is how long the last report of an instance is kept. If a new process of the
	// instance follows within that time, what the last one has spent still counts.
	memory = 5 * decayTime
	// memberRetention is how long instances that are not listed any more still count, and
	// regionRetention the same for a region without any. The list loses instances that are
	// cut off but serve their callers.
	memberRetention = time.Minute
	regionRetention = 5 * time.Minute
	// driftTime is the time constant with which the part of a silent region changes from
	// that by demand to that by the number of its instances, on both sides. The demand may
	// have moved, as when the region is lost at its peak.
	driftTime = 5 * time.Second
	// startCredit is the part of the assumed spending of other regions that does not lower
	// the level of a bucket that has just begun to fill. With all of it, a flood after the
	// restart of all instances exceeds the bound by 0.7%.
	startCredit = 0.75
	// maxSources bounds the instances and regions whose reports are kept.
	maxSources = 1 << 10
)

// Members are the numbers of instances that the list of instances shows.
type Members struct {
	Own    int            // of this region, this one included
	Others map[string]int // of other regions, by region
}

func (m *Members) total() int {
	sum := m.Own
	for _, count := range m.Others {
		sum += count
	}
	return max(sum, 1)
}

func (m *Members) regionPart() float64 { return m.part(m.Own) }

func (m *Members) part(instances int) float64 { return float64(instances) / float64(m.total()) }

// memberCount is the number of instances of a region that counts.
type memberCount struct {
	count int
	at    time.Time // when the list last showed as many
}

// retain returns members with instances that are not listed any more: they may be cut
// off, and spend their entitlement.
func (l *Limiter) retain(now time.Time, listed Members) Members {
	kept := Members{Own: max(l.retainCount(now, "", listed.Own), 1), Others: make(map[string]int)}
	for region, count := range listed.Others {
		kept.Others[region] = l.retainCount(now, region, count)
	}
	for region := range l.counts {
		if _, known := kept.Others[region]; region != "" && !known {
			if count := l.retainCount(now, region, 0); count > 0 {
				kept.Others[region] = count
			} else {
				delete(l.counts, region)
			}
		}
	}
	return kept
}

func (l *Limiter) retainCount(now time.Time, region string, listed int) int {
	kept := l.counts[region]
	retention := memberRetention
	if listed == 0 {
		retention = regionRetention
	}
	if listed >= kept.count || now.Sub(kept.at) > retention {
		l.counts[region] = memberCount{listed, now}
		return listed
	}
	return kept.count
}

// Role is what the sender of a report is to the receiver.
type Role string

// The roles of senders.
const (
	Member    Role = "member"    // an instance of the collector's cell
	Collector Role = "collector" // another collector of the region
	Upstream  Role = "upstream"  // the collector of an instance that is none
	Remote    Role = "remote"    // another region
)

func (r Role) ttl() time.Duration {
	if r == Remote {
		return remoteTTL
	}
	return regionTTL
}

type sourceKey struct {
	role  Role
	id    string
	ended bool
}

// source is the last report of an instance or a region.
type source struct {
	at           time.Time
	process      uint64
	ended        bool // of processes that have ended; it decays
	covered      int
	remoteSilent float64 // part of quotas of regions that are silent for the sender
	settled      bool
	spending     map[uint64]Spending
	parts        map[uint64]float64 // of quotas, for a region; kept while it is silent
}

func (s *source) silent(now time.Time, role Role) bool {
	switch {
	case s == nil:
		return true
	case s.ended:
		return false
	default:
		return now.Sub(s.at) > role.ttl()
	}
}

// expired reports whether a source need not be kept.
func (s *source) expired(now time.Time) bool { return now.Sub(s.at) > memory }

// weight is the part of the spending that counts.
func (s *source) weight(now time.Time) float64 {
	if !s.ended {
		return 1
	}
	return math.Exp(-max(now.Sub(s.at), 0).Seconds() / decayTime.Seconds())
}

// Merge stores a report that was sent age ago. id is that of the instance, or of the region
// with the role Remote. An organization that is missing in a partial report decays.
func (l *Limiter) Merge(now time.Time, age time.Duration, role Role, id string, message *Message) {
	if message == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := sourceKey{role: role, id: id}
	if role == Upstream {
		key.id = "" // a new collector replaces the last one
	}
	old := l.sources[key]
	if old == nil && len(l.sources) >= maxSources {
		return
	}
	spending := message.Spending
	if spending == nil {
		spending = make(map[uint64]Spending)
	}
	s := &source{at: now.Add(-max(age, 0)), process: message.Process, covered: message.Covered, remoteSilent: message.Silent, settled: message.Settled, spending: spending}
	if old != nil {
		if message.Partial {
			decay := math.Exp(-max(now.Sub(old.at), 0).Seconds() / decayTime.Seconds())
			for k, value := range old.spending {
				if _, listed := spending[k]; !listed {
					spending[k] = Spending{value.Region * decay, value.Remote * decay}
				}
			}
		}
		s.parts = old.parts
		if old.process != s.process && (role == Member || role == Collector) {
			l.keepEnded(now, key, old, s)
		}
	}
	if role == Remote {
		l.recordParts(s, id)
	}
	l.sources[key] = s
}

// keepEnded keeps the spending that a new process of a source does not report, as its
// predecessor did.
func (l *Limiter) keepEnded(now time.Time, key sourceKey, old, current *source) {
	key.ended = true
	ended := &source{at: now, ended: true, spending: make(map[uint64]Spending)}
	decay := math.Exp(-max(now.Sub(old.at), 0).Seconds() / decayTime.Seconds())
	for k, value := range old.spending {
		if lost := value.Region*decay - current.spending[k].Region; lost > minReported {
			ended.spending[k] = Spending{Region: lost}
		}
	}
	if last := l.sources[key]; last != nil {
		weight := last.weight(now)
		for k, value := range last.spending {
			ended.spending[k] = Spending{Region: ended.spending[k].Region + value.Region*weight}
		}
	}
	l.sources[key] = ended
}

// recordParts records the part of each quota that a region uses by demand, which counts
// as its spending when it is silent.
func (l *Limiter) recordParts(s *source, region string) {
	equal := l.members.part(l.members.Others[region])
	if s.parts == nil {
		s.parts = make(map[uint64]float64)
	}
	for key, a := range l.accounts.Load().byKey {
		a.mu.Lock()
		total := a.regionHistory[deploymentTicks-1] + a.remote
		a.mu.Unlock()
		s.parts[key] = part(s.spending[key].Region, total, equal)
	}
}

// part returns the part of a quota that belongs to a spending out of a total.
func part(spending, total, equal float64) float64 {
	if total < 1 {
		return equal
	}
	return demandWeight*min(max(spending/total, 0), 1) + (1-demandWeight)*equal
}

// Tick updates all buckets; it must be called every TickInterval.
func (l *Limiter) Tick(now time.Time, members Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = l.retain(now, members)
	maps.DeleteFunc(l.sources, func(key sourceKey, s *source) bool {
		if key.role == Remote {
			return l.members.Others[key.id] == 0
		}
		return s.expired(now)
	})
	elapsed := now.Sub(l.ticked)
	l.ticked, l.listed = now, l.listed || members.Own > 0
	l.update(now, elapsed)
}

// update recalculates what others spend.
func (l *Limiter) update(now time.Time, elapsed time.Duration) {
	view := l.view(now)
	if view.silent || elapsed > maxPause {
		l.unsettled = now
	}
	for key, a := range l.accounts.Load().byKey {
		a.mu.Lock()
		a.update(now, elapsed, &l.members, view, view.of(a, key))
		a.mu.Unlock()
	}
}

// view is what is known of others at a time.
type view struct {
	now     time.Time
	members *Members
	missing int  // instances of the region from which nothing is known
	listed  bool // the list has shown instances of the region
	silent  bool
	// silentPart is the part of the instances that are silent. What was in a bucket is
	// divided among the sides of a cut, as none learns what the other one spends.
	silentPart           float64
	remoteSilent         float64 // part of the instances in other regions that are silent
	upstream             *source
	region               []*source // that report on instances of the region
	remote               map[string]*source
	regionAge, remoteAge time.Duration
}

func (l *Limiter) view(now time.Time) *view {
	v := &view{now: now, members: &l.members, listed: l.listed, remote: make(map[string]*source), regionAge: -1, remoteAge: -1}
	covered := 0
	for key, s := range l.sources {
		if key.role == Remote {
			v.remote[key.id] = s
			v.remoteAge = max(v.remoteAge, now.Sub(s.at))
			continue
		}
		if s.silent(now, key.role) {
			continue
		}
		if key.role == Upstream {
			v.upstream = s
		}
		v.region = append(v.region, s)
		v.regionAge = max(v.regionAge, now.Sub(s.at))
		covered += s.covered
	}
	if v.upstream != nil {
		// What a former member of a cell receives covers the region.
		v.region, covered = []*source{v.upstream}, v.upstream.covered
	}
	v.missing = max(l.members.Own-1-covered, 0)
	v.silent = 2*v.missing > l.members.Own
	v.silentPart = l.members.part(v.missing)
	if v.upstream != nil {
		v.silentPart += v.upstream.remoteSilent
		return v
	}
	v.remoteSilent = l.members.remoteSilent(now, v.remote)
	v.silentPart += v.remoteSilent
	v.silent = v.silent || v.remoteSilent > 0
	return v
}

// remoteSilent returns the part of the instances that is in silent regions.
func (m *Members) remoteSilent(now time.Time, remote map[string]*source) (sum float64) {
	for region, instances := range m.Others {
		if remote[region].silent(now, Remote) {
			sum += m.part(instances)
		}
	}
	return sum
}

// of returns the recent spending of others that counts for an account.
func (v *view) of(a *account, key uint64) Spending {
	var sum Spending
	for _, s := range v.region {
		sum.Region += s.spending[key].Region * s.weight(v.now)
	}
	entitlement := a.quota.Rate * decayTime.Seconds()
	if v.missing > 0 {
		sum.Region += entitlement * a.regionShare * float64(v.missing) / float64(max(v.members.Own, 1))
	}
	if v.upstream != nil {
		sum.Remote = v.upstream.spending[key].Remote
		return sum
	}
	for region, instances := range v.members.Others {
		s := v.remote[region]
		if !s.silent(v.now, Remote) {
			sum.Remote += s.spending[key].Region
			continue
		}
		fraction := v.members.part(instances)
		if s != nil {
			if recorded, known := s.parts[key]; known {
				fraction += (recorded - fraction) * math.Exp(-v.now.Sub(s.at).Seconds()/driftTime.Seconds())
			}
		}
		sum.Remote += entitlement * fraction
	}
	if len(v.remote) == 0 && len(v.members.Others) > 0 {
		sum.Remote = entitlement * (1 - a.regionShare) // a member without its collector
	}
	return sum
}

// update applies the recent spending of others, and keeps the history by which
// unseen spending is measured.
func (a *account) update(now time.Time, elapsed time.Duration, members *Members, v *view, others Spending) {
	a.advance(now)
	decay := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	before := a.region
	if settling := now.Before(a.settled); settling || a.settling {
		a.settle(v, others, decay, settling)
		a.settling = settling
	} else {
		fall := math.Exp(-elapsed.Seconds() / fallTime.Seconds())
		a.region, a.remote = max(others.Region, a.region*fall), max(others.Remote, a.remote*fall)
	}
	if level := a.level(); level > 0 && v.silentPart > a.silentPart && a.silentPart < 1 {
		a.base -= level * (v.silentPart - a.silentPart) / (1 - a.silentPart)
	}
	a.silentPart = v.silentPart
	a.filling = v.listed
	a.regions, a.instances = len(members.Others)+1, members.total()
	a.regionAge, a.remoteAge = v.regionAge, v.remoteAge
	if elapsed <= 0 {
		return
	}
	// New charges have decayed for half of the time on average.
	fresh := a.unseen[0]
	a.largest *= decay
	a.own = (a.own-fresh)*decay + fresh*math.Sqrt(decay)
	copy(a.unseen[1:], a.unseen[:])
	a.unseen[0] = 0
	copy(a.falls[1:], a.falls[:])
	a.falls[0] = max(before*decay-a.region, 0)
	copy(a.regionHistory[1:], a.regionHistory[:])
	a.regionHistory[0] = a.own + a.region
	copy(a.ownHistory[1:], a.ownHistory[:])
	a.ownHistory[0] = a.own
	// The charges of a tick are the rise of recent spending plus its decay.
	a.regionSeen = a.regionHistory[deploymentTicks-1]
	for k, units := range a.regionHistory {
		a.regionSeen -= units*(1-decay) + a.falls[k]
	}
	if v.silent {
		a.regionShare += (members.regionPart() - a.regionShare) * (1 - math.Exp(-elapsed.Seconds()/driftTime.Seconds()))
		return
	}
	// Own spending counts as others know it, so that the shares add up to one.
	seen := a.regionHistory[deploymentTicks-1]
	a.regionShare = part(seen, seen+a.remote, members.regionPart())
	own := a.ownHistory[regionTicks-1]
	a.ownShare = part(own, own+a.region, 1/float64(max(members.Own, 1)))
}

// settle applies the recent spending of others to a bucket that has just begun to fill.
// A report that replaces an assumption does not raise its level, and an assumption does
// not lower it. Usual decay is balanced by deductions from base. Until an instance that
// runs for longer reports, other regions count as spending their entitlement.
func (a *account) settle(v *view, others Spending, decay float64, assume bool) {
	switch {
	case !assume:
	case v.silent:
		a.settled = v.now.Add(settleTime)
	case v.upstream != nil && v.upstream.settled:
		a.settled = v.now
	default:
		others.Remote = max(others.Remote, a.quota.Rate*decayTime.Seconds()*(1-a.regionShare))
	}
	change := others.Region + others.Remote - (a.region+a.remote)*decay
	switch {
	case v.silent || change < 0:
		a.base += change
	case assume:
		// The bucket began empty: most of the assumption that other regions spend their
		// entitlement does not lower its level.
		a.base += startCredit * max(others.Remote-a.remote, 0)
	}
	a.region, a.remote = others.Region, others.Remote
}
