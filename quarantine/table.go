// Package quarantine keeps a request that crashes backend servers from costing
// more than two of them. A request in flight on a server that crashes becomes
// a suspect. A suspect runs again alone: one at a time, and on a server that
// runs nothing else. If it is served it is cleared; a second crash quarantines
// it, and no instance runs it any more. Requests are known by keyed digests
// only. The package does no I/O; time is passed in.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// State is what is known of a digest.
type State uint8

// The states of a digest. A higher state wins over a lower one of the same
// owner.
const (
	// Unknown digests have never been in flight on a crashing server.
	Unknown State = iota
	// Suspect digests were in flight on one crashing server.
	Suspect
	// Trial digests are running alone.
	Trial
	// Cleared digests were served alone, or another digest was found to be
	// the cause of the crash.
	Cleared
	// Quarantined digests were in flight on two crashing servers.
	Quarantined
)

var stateNames = [...]string{"unknown", "suspect", "trial", "cleared", "quarantined"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Defaults of a Table.
const (
	defaultSpread      = 2 * time.Second
	defaultSuspectLife = 10 * time.Minute
	defaultLife        = time.Hour
	defaultLimit       = 4096 // digests, about 1 MB
	clearedLife        = time.Minute
)

const (
	sameCrash     = 10 * time.Second // failures on one server this close are one crash
	wideWindow    = time.Second      // crashes of several servers this close have a cause outside
	wideServers   = 3                // such as the loss of a rack or a link
	askedRecently = 2 * time.Second  // a request that has not asked for longer has gone away
)

// Table holds the digests that are suspect, on trial, cleared or quarantined.
// It is safe for concurrent use. Zero fields stand for defaults.
type Table struct {
	// Instance is the id of this instance.
	Instance string
	// Spread is the time after which every instance is taken to know of a
	// crash. No suspect is run again before.
	Spread      time.Duration
	SuspectLife time.Duration // until a suspect that nobody sends again is forgotten
	Life        time.Duration // until a quarantined digest is forgotten
	Limit       int           // most digests kept

	mu            sync.Mutex
	entries       map[Digest]*entry
	crashes       []crash // of the last moments, to find losses of many servers
	trial         Digest  // running alone at this instance
	trialing      bool
	reservations  map[string]reservation // by instance
	reservedCount atomic.Int32           // lets routing skip the lock
	told          bool                   // a state has been told; empty ones matter from then on
}

// crash is the loss of one server.
type crash struct {
	server uint64 // key
	at     time.Time
}

// same reports whether two failures are the same loss of a server.
func (c crash) same(other crash) bool {
	return c.server == other.server && c.at.Sub(other.at).Abs() < sameCrash
}

// entry is what is known of one digest.
type entry struct {
	state   State
	owner   string // instance that may run the suspect again, or that decided; "@REGION" in another region
	via     string // instance that told of an entry of another region
	crash   crash  // the first one
	since   time.Time
	lost    Lost      // the attempt that was cut
	asked   time.Time // when a request with this digest last asked to run
	expires time.Time
}

// Action tells a request what to do.
type Action uint8

// The actions.
const (
	// Run: the digest is not suspect.
	Run Action = iota
	// RunAlone: it is the turn of this request. Reserve a server, run once
	// Begin reports true, then call Done.
	RunAlone
	// Wait: ask again after Verdict.Wait.
	Wait
	// RefuseElsewhere: another instance holds the suspect.
	RefuseElsewhere
	// RefuseQuarantined: the digest is not run any more.
	RefuseQuarantined
)

// Verdict is the answer to a request that asks to run.
type Verdict struct {
	Action Action
	Owner  string        // of RefuseElsewhere
	Wait   time.Duration // of Wait and the refusals: when asking again may help
}

// waitStep is the time between two questions of a waiting suspect.
const waitStep = 100 * time.Millisecond

// Empty reports whether no digest is kept, so that digests need not be made.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// State returns what is known of a digest.
func (t *Table) State(now time.Time, digest Digest) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.live(now, digest); e != nil {
		return e.state
	}
	return Unknown
}

// Lost is an attempt that was in flight on a server that crashed.
type Lost struct {
	Server uint64 // key of the server
	Begun  time.Time
	Rank   catalog.Rank
}

// before reports whether the attempt is tried again before another one.
func (l Lost) before(other Lost) bool {
	if l.Rank != other.Rank {
		return l.Rank < other.Rank
	}
	return l.Begun.After(other.Begun)
}

// Crashed records that a request was in flight on a server when the server
// crashed. It returns the new state of the digest: Unknown if so many servers
// were lost at once that no request can be the cause.
func (t *Table) Crashed(now time.Time, digest Digest, lost Lost) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := crash{lost.Server, now}
	wide := t.noteCrash(c)
	e := t.live(now, digest)
	switch {
	case wide && e == nil:
		return Unknown
	case e == nil || e.state == Cleared:
		t.put(now, digest, &entry{state: Suspect, owner: t.Instance, crash: c, since: now, lost: lost, expires: now.Add(t.suspectLife())})
		return Suspect
	case e.state != Quarantined && (e.state == Trial || !e.crash.same(c)):
		t.quarantine(now, digest, e)
	}
	return e.state
}

// noteCrash reports whether servers are being lost in a number that one
// request cannot cause.
func (t *Table) noteCrash(c crash) bool {
	t.crashes = slices.DeleteFunc(t.crashes, func(old crash) bool { return c.at.Sub(old.at) > wideWindow })
	if !slices.ContainsFunc(t.crashes, func(old crash) bool { return old.server == c.server }) {
		t.crashes = append(t.crashes, c)
	}
	return len(t.crashes) >= wideServers
}

