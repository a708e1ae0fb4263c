// Package quarantine prevents a request that crashes backend servers from
// crashing more than two of them. A request in flight on a server that crashes
// becomes a suspect. A suspect runs again alone: one at a time per instance, on
// a server that runs nothing else. If it is served it is cleared; if it crashes
// a second server it is quarantined, and no instance runs it any more. Requests
// are identified by keyed digests only. The package does no I/O; callers pass
// in the time.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// State is the crash status of a digest. Its values are part of the wire form.
type State uint8

// The states of a digest.
const (
	// Unknown digests have no unexpired entry in the table.
	Unknown State = iota
	// Suspect digests were in flight on one server when it crashed.
	Suspect
	// Trial digests are running again, alone on a reserved server.
	Trial
	// Cleared digests were served in a trial, or another digest was found to
	// be the cause of the crash.
	Cleared
	// Quarantined digests were in flight in two server crashes, or were on
	// trial at an instance that left.
	Quarantined
)

var stateNames = [...]string{"unknown", "suspect", "trial", "cleared", "quarantined"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Defaults of the fields of Table, and the lifetime of cleared entries.
const (
	defaultPropagationDelay = 2 * time.Second
	defaultSuspectTTL       = 10 * time.Minute
	defaultQuarantineTTL    = time.Hour
	defaultMaxDigests       = 4096 // digests, about 1 MB
	clearedTTL              = time.Minute
)

const (
	sameCrashWindow = 10 * time.Second // failures of one server within this time count as one crash
	massLossWindow  = time.Second      // time in which lost servers are counted for massLossServers
	massLossServers = 3                // this many lost servers have an external cause, such as the loss of a rack or a link
	waiterTimeout   = 2 * time.Second  // a suspect without a call of Admit for this long has no waiting request
)

// Table holds the digests that are suspect, on trial, cleared or quarantined.
// It is safe for concurrent use. Zero durations and a zero MaxDigests stand for
// defaults.
type Table struct {
	// Instance is the ID of this instance.
	Instance string
	// PropagationDelay is the time in which a crash is assumed to reach the tables
	// of all instances. No suspect runs again before it has passed.
	PropagationDelay time.Duration
	SuspectTTL       time.Duration // lifetime of the entry of a suspect
	QuarantineTTL    time.Duration // lifetime of the entry of a quarantined digest
	MaxDigests       int           // upper bound on the entries of the table

	mu            sync.Mutex
	entries       map[Digest]*entry
	recentCrashes []crash // within massLossWindow, to detect the loss of many servers
	trialDigest   Digest  // on trial at this instance, while trialActive
	trialActive   bool
	reservations  map[string]reservation // by instance ID
	reservedCount atomic.Int32           // len(reservations); lets routing skip the lock if it is 0
	stateSent     bool                   // a state has been encoded; later ones are sent even if empty, to delete old entries
}

// crash is the loss of one server.
type crash struct {
	serverKey uint64
	at        time.Time
}

// sameAs reports whether two failures belong to the same crash of a server.
func (c crash) sameAs(other crash) bool {
	return c.serverKey == other.serverKey && c.at.Sub(other.at).Abs() < sameCrashWindow
}

// entry is the record of one digest.
type entry struct {
	state      State
	owner      string // instance that may run the trial of the suspect or that decided its state; "@REGION" for another region
	receivedBy string // this instance, if it received the entry directly from another region
	firstCrash crash  // crash that created the entry
	since      time.Time
	attempt    LostAttempt // attempt that firstCrash cut off; zero in entries of other instances
	lastAdmit  time.Time   // last call of Admit for this digest
	expires    time.Time
}

// Action is what Admit requires a request to do.
type Action uint8

// The actions of a Verdict.
const (
	// Run allows the request to run as usual.
	Run Action = iota
	// RunAlone starts a trial: call ReserveServer until it returns a server for
	// which BeginTrial reports true, run the request there, then call EndTrial.
	RunAlone
	// Wait requires another call of Admit after Verdict.RetryAfter.
	Wait
	// RefuseNotOwner refuses the request because another instance owns the
	// suspect.
	RefuseNotOwner
	// RefuseQuarantined refuses the request because its digest is quarantined.
	RefuseQuarantined
)

// Verdict is the result of Admit.
type Verdict struct {
	Action     Action
	Owner      string        // set with RefuseNotOwner: an instance ID, or RegionOwnerPrefix and a region
	RetryAfter time.Duration // set with Wait and the refusals: time before another attempt may succeed
}

// admitRetryInterval is the time between two Admit calls of a suspect that
// waits for another trial to end.
const admitRetryInterval = 100 * time.Millisecond

// Empty reports whether the table has no entries. Callers then need not compute
// the digest of a request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// State returns the state of a digest.
func (t *Table) State(now time.Time, digest Digest) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.live(now, digest); e != nil {
		return e.state
	}
	return Unknown
}

