// Package capacity learns how many concurrent requests a backend server answers well. It
// does no I/O and reads no clock.
//
// An Estimator receives a sample for each answer, and for parts of long answers: the
// number of requests on the server, and the observed time as a fraction of the permitted
// one. While answers miss their target or pause for too long, and fewer requests are
// answered better, the limit is reduced. It then returns to the nominal slots by itself
// along a cubic curve, which is flat near the concurrency that was too high. As the curve
// depends on time alone, instances that share a server need to exchange reductions only.
package capacity

import (
	"math"
	"sync"
	"time"
)

const (
	// recoveryTime is the time in which a reduced limit returns to the concurrency that
	// was too high. Without further misses it returns to twice the reduction in twice,
	// and to the nominal slots in about three times this time.
	recoveryTime = 3 * time.Second
	// minRecoveryFraction is the least reduction, as a fraction of the nominal slots, by
	// which the speed of recovery is computed.
	minRecoveryFraction = 0.1
	// settleTime is how long a reduction takes to be known to other instances and to
	// show in answers. Samples that began earlier say nothing about it.
	settleTime = 600 * time.Millisecond
	// window is the time constant of the evidence.
	window = 2 * time.Second
	// minMisses and minMissFraction are the late answers within the window that are
	// evidence against the limit. A single late answer is none.
	minMisses       = 2.5
	minMissFraction = 0.1
	// minFactor and maxFactor bound one reduction.
	minFactor, maxFactor = 0.6, 0.85
	// nearLimit is the fraction of the limit from which on a limit is reduced although it
	// is not known yet whether fewer requests are answered better.
	nearLimit = 0.75
	// minElasticity is the least relative rise of the observed times with the relative
	// number of requests that counts as worse answers at a higher concurrency.
	minElasticity = 0.15
	// minSpread is the least coefficient of variation of the concurrency, and
	// minGradientSamples the least number of samples, from which on the elasticity counts
	// as known.
	minSpread          = 0.1
	minGradientSamples = 8
	// overloadElasticity is the elasticity from which on a server that is limited already is
	// limited further without late answers. Above 1 the times rise faster than the number of
	// requests, so that fewer requests at once are more requests per second.
	overloadElasticity = 1.3
	overloadFactor     = 0.75
	// minOverloadRatio is the least mean ratio of recent samples for that. A server that has
	// just recovered had slow answers with many requests and has fast ones with few.
	minOverloadRatio = 0.25
	recentWindow     = 500 * time.Millisecond
	// trialTime is the time in which a trial shows a result, and trialFraction the divisor of
	// the servers of a service that gives those that are tried at the same time.
	trialTime     = 2 * time.Second
	trialFraction = 8
	// retrialTime is the time after a reduction from which on it is tried again whether
	// fewer requests at once are more requests per second.
	retrialTime = 30 * time.Second
	// releaseTime is how long the limit stays at the nominal slots after a reduction that
	// made answers no better. It doubles with each such reduction in a row, maxReleases
	// times at most.
	releaseTime = 10 * time.Second
	maxReleases = 3
	// maxRatio bounds the influence of a single sample.
	maxRatio = 4
	// maxEvidence bounds what is accepted from other instances.
	maxEvidence = 1e6
	// maxVersion bounds the versions that are accepted, so that the next ones do not overflow.
	maxVersion = 1 << 30
)

// Sample is one observation of an answer.
type Sample struct {
	Requests int       // on the server, from all instances
	Ratio    float64   // observed time as a fraction of the permitted one; above 1 the answer is late
	Began    time.Time // start of the observed time
}

// Evidence summarizes samples. The sum of the Evidence of several instances is that of
// all their samples.
type Evidence struct {
	// Samples, Misses, MissRequests and MissRatio are of samples since the last change of
	// the limit: their number, that of the late ones, and sums over the late ones.
	Samples      float64
	Misses       float64
	MissRequests float64
	MissRatio    float64
	// The sums for the regression of ratios on requests are of all samples.
	Count    float64
	Requests float64
	Squares  float64
	Ratio    float64
	Product  float64
	// Recent and RecentRatio are the number of samples within recentWindow and their ratios.
	Recent      float64
	RecentRatio float64
}

// Pointers returns pointers to all fields, in an order that does not change.
func (e *Evidence) Pointers() [11]*float64 {
	return [11]*float64{
		&e.Samples, &e.Misses, &e.MissRequests, &e.MissRatio, &e.Count, &e.Requests, &e.Squares, &e.Ratio, &e.Product,
		&e.Recent, &e.RecentRatio,
	}
}

// Values returns the values of all fields, in the order of Pointers.
func (e Evidence) Values() [11]float64 {
	var values [11]float64
	for k, p := range e.Pointers() {
		values[k] = *p
	}
	return values
}

// Add adds the evidence of other samples.
func (e *Evidence) Add(o Evidence) {
	values := o.Values()
	for k, p := range e.Pointers() {
		*p += values[k]
	}
}

