package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// History tracks which versions of a service, by their texts, may have begun a stream that is
// not at its end: those that the servers of a list have or had lately, and those of a record
// that all instances share. It also tells what the record should be. It is not safe for
// concurrent use.
type History struct {
	// TTL is how long streams may go on after the last server of their version has left.
	TTL time.Duration
	// Margin is how much longer a version stays in the record. It exceeds the time between
	// two instances' notice that the last server has left.
	Margin time.Duration

	watched    monotonic.Time // since when the list has been current without a break; 0: it is not
	recordRead bool
	versions   map[string]*sighting
}

// sighting is what is known of a version.
type sighting struct {
	listed    bool           // at the last Observe
	began     monotonic.Time // when it was listed first, unless it had been away for TTL since
	seen      monotonic.Time // when it was listed last; 0: never
	recorded  monotonic.Time // since when the record has it; 0: it has not
	atStartup bool           // the first record that was read had it
}

// Observe sets the versions that are listed. current states that the list is known to be that
// of now, and has been so since the last call.
func (h *History) Observe(now time.Time, listed []string, current bool) {
	at := monotonic.Of(now)
	for _, s := range h.versions {
		if s.listed {
			s.listed, s.seen = false, at
		}
	}
	for _, version := range listed {
		s := h.get(version)
		if !h.isRecent(now, s) {
			s.began = at
		}
		s.listed, s.seen = true, at
	}
	switch {
	case !current:
		h.watched = 0
	case h.watched == 0:
		h.watched = at
	}
	maps.DeleteFunc(h.versions, func(_ string, s *sighting) bool { return s.recorded == 0 && !h.isRecent(now, s) })
}

// SetRecord sets the versions of the record.
func (h *History) SetRecord(now time.Time, versions []string) {
	for version, s := range h.versions {
		if !slices.Contains(versions, version) {
			s.recorded = 0
		}
	}
	for _, version := range versions {
		if s := h.get(version); s.recorded == 0 {
			s.recorded, s.atStartup = monotonic.Of(now), !h.recordRead
		}
	}
	h.recordRead = true
}

func (h *History) get(version string) *sighting {
	s := h.versions[version]
	if s == nil {
		if h.versions == nil {
			h.versions = make(map[string]*sighting)
		}
		s = &sighting{}
		h.versions[version] = s
	}
	return s
}

// isRecent reports whether a version is listed or was so within TTL.
func (h *History) isRecent(now time.Time, s *sighting) bool {
	return s.listed || s.seen != 0 && s.seen.Since(now) <= h.TTL
}

// Possible returns the versions that are recorded, or listed or were so within TTL, sorted.
func (h *History) Possible(now time.Time) []string {
	var versions []string
	for version, s := range h.versions {
		if s.recorded != 0 || h.isRecent(now, s) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Complete reports whether the list has been watched for TTL, so that no other version than
// the Possible ones may have begun a stream, whatever the record says.
func (h *History) Complete(now time.Time) bool {
	return h.watched != 0 && h.watched.Since(now) > h.TTL
}

// Record returns the versions that the record should have, sorted: the ones that are listed or
// were so within TTL, and of the others that it has now those which have not been observed to
// be unlisted for TTL and Margin. Versions that fits rejects and those beyond limit are left
// out; complete is false then.
func (h *History) Record(now time.Time, limit int, fits func(version string) bool) (versions []string, complete bool) {
	complete = true
	var unlisted []string
	for version, s := range h.versions {
		switch {
		case !h.isRecent(now, s) && (s.recorded == 0 || h.hasLeft(now, s)):
		case !fits(version):
			complete = false
		case s.listed:
			versions = append(versions, version)
		default:
			unlisted = append(unlisted, version)
		}
	}
	slices.Sort(versions)
	slices.Sort(unlisted)
	if versions = append(versions, unlisted...); len(versions) > limit {
		versions, complete = versions[:limit], false
	}
	slices.Sort(versions)
	return versions, complete
}

// hasLeft reports whether a version has been seen to be unlisted for TTL and Margin.
func (h *History) hasLeft(now time.Time, s *sighting) bool {
	return !s.listed && h.watched != 0 && max(h.watched, s.seen).Since(now) > h.TTL+h.Margin
}

// Fresh returns the listed versions that have been listed for less than hold and recorded, if
// at all, for less than settle, sorted. Other instances may not know of them yet. A version
// that was recorded before the first SetRecord is not among them.
func (h *History) Fresh(now time.Time, settle, hold time.Duration) []string {
	var versions []string
	for version, s := range h.versions {
		settled := s.recorded != 0 && (s.atStartup || s.recorded.Since(now) >= settle)
		if s.listed && !settled && s.began.Since(now) < hold {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}