// LostAttempt is an attempt that was in flight on a server when the server
// crashed.
type LostAttempt struct {
	ServerKey uint64 // backend.Server.Key
	StartedAt time.Time
	Rank      catalog.Rank
}

// runsBefore reports whether the trial of l comes before that of other: more
// urgent ranks first, then later starts.
func (l LostAttempt) runsBefore(other LostAttempt) bool {
	if l.Rank != other.Rank {
		return l.Rank < other.Rank
	}
	return l.StartedAt.After(other.StartedAt)
}

// RecordCrash records that a request was in flight on a server when the server
// crashed, and returns the new state of the digest. A digest without an entry
// stays Unknown if so many servers were lost at once that the cause is assumed
// to be external.
func (t *Table) RecordCrash(now time.Time, digest Digest, lostAttempt LostAttempt) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := crash{lostAttempt.ServerKey, now}
	massLoss := t.recordServerLoss(c)
	e := t.live(now, digest)
	switch {
	case massLoss && e == nil:
		return Unknown
	case e == nil || e.state == Cleared:
		t.put(now, digest, &entry{state: Suspect, owner: t.Instance, firstCrash: c, since: now, attempt: lostAttempt, expires: now.Add(t.suspectTTL())})
		return Suspect
	case e.state != Quarantined && (e.state == Trial || !e.firstCrash.sameAs(c)):
		t.quarantine(now, digest, e)
	}
	return e.state
}

// recordServerLoss adds a crash to recentCrashes. It reports whether at least
// massLossServers servers have crashed within massLossWindow, which one request
// cannot cause.
func (t *Table) recordServerLoss(c crash) bool {
	t.recentCrashes = slices.DeleteFunc(t.recentCrashes, func(old crash) bool { return c.at.Sub(old.at) > massLossWindow })
	if !slices.ContainsFunc(t.recentCrashes, func(old crash) bool { return old.serverKey == c.serverKey }) {
		t.recentCrashes = append(t.recentCrashes, c)
	}
	return len(t.recentCrashes) >= massLossServers
}

// quarantine marks the digest as quarantined. It clears the other suspects of
// its first crash, as the cause of that crash is now known.
func (t *Table) quarantine(now time.Time, digest Digest, e *entry) {
	e.state, e.owner, e.since, e.expires = Quarantined, t.Instance, now, now.Add(t.quarantineTTL())
	t.clearConcurrent(now, digest, e.firstCrash)
}

// clearConcurrent clears the suspects of crash c other than its cause.
func (t *Table) clearConcurrent(now time.Time, cause Digest, c crash) {
	for digest, e := range t.entries {
		if digest != cause && e.state == Suspect && e.firstCrash.sameAs(c) {
			e.clear(now)
		}
	}
}

func (e *entry) clear(now time.Time) {
	e.state, e.since, e.expires = Cleared, now, now.Add(clearedTTL)
}

// Admit decides whether a request may run. With RunAlone the request becomes
// the only trial of this instance, which lasts until EndTrial is called.
func (t *Table) Admit(now time.Time, digest Digest) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(now, digest)
	if e == nil || e.state == Cleared {
		return Verdict{Action: Run}
	}
	e.lastAdmit = now
	switch {
	case e.state == Quarantined:
		return Verdict{Action: RefuseQuarantined, RetryAfter: e.expires.Sub(now)}
	case e.owner != t.Instance:
		return Verdict{Action: RefuseNotOwner, Owner: e.owner, RetryAfter: t.propagationDelay()}
	}
	if left := t.propagationDelay() - now.Sub(e.since); left > 0 {
		return Verdict{Action: Wait, RetryAfter: left}
	}
	if t.trialActive || t.nextTrial(now) != digest {
		return Verdict{Action: Wait, RetryAfter: admitRetryInterval}
	}
	t.trialDigest, t.trialActive = digest, true
	return Verdict{Action: RunAlone}
}