// valid reports whether the evidence can be that of samples.
func (e Evidence) valid() bool {
	for _, v := range e.Values() {
		if !(v >= 0 && v <= maxEvidence) {
			return false
		}
	}
	return e.Misses <= e.Samples
}

func (e *Evidence) scale(factor float64) {
	for _, p := range e.Pointers() {
		*p *= factor
	}
}

// elasticity returns the relative rise of the ratio with the relative number of requests,
// and false if the samples do not show it.
func (e *Evidence) elasticity() (float64, bool) {
	if e.Count < minGradientSamples || e.Requests <= 0 || e.Ratio <= 0 {
		return 0, false
	}
	requests, ratio := e.Requests/e.Count, e.Ratio/e.Count
	variance := e.Squares/e.Count - requests*requests
	if variance < minSpread*minSpread*requests*requests {
		return 0, false
	}
	return (e.Product/e.Count - requests*ratio) / variance * requests / ratio, true
}

// Use is what a Limit applies to.
type Use uint8

// The values of Use.
const (
	// Preference makes a limited server cost more than others. Requests that have no
	// other use the rest of its slots: late answers are better than refusals.
	Preference Use = iota
	// Trial also admits fewer requests, to learn whether fewer at once are more per second.
	Trial
	// Admission also admits fewer requests: fewer at once are more per second.
	Admission
	useCount
)

// Limit is a reduction of the concurrency, or its end. The one with the highest Version
// counts, and of two with the same Version the lower one.
type Limit struct {
	Version  uint32    // counts the reductions of a server's process; 0: none yet
	Ceiling  float64   // concurrency that was too high; 0: the nominal slots are in force
	Floor    float64   // limit at the time At
	Releases int       // reductions in a row that made answers no better
	At       time.Time // of the reduction
	Use      Use
}

// newer reports whether l replaces o.
func (l Limit) newer(o Limit) bool {
	return l.Version > o.Version || l.Version == o.Version && l.Ceiling > 0 && (o.Ceiling == 0 || l.Floor < o.Floor)
}

// valid reports whether a limit received from another instance can be used.
func (l Limit) valid() bool {
	if l.Version == 0 || l.Version > maxVersion || l.Releases < 0 || l.Use >= useCount {
		return false
	}
	if l.Ceiling == 0 {
		return l.Releases > 0
	}
	return l.Floor >= 1 && l.Floor <= l.Ceiling && l.Ceiling <= maxEvidence
}

// value returns the concurrency in force: from Floor at first, over Ceiling after
// recoveryTime, to nominal.
func (l Limit) value(now time.Time, nominal float64) float64 {
	if l.Ceiling == 0 {
		return nominal
	}
	reduction := max(l.Ceiling-l.Floor, minRecoveryFraction*nominal)
	phase := max(0, now.Sub(l.At).Seconds()/recoveryTime.Seconds()) - 1
	return min(nominal, max(l.Floor, l.Ceiling+reduction*phase*phase*phase))
}

// Estimator learns the concurrency that one process of a server handles well. It is safe
// for concurrent use; its zero value has learned nothing.
type Estimator struct {
	mu     sync.Mutex
	limit  Limit
	own    Evidence
	at     time.Time // of own
	others map[string]received
}

// received is the evidence of another instance.
type received struct {
	Evidence
	at   time.Time
	cell bool // it includes that of further instances
}

// Slots returns the number of requests that the server handles well, from 1 to nominal.
func (e *Estimator) Slots(now time.Time, nominal int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots(now, nominal)
}

func (e *Estimator) slots(now time.Time, nominal int) int {
	if e.limit.Ceiling == 0 || nominal <= 1 {
		return nominal
	}
	// The small addend makes up for rounding errors.
	return max(1, int(e.limit.value(now, float64(nominal))+1e-6))
}

// AdmissionSlots returns the number of requests for the server that should be admitted, from
// Slots to nominal.
func (e *Estimator) AdmissionSlots(now time.Time, nominal int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit.Use == Preference {
		return nominal
	}
	return e.slots(now, nominal)
}

// Observe adds a sample of a server with the given nominal slots.
func (e *Estimator) Observe(now time.Time, nominal int, s Sample) {
	if nominal <= 0 || s.Requests <= 0 || !(s.Ratio >= 0) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	// Requests beyond the slots wait in the server. They count like a full one.
	requests, ratio := float64(min(s.Requests, nominal)), min(s.Ratio, maxRatio)
	e.own.Count++
	e.own.Requests += requests
	e.own.Squares += requests * requests
	e.own.Ratio += ratio
	e.own.Product += requests * ratio
	e.own.Recent++
	e.own.RecentRatio += ratio
	current := float64(e.slots(now, nominal))
	if requests > current/nearLimit+1 || !s.Began.After(e.settledAt()) {
		return // a consequence of more requests than the limit
	}
	e.own.Samples++
	if ratio > 1 {
		e.own.Misses++
		e.own.MissRequests += requests
		e.own.MissRatio += ratio
	}
}

