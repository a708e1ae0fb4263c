package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// An answer has outlived a crash of another server once it has gone on for
	// survivalMargin plus survivalFactor times the time from the beginning of the other
	// answer to the crash, as servers differ in speed.
	survivalMargin = time.Second
	survivalFactor = 2
	// survivorRefresh is how old the record of a surviving answer gets before it is renewed.
	survivorRefresh = servedTTL / 2
	// maxSurvivors is the number of surviving answers that are kept for a request: several,
	// as each counts only until its server crashes.
	maxSurvivors = 4
)

// survivor is an answer to a whole request that a server has gone on with. A request that
// crashes servers crashes each of them at about the same point of its answer. So an answer
// that goes on far beyond a crash shows that the crash had another cause, unless its own
// server crashes.
type survivor struct {
	server uint64        // backend.Server.Key
	time   time.Duration // since the answer began, in whole milliseconds, as in reports
	at     time.Time     // of the observation
}

// outlives reports whether the answer has gone on far beyond a crash some time after the
// beginning of another answer.
func (v survivor) outlives(after time.Duration) bool {
	return v.time >= survivalMargin+survivalFactor*after
}

// valid reports whether the survivor still counts as evidence.
func (s *suspectPart) valid(now time.Time, v survivor) bool {
	return now.Sub(v.at) < servedTTL && !slices.ContainsFunc(s.crashes, func(c *partCrash) bool {
		return c.server == v.server && !c.at.Before(v.at)
	})
}

// longestSurvivor returns the valid survivor with the longest time.
func (s *suspectPart) longestSurvivor(now time.Time) (longest survivor, found bool) {
	for _, v := range s.survivors {
		if s.valid(now, v) && (!found || v.time > longest.time) {
			longest, found = v, true
		}
	}
	return longest, found
}

// standing returns the crashes that no answer has outlived.
func (s *suspectPart) standing(now time.Time) []*partCrash {
	longest, found := s.longestSurvivor(now)
	if !found {
		return s.crashes
	}
	var crashes []*partCrash
	for _, crash := range s.crashes {
		if !longest.outlives(s.after[crash]) {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// recordAfter records the time from the beginning of an answer to a crash, and reports
// whether that is news. Of several answers of one server the oldest reached the point of the
// crash first.
func (s *suspectPart) recordAfter(crash *partCrash, after time.Duration) bool {
	if after <= s.after[crash] {
		return false
	}
	if s.after == nil {
		s.after = make(map[*partCrash]time.Duration)
	}
	s.after[crash] = after
	return true
}

// recordSurvivor records an answer that goes on, and reports whether that refutes further
// crashes or renews what does.
func (s *suspectPart) recordSurvivor(now time.Time, v survivor) bool {
	if !s.valid(now, v) {
		return false
	}
	before, found := s.longestSurvivor(now)
	standing := len(s.standing(now))
	s.survivors = slices.DeleteFunc(s.survivors, func(old survivor) bool { return !s.valid(now, old) })
	k := slices.IndexFunc(s.survivors, func(old survivor) bool { return old.server == v.server })
	switch {
	case k < 0:
		s.survivors = append(s.survivors, v)
	case v.time >= s.survivors[k].time:
		s.survivors[k] = v
	}
	slices.SortFunc(s.survivors, func(a, b survivor) int { return cmp.Compare(b.time, a.time) })
	s.survivors = s.survivors[:min(len(s.survivors), maxSurvivors)]
	longest, _ := s.longestSurvivor(now)
	return len(s.standing(now)) < standing || found && longest.at.Sub(before.at) >= survivorRefresh
}
