package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// decide updates the states of all suspects, and returns the changes.
func (p *Parts) decide(now time.Time) []PartDecision {
	p.decidedAt = now
	p.expire(now)
	causes := p.causes(now)
	refused := make(map[PartID]refusal)
	var decisions []PartDecision
	for part, s := range p.suspects {
		state := s.state
		cause, found := causes[part]
		switch {
		case found:
			state, refused[part] = PartQuarantined, cause
		case s.cleared(now):
			if state != PartUnknown {
				state = PartCleared
			}
		case len(s.crashes) >= suspectCrashes:
			state = PartSuspect
		}
		if s.state != state && len(s.crashes) > 0 {
			decisions = append(decisions, PartDecision{
				Part: part, State: state, Server: s.crashes[len(s.crashes)-1].server,
				Crashes: len(s.crashes), Age: now.Sub(s.crashes[0].at),
			})
		}
		s.state = state
		if s.cleared(now) {
			s.crashes, s.after, s.survivors = nil, nil, nil
		}
	}
	p.refused.Store(&refused)
	return decisions
}

// refusal is the quarantine of a part.
type refusal struct {
	until time.Time
	// with are the parts that were in flight in exactly the same few crashes. As any
	// of them may be the cause, only requests that have all of them are refused.
	with []PartID
}

// causes returns the parts that are the cause of enough crashes. A part is none if
// causes with more crashes explain all of its crashes: one crash without them shows
// that it is a further cause.
func (p *Parts) causes(now time.Time) map[PartID]refusal {
	var candidates []PartID
	for part, s := range p.suspects {
		if !s.cleared(now) && incidents(s.standing(now)) >= verdictIncidents {
			candidates = append(candidates, part)
		}
	}
	slices.SortFunc(candidates, func(a, b PartID) int {
		return cmp.Compare(len(p.suspects[b].crashes), len(p.suspects[a].crashes))
	})
	causes := make(map[PartID]refusal)
	explained := make(map[*partCrash]bool)
	for len(candidates) > 0 {
		count := len(p.suspects[candidates[0]].crashes)
		var found []*partCrash
		for len(candidates) > 0 && len(p.suspects[candidates[0]].crashes) == count {
			part := candidates[0]
			candidates = candidates[1:]
			crashes := p.suspects[part].crashes
			until := crashes[count-1].at.Add(verdictTTL + p.RetryDelay)
			if !allExplained(crashes, explained) && now.Before(until) {
				causes[part] = refusal{until: until}
				found = append(found, crashes...)
			}
		}
		for _, crash := range found {
			explained[crash] = true
		}
	}
	p.joinCauses(causes)
	return causes
}

// joinCauses joins the parts that have exactly the same crashes, if they are few.
func (p *Parts) joinCauses(causes map[PartID]refusal) {
	for part, cause := range causes {
		if incidents(p.suspects[part].crashes) >= joinedIncidents {
			continue
		}
		for other := range causes {
			if other != part && slices.Equal(p.suspects[part].crashes, p.suspects[other].crashes) {
				cause.with = append(cause.with, other)
			}
		}
		causes[part] = cause
	}
}

// incidents returns the number of incidents among crashes, which are in order of
// time.
func incidents(crashes []*partCrash) int {
	count := 0
	var last time.Time
	for _, crash := range crashes {
		if count == 0 || crash.at.Sub(last) >= incidentGap {
			count++
			last = crash.at
		}
	}
	return count
}

func allExplained(crashes []*partCrash, explained map[*partCrash]bool) bool {
	for _, crash := range crashes {
		if !explained[crash] {
			return false
		}
	}
	return true
}