// quarantine marks the digest and clears the requests that were beside it at
// its first crash: the cause has been found.
func (t *Table) quarantine(now time.Time, digest Digest, e *entry) {
	e.state, e.owner, e.since, e.expires = Quarantined, t.Instance, now, now.Add(t.life())
	t.clearBeside(now, digest, e.crash)
}

func (t *Table) clearBeside(now time.Time, culprit Digest, c crash) {
	for digest, e := range t.entries {
		if digest != culprit && e.state == Suspect && e.crash.same(c) {
			e.clear(now)
		}
	}
}

func (e *entry) clear(now time.Time) {
	e.state, e.since, e.expires = Cleared, now, now.Add(clearedLife)
}

// Admit tells a request whether it may run. RunAlone makes it the one trial of
// this instance: Done must follow.
func (t *Table) Admit(now time.Time, digest Digest) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, digest)
	if e == nil || e.state == Cleared {
		return Verdict{Action: Run}
	}
	e.asked = now
	switch {
	case e.state == Quarantined:
		return Verdict{Action: RefuseQuarantined, Wait: e.expires.Sub(now)}
	case e.owner != t.Instance:
		return Verdict{Action: RefuseElsewhere, Owner: e.owner, Wait: t.spread()}
	}
	if left := t.spread() - now.Sub(e.since); left > 0 {
		return Verdict{Action: Wait, Wait: left}
	}
	if t.trialing || t.next(now) != digest {
		return Verdict{Action: Wait, Wait: waitStep}
	}
	t.trial, t.trialing = digest, true
	return Verdict{Action: RunAlone}
}

// next returns the suspect of this instance that runs first: of the most
// urgent rank the one that had begun last when its server crashed, which is the
// likeliest cause.
func (t *Table) next(now time.Time) Digest {
	var first Digest
	var best *entry
	for digest, e := range t.entries {
		waiting := e.state == Suspect && e.owner == t.Instance && now.Sub(e.asked) < askedRecently
		if waiting && (best == nil || e.lost.before(best.lost)) {
			first, best = digest, e
		}
	}
	return first
}

// TrialEnd says how a trial ended.
type TrialEnd uint8

// The ends of a trial.
const (
	// TrialServed: the request was answered, so it is innocent.
	TrialServed TrialEnd = iota
	// TrialCrashed: the server crashed under the request alone.
	TrialCrashed
	// TrialNotRun: the request did not reach a server.
	TrialNotRun
	// TrialUnknown: it was canceled, or its deadline passed.
	TrialUnknown
)

// Done ends the trial of a digest and returns its new state.
func (t *Table) Done(now time.Time, digest Digest, end TrialEnd) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trialing && t.trial == digest {
		t.trialing = false
	}
	e := t.live(now, digest)
	if e == nil {
		e = &entry{state: Suspect, owner: t.Instance, since: now, expires: now.Add(t.suspectLife())}
		t.put(now, digest, e)
	}
	if e.state == Quarantined {
		return Quarantined
	}
	switch {
	case end == TrialServed:
		e.clear(now)
	case end == TrialCrashed:
		t.quarantine(now, digest, e)
	case e.state == Trial:
		e.state = Suspect
	}
	return e.state
}

// live returns the entry of a digest that has not expired, or nil. A digest on
// trial does not expire.
func (t *Table) live(now time.Time, digest Digest) *entry {
	e := t.entries[digest]
	if e == nil {
		return nil
	}
	onTrial := t.trialing && t.trial == digest
	if now.After(e.expires) && !onTrial {
		delete(t.entries, digest)
		return nil
	}
	return e
}

// put adds an entry and keeps the table within its bound.
func (t *Table) put(now time.Time, digest Digest, e *entry) {
	if t.entries == nil {
		t.entries = make(map[Digest]*entry)
	}
	if _, known := t.entries[digest]; !known && len(t.entries) >= t.limit() {
		t.evict(now)
	}
	t.entries[digest] = e
}

// evict deletes what has expired, or else the entry that is missed least: the
// lowest state but Cleared first of all, then the oldest.
func (t *Table) evict(now time.Time) {
	var victim Digest
	var worst *entry
	for digest, e := range t.entries {
		if now.After(e.expires) {
			delete(t.entries, digest)
			continue
		}
		if worst == nil || e.worth() < worst.worth() || e.worth() == worst.worth() && e.since.Before(worst.since) {
			victim, worst = digest, e
		}
	}
	if len(t.entries) >= t.limit() {
		delete(t.entries, victim)
	}
}

// worth orders entries by what is lost with them.
func (e *entry) worth() int {
	if e.state == Cleared {
		return 0
	}
	return int(e.state)
}

// Len returns the number of digests kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// SpreadTime returns the time after which every instance is taken to know of a
// crash.
func (t *Table) SpreadTime() time.Duration { return t.spread() }

func (t *Table) spread() time.Duration      { return orDefault(t.Spread, defaultSpread) }
func (t *Table) suspectLife() time.Duration { return orDefault(t.SuspectLife, defaultSuspectLife) }
func (t *Table) life() time.Duration        { return orDefault(t.Life, defaultLife) }

func (t *Table) limit() int {
	if t.Limit <= 0 {
		return defaultLimit
	}
	return t.Limit
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