// settledAt returns the time from which on samples tell something about the limit.
func (e *Estimator) settledAt() time.Time {
	if e.limit.Version == 0 {
		return time.Time{}
	}
	return e.limit.At.Add(settleTime)
}

func (e *Estimator) decay(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		recent := math.Exp(-elapsed.Seconds() / recentWindow.Seconds())
		recentCount, recentRatio := e.own.Recent*recent, e.own.RecentRatio*recent
		e.own.scale(math.Exp(-elapsed.Seconds() / window.Seconds()))
		e.own.Recent, e.own.RecentRatio = recentCount, recentRatio
		e.at = now
	}
}

// Change is a change of the limit by this instance.
type Change struct {
	Limit
	Evidence
}

// Trying reports whether it is being tried whether fewer requests at once are better.
func (e *Estimator) Trying(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit.Ceiling > 0 && e.limit.Use == Trial && now.Sub(e.limit.At) < trialTime
}

// MaxTrials returns how many of the given number of servers of a service should be tried at
// the same time. It bounds the slots that are unused if fewer requests are no better.
func MaxTrials(servers int) int { return (servers + trialFraction - 1) / trialFraction }

// Evaluate changes the limit if the evidence of this instance and of those that report to
// it calls for it. mayTry permits to admit fewer requests in order to learn whether that is
// better. Evaluate must be called several times a second.
func (e *Estimator) Evaluate(now time.Time, nominal int, mayTry bool) (Change, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if nominal <= 1 || now.Before(e.settledAt()) {
		return Change{}, false
	}
	if l := e.limit; l.Version > 0 && l.Ceiling == 0 && now.Sub(l.At) < releaseTime<<min(l.Releases-1, maxReleases) {
		return Change{}, false
	}
	all := e.evidence(now, true)
	next, changed := e.next(now, &all, float64(nominal))
	if !changed || next.Use == Trial && !mayTry {
		return Change{}, false
	}
	e.setLimit(next)
	return Change{next, all}, true
}

// next returns the limit that follows from evidence.
func (e *Estimator) next(now time.Time, all *Evidence, nominal float64) (Limit, bool) {
	next := Limit{Version: e.limit.Version + 1, At: now}
	current := e.limit.value(now, nominal)
	elasticity, known := all.elasticity()
	overload := known && elasticity >= overloadElasticity
	if all.Misses < minMisses || all.Misses < minMissFraction*all.Samples {
		return e.nextWithoutMisses(next, current, all, overload, known && elasticity < 1)
	}
	requests := all.MissRequests / all.Misses
	switch {
	case known && elasticity < minElasticity && e.limit.Ceiling > 0:
		next.Releases = e.limit.Releases + 1
		return next, true
	case known && elasticity < minElasticity, !known && requests < nearLimit*current:
		return next, false
	}
	next.Ceiling = min(current, requests)
	next.Floor = max(1, next.Ceiling*min(maxFactor, max(minFactor, all.Misses/all.MissRatio)))
	next.Releases = e.limit.Releases
	next.Use = e.use(now, known, overload)
	if e.limit.Ceiling > 0 && known {
		next.Releases = 0
	}
	return next, next.Floor < next.Ceiling
}

// use returns what a new reduction applies to. A server that has shown that fewer requests
// at once are more per second is not tried again soon: when it is limited, it does not show
// it.
func (e *Estimator) use(now time.Time, known, overload bool) Use {
	recent := e.limit.Ceiling > 0 && now.Sub(e.limit.At) <= retrialTime
	switch {
	case overload:
		return Admission
	case recent && (e.limit.Use != Trial || !known):
		return e.limit.Use
	case known:
		return Preference
	}
	return Trial
}

// nextWithoutMisses returns the limit that follows from evidence without misses. Only the
// limit of a server that is limited already changes.
func (e *Estimator) nextWithoutMisses(next Limit, current float64, all *Evidence, overload, efficient bool) (Limit, bool) {
	switch {
	case e.limit.Ceiling == 0 || all.Samples < minMisses:
		return next, false
	case overload && all.RecentRatio >= minOverloadRatio*all.Recent && all.Recent > 0:
		next.Ceiling = min(current, all.Requests/all.Count)
		next.Floor = max(1, next.Ceiling*overloadFactor)
		next.Use = Admission
		return next, next.Floor < next.Ceiling
	case efficient && e.limit.Use == Trial:
		next.Ceiling, next.Floor, next.At, next.Releases = e.limit.Ceiling, e.limit.Floor, e.limit.At, e.limit.Releases
		return next, true
	}
	return next, false
}

func (e *Estimator) setLimit(next Limit) {
	e.limit = next
	e.own.Samples, e.own.Misses, e.own.MissRequests, e.own.MissRatio = 0, 0, 0, 0
	clear(e.others)
}
