package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// PartID identifies a part of a prompt, or a whole request, by a digest.
type PartID uint64

// ContentID returns the id of a whole request: another one with the same id is the same
// request, sent again. host and target, its path and query, are those of the caller.
func ContentID(method, host, target string, body []byte) PartID {
	digest := sha256.New()
	for _, field := range []string{method, host, target} {
		_, _ = io.WriteString(digest, field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return PartID(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// String returns the id in hexadecimal.
func (id PartID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

const (
	// suspectCrashes is the number of crashes from which a part is called suspect. A
	// single one says little about the many parts in flight.
	suspectCrashes = 2
	// verdictIncidents is the number of incidents after which a part is quarantined.
	verdictIncidents = 3
	// incidentGap is the least time between two incidents. Crashes at about the same
	// time may have one external cause, such as the loss of a region.
	incidentGap = 500 * time.Millisecond
	// joinedIncidents is the number of incidents from which parts that have exactly
	// the same crashes are refused each alone: they may never have been in one request.
	joinedIncidents = 5
	// manyServers is the number of other servers lost at about the same time from which
	// the loss has an external cause.
	manyServers = 2
	// samePartCrash is the time within which instances see one crash of a server. It
	// is shorter than a server takes to return and to crash again.
	samePartCrash = 2 * time.Second
	// evidenceTTL is how long a crash is remembered.
	evidenceTTL = time.Hour
	// expireInterval is the longest time between two removals of forgotten evidence while
	// servers crash. One crash alone changes no verdict.
	expireInterval = time.Minute
	// verdictTTL is how long a part is refused after the last crash, without
	// Parts.RetryDelay. After that a single new crash quarantines it again.
	verdictTTL = 10 * time.Minute
	// MaxRetryDelay is the largest useful Parts.RetryDelay.
	MaxRetryDelay = 10 * time.Minute
	// servedTTL is how long a part counts as sound after it was served.
	servedTTL = 10 * time.Minute

	maxServedParts    = 8192
	maxSuspectParts   = 1024
	maxCrashesPerPart = 128
)

// Parts decides which parts of prompts, and which whole requests, crash backend
// servers. A part that was in unanswered requests at each of several crashes, and in no
// served request, is quarantined. A whole request counts as one more part of its own,
// which it shares with its repetitions only. Instances exchange what they have seen by
// Report and Merge, whose order and repetition do not matter. Parts is safe for
// concurrent use.
type Parts struct {
	// Observer receives decisions; nil for none.
	Observer PartObserver
	// RetryDelay is how much longer than others this instance refuses a part, so that
	// the instances do not all try it again at once.
	RetryDelay time.Duration

	// refused holds the parts in quarantine.
	refused atomic.Pointer[map[PartID]refusal]
	// suspected is whether there are suspects.
	suspected atomic.Bool

	mu        sync.Mutex
	served    map[PartID]time.Time // last time
	suspects  map[PartID]*suspectPart
	crashes   []*partCrash
	version   uint64    // number of changes that are reported
	decidedAt time.Time // last time
}

// PartState is the state of a part that was in flight in a crash.
type PartState uint8

// The states of a part. A part in few crashes is unknown.
const (
	PartUnknown PartState = iota
	PartSuspect
	PartCleared
	PartQuarantined
)

var partStateNames = [...]string{"unknown", "suspect", "cleared", "quarantined"}

// String returns the name of the state.
func (s PartState) String() string { return partStateNames[s] }

// PartDecision is a change of the state of a part.
type PartDecision struct {
	Part    PartID
	State   PartState
	Server  uint64        // backend.Server.Key of the last crash
	Crashes int           // that count against the part, or did until it was cleared
	Age     time.Duration // of the first of them
}

// PartObserver records decisions on parts.
type PartObserver interface {
	PartDecided(d PartDecision)
}

// partCrash is the crash of one server.
type partCrash struct {
	server uint64 // backend.Server.Key
	at     time.Time
}

// suspectPart is a part that was in unanswered requests at a crash.
type suspectPart struct {
	crashes  []*partCrash // in order of time
	servedAt time.Time    // zero if never; the crashes before do not count
	updated  time.Time
	version  uint64 // Parts.version of the last change
	state    PartState

	// Of whole requests only.
	after     map[*partCrash]time.Duration // from the beginning of the answer to the crash; 0 if missing
	survivors []survivor
}

func (s *suspectPart) cleared(now time.Time) bool {
	return !s.servedAt.IsZero() && now.Sub(s.servedAt) < servedTTL
}

// Suspected reports whether any part was in flight in a crash. If not, only the shared
// parts of a served request need to be recorded.
func (p *Parts) Suspected() bool { return p.suspected.Load() }

// Refusing reports whether any part is quarantined.
func (p *Parts) Refusing() bool {
	refused := p.refused.Load()
	return refused != nil && len(*refused) > 0
}

// Refused returns the first of the parts that is quarantined, and until when it is.
func (p *Parts) Refused(now time.Time, parts []PartID) (part PartID, until time.Time, refused bool) {
	refusals := p.refused.Load()
	if refusals == nil {
		return 0, time.Time{}, false
	}
	for _, part := range parts {
		if cause, found := (*refusals)[part]; found && now.Before(cause.until) && containsAll(parts, cause.with) {
			return part, cause.until, true
		}
	}
	return 0, time.Time{}, false
}

func containsAll(parts, subset []PartID) bool {
	for _, part := range subset {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// RecordCrash records that a request with the parts of a prompt was in flight on a server
// when the server crashed, and that its answer had not got under way.
func (p *Parts) RecordCrash(now time.Time, server uint64, parts []PartID) {
	p.mu.Lock()
	crash := p.crash(now, server)
	for _, part := range parts {
		// A sound part matters only to instances that suspect it.
		if p.suspects[part] == nil && p.isSound(now, part) {
			continue
		}
		p.suspect(now, part, crash, 0)
	}
	decisions := p.decide(now)
	p.mu.Unlock()
	p.report(decisions)
}

// RecordRequestCrash records that a whole request, with the given ContentID, was in flight
// on a server when the server crashed. after is the time since its answer began, 0 if it
// had not. Requests that are in flight in the loss of many servers do not become suspects.
func (p *Parts) RecordRequestCrash(now time.Time, server uint64, content PartID, after time.Duration) {
	p.mu.Lock()
	crash := p.crash(now, server)
	var decisions []PartDecision
	if s := p.suspects[content]; s != nil || !p.lostTogether(crash) {
		p.suspect(now, content, crash, after.Truncate(time.Millisecond))
		if len(p.suspects[content].crashes) >= suspectCrashes || now.Sub(p.decidedAt) >= expireInterval {
			decisions = p.decide(now)
		}
	}
	p.mu.Unlock()
	p.report(decisions)
}

// lostTogether reports whether several other servers have crashed shortly before.
func (p *Parts) lostTogether(crash *partCrash) bool {
	others := 0
	for _, c := range p.crashes {
		if c.server != crash.server && crash.at.Sub(c.at).Abs() < incidentGap {
			others++
		}
	}
	return others >= manyServers
}

// RecordServed records that a request with the parts was served.
func (p *Parts) RecordServed(now time.Time, parts []PartID) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	var decisions []PartDecision
	changed := false
	for _, part := range parts {
		changed = p.clear(part, now) || changed
	}
	p.limitServed()
	if changed {
		decisions = p.decide(now)
	}
	p.mu.Unlock()
	p.report(decisions)
}

// RecordRequestServed records that a request with the given ContentID was served. Unlike
// a shared part it is remembered only if it is a suspect, as most requests come once.
func (p *Parts) RecordRequestServed(now time.Time, content PartID) {
	p.mu.Lock()
	var decisions []PartDecision
	if s := p.suspects[content]; s != nil && p.clearSuspect(s, now) {
		decisions = p.decide(now)
	}
	p.mu.Unlock()
	p.report(decisions)
}

// RecordRunning records that a server is still answering a request with the given
// ContentID, some time after the answer began.
func (p *Parts) RecordRunning(now time.Time, server uint64, content PartID, age time.Duration) {
	p.mu.Lock()
	var decisions []PartDecision
	if s := p.suspects[content]; s != nil && !s.cleared(now) && s.recordSurvivor(now, survivor{server, age.Truncate(time.Millisecond), now}) {
		p.changed(s)
		decisions = p.decide(now)
	}
	p.mu.Unlock()
	p.report(decisions)
}

// IsSuspect reports whether the part was in flight in a crash.
func (p *Parts) IsSuspect(part PartID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects[part] != nil
}

func (p *Parts) isSound(now time.Time, part PartID) bool {
	servedAt, served := p.served[part]
	return served && now.Sub(servedAt) < servedTTL
}

func (p *Parts) report(decisions []PartDecision) {
	if p.Observer == nil {
		return
	}
	for _, d := range decisions {
		p.Observer.PartDecided(d)
	}
}

// crash returns the record of a server's crash.
func (p *Parts) crash(at time.Time, server uint64) *partCrash {
	for _, c := range p.crashes {
		if c.server == server && at.Sub(c.at).Abs() < samePartCrash {
			return c
		}
	}
	c := &partCrash{server, at}
	p.crashes = append(p.crashes, c)
	return c
}

// suspect adds a crash to the evidence against a part, unless the part has been
// served. after is the time since the answer to a whole request began.
func (p *Parts) suspect(now time.Time, part PartID, crash *partCrash, after time.Duration) {
	s := p.suspects[part]
	if s == nil {
		s = &suspectPart{}
		if servedAt, served := p.served[part]; served {
			s.servedAt = servedAt
		}
		if p.suspects == nil {
			p.suspects = make(map[PartID]*suspectPart)
		}
		p.suspects[part] = s
		p.suspected.Store(true)
		p.changed(s)
		p.limitSuspects(part)
	}
	s.updated = now
	if s.cleared(now) {
		return
	}
	if s.recordAfter(crash, after) {
		p.changed(s)
	}
	if slices.Contains(s.crashes, crash) {
		return
	}
	crashes := append(slices.Clone(s.crashes), crash)
	slices.SortFunc(crashes, func(a, b *partCrash) int { return a.at.Compare(b.at) })
	if len(crashes) > maxCrashesPerPart {
		crashes = removeClosest(crashes)
	}
	if !slices.Equal(crashes, s.crashes) {
		s.crashes = crashes
		p.changed(s)
	}
}

// changed records that what this instance reports of a suspect has changed.
func (p *Parts) changed(s *suspectPart) {
	p.version++
	s.version = p.version
}

// removeClosest removes the crash that followed its predecessor the soonest, as it
// adds the least to the number of incidents.
func removeClosest(crashes []*partCrash) []*partCrash {
	closest := 1
	for i := range crashes[1:] {
		if crashes[i+1].at.Sub(crashes[i].at) < crashes[closest].at.Sub(crashes[closest-1].at) {
			closest = i + 1
		}
	}
	return slices.Delete(crashes, closest, closest+1)
}

// clear records that a part was served at a time, and reports whether it was a
// suspect.
func (p *Parts) clear(part PartID, at time.Time) bool {
	if p.served == nil {
		p.served = make(map[PartID]time.Time)
	}
	if at.After(p.served[part]) {
		p.served[part] = at
	}
	s := p.suspects[part]
	return s != nil && p.clearSuspect(s, at)
}

// clearSuspect records that a suspect was served at a time, and reports whether that
// changes its state.
func (p *Parts) clearSuspect(s *suspectPart, at time.Time) bool {
	wasServed := !s.servedAt.IsZero()
	if at.After(s.servedAt) {
		s.servedAt = at
	}
	if wasServed && len(s.crashes) == 0 {
		return false
	}
	p.changed(s)
	return true
}

// limitServed removes the parts that have not been served for the longest time if
// there are too many.
func (p *Parts) limitServed() {
	if len(p.served) <= maxServedParts {
		return
	}
	const keep = maxServedParts * 7 / 8
	parts := slices.SortedFunc(maps.Keys(p.served), func(a, b PartID) int { return p.served[b].Compare(p.served[a]) })
	for _, part := range parts[keep:] {
		delete(p.served, part)
	}
}

// limitSuspects removes a suspect other than keep if there are too many: one that is
// cleared if there is one, else one with the fewest crashes, of these the oldest.
func (p *Parts) limitSuspects(keep PartID) {
	if len(p.suspects) <= maxSuspectParts {
		return
	}
	var victim PartID
	var least *suspectPart
	for part, s := range p.suspects {
		if part == keep {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(s.crashes), len(least.crashes)), s.updated.Compare(least.updated)) < 0 {
			victim, least = part, s
		}
	}
	delete(p.suspects, victim)
}

// expire removes suspects without evidence for or against them, and crashes that are
// old or no evidence against a part.
func (p *Parts) expire(now time.Time) {
	used := make(map[*partCrash]bool)
	for part, s := range p.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c *partCrash) bool { return now.Sub(c.at) >= evidenceTTL })
		if len(s.after) > len(s.crashes) {
			maps.DeleteFunc(s.after, func(c *partCrash, _ time.Duration) bool { return !slices.Contains(s.crashes, c) })
		}
		if len(s.crashes) == 0 && now.Sub(s.updated) >= evidenceTTL {
			delete(p.suspects, part)
		}
		for _, crash := range s.crashes {
			used[crash] = true
		}
	}
	p.suspected.Store(len(p.suspects) > 0)
	p.crashes = slices.DeleteFunc(p.crashes, func(c *partCrash) bool { return !used[c] })
}