// nextTrial returns the suspect of this instance that runs next, or the zero
// Digest if no request waits. Among the suspects of the most urgent rank it is
// the one that had started last when its server crashed, as it is the most
// likely cause.
func (t *Table) nextTrial(now time.Time) Digest {
	var first Digest
	var best *entry
	for digest, e := range t.entries {
		waiting := e.state == Suspect && e.owner == t.Instance && now.Sub(e.lastAdmit) < waiterTimeout
		if waiting && (best == nil || e.attempt.runsBefore(best.attempt)) {
			first, best = digest, e
		}
	}
	return first
}

// TrialResult is the way a trial ended.
type TrialResult uint8

// The ends of a trial.
const (
	// TrialServed means that the server responded; the digest is cleared.
	TrialServed TrialResult = iota
	// TrialCrashed means that the server crashed while it ran only this
	// request; the digest is quarantined.
	TrialCrashed
	// TrialNotRun means that no server ran the request.
	TrialNotRun
	// TrialUnknown means that the request was canceled or exceeded its
	// deadline.
	TrialUnknown
)

// EndTrial ends the trial of a digest and returns its new state.
func (t *Table) EndTrial(now time.Time, digest Digest, end TrialResult) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trialActive && t.trialDigest == digest {
		t.trialActive = false
	}
	e := t.live(now, digest)
	if e == nil {
		e = &entry{state: Suspect, owner: t.Instance, since: now, expires: now.Add(t.suspectTTL())}
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

// live returns the entry of a digest, or nil if there is none. It deletes an
// expired entry, except that of the current trial of this instance.
func (t *Table) live(now time.Time, digest Digest) *entry {
	e := t.entries[digest]
	if e == nil {
		return nil
	}
	onTrial := t.trialActive && t.trialDigest == digest
	if now.After(e.expires) && !onTrial {
		delete(t.entries, digest)
		return nil
	}
	return e
}

// put sets the entry of a digest, and evicts another one if the table is full.
func (t *Table) put(now time.Time, digest Digest, e *entry) {
	if t.entries == nil {
		t.entries = make(map[Digest]*entry)
	}
	if _, known := t.entries[digest]; !known && len(t.entries) >= t.maxDigests() {
		t.evict(now)
	}
	t.entries[digest] = e
}

// evict deletes all expired entries. If the table is still full, it deletes the
// oldest entry of the lowest priority.
func (t *Table) evict(now time.Time) {
	var victim Digest
	var lowest *entry
	for digest, e := range t.entries {
		if now.After(e.expires) {
			delete(t.entries, digest)
			continue
		}
		if lowest == nil || e.priority() < lowest.priority() || e.priority() == lowest.priority() && e.since.Before(lowest.since) {
			victim, lowest = digest, e
		}
	}
	if len(t.entries) >= t.maxDigests() {
		delete(t.entries, victim)
	}
}

// priority orders entries for eviction and encoding: quarantined digests are
// kept longest, cleared ones are dropped first.
func (e *entry) priority() int {
	if e.state == Cleared {
		return 0
	}
	return int(e.state)
}

// Len returns the number of entries, including expired ones not yet deleted.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// EffectivePropagationDelay returns PropagationDelay or its default. After a
// crash, callers wait this long before they retry the request or return its
// error, so that a resent request meets instances that have received the crash.
func (t *Table) EffectivePropagationDelay() time.Duration { return t.propagationDelay() }

func (t *Table) propagationDelay() time.Duration {
	return orDefault(t.PropagationDelay, defaultPropagationDelay)
}

func (t *Table) suspectTTL() time.Duration { return orDefault(t.SuspectTTL, defaultSuspectTTL) }

func (t *Table) quarantineTTL() time.Duration {
	return orDefault(t.QuarantineTTL, defaultQuarantineTTL)
}

func (t *Table) maxDigests() int {
	if t.MaxDigests <= 0 {
		return defaultMaxDigests
	}
	return t.MaxDigests
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
