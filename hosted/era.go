package hosted

import (
	"bytes"
	"encoding/json"
	"maps"
	"time"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// applyEra applies a new era of the store, as soon as any response names it: leases of the
// earlier era grant nothing from then on, the keys are listed again, and this instance
// registers itself again.
func (i *Instance) applyEra(era uint64) {
	leases := i.serverLeases.keeper.EnterEra(era)
	i.roster.EnterEra(era)
	i.mirror.LearnEra(era)
	i.observer.StoreEraLearned(era, leases)
}

const (
	// evacuationGrace is how long a zone stays evacuated whose evacuation is missing after
	// a change of era. The operator writes what was lost again; until then the servers of
	// the zone must receive nothing. A zone whose evacuation had ended just then only stays
	// unused for longer.
	evacuationGrace = 10 * time.Second
	// removedTime is how long the entry of a server that was removed is remembered. It is
	// longer than the age of the copy from which the store returns.
	removedTime = time.Minute
	// maxRemoved limits the remembered entries.
	maxRemoved = 4096
)

// evacuation is the evacuation of an availability zone.
type evacuation struct {
	revision store.Revision // of its entry
	until    time.Time      // when it ends, as the entry was lost with its era; zero if the entry exists
}

// lostWithEra reports whether the evacuation of a zone, whose entry is missing, goes on as
// the entry was not in the copy from which the store has returned.
func (s *servers) lostWithEra(now time.Time, zone string, known *evacuation) bool {
	if known.until.IsZero() {
		removal, ok := s.instance.mirror.Removal(platform.EvacuatePrefix + zone)
		if !ok || removal.Era <= known.revision.Era {
			return false
		}
		known.until = now.Add(evacuationGrace)
		s.instance.log.Warn().Str("event", "evacuation_kept").Str("zone", zone).Dur("for", evacuationGrace).Msg("")
	}
	return now.Before(known.until)
}

// evacuationEnds reports whether an evacuation that was kept has ended. s.mu is held.
func (s *servers) evacuationEnds(now time.Time) bool {
	for _, known := range s.evacuated {
		if !known.until.IsZero() && !now.Before(known.until) {
			return true
		}
	}
	return false
}

// covers reports whether the entry is the one of a server as read in the store. In a new
// era, an entry of the copy has its earlier revision. The same process of the server writes
// entries with rising heartbeats: one with a lower heartbeat, from the copy, does not
// replace what is known, such as that the server drains.
func (e *serverEntry) covers(listed store.Entry) bool {
	if e.revision == listed.Revision() {
		return true
	}
	if e.revision.Era == listed.Era {
		return false
	}
	if e.revision.Number == listed.Version && bytes.Equal(e.value, listed.Value) {
		return true
	}
	var heartbeat struct {
		Sequence uint64 `json:"seq"`
		Started  int64  `json:"born"`
	}
	return json.Unmarshal(listed.Value, &heartbeat) == nil && e.Started != 0 && heartbeat.Started == e.Started &&
		heartbeat.Sequence < e.Sequence
}

// removedEntry is the entry of a server that was removed.
type removedEntry struct {
	entry *serverEntry
	at    time.Time
}

// remember records that an entry was removed, unless it may only be missing in the copy from
// which the store has returned. s.mu is held.
func (s *servers) remember(now time.Time, key string, entry *serverEntry) {
	maps.DeleteFunc(s.removed, func(_ string, r removedEntry) bool { return now.Sub(r.at) > removedTime })
	removal, ok := s.instance.mirror.Removal(key)
	if ok && removal.Era == entry.revision.Era && len(s.removed) < maxRemoved {
		s.removed[key] = removedEntry{entry, now}
	}
}

// isRemoved reports whether a listed entry was removed in an earlier era and is listed only
// because the store has returned from an older copy. s.mu is held.
func (s *servers) isRemoved(now time.Time, listed store.Entry) bool {
	removed, ok := s.removed[listed.Key]
	if !ok {
		return false
	}
	back := listed.Era > removed.entry.revision.Era && now.Sub(removed.at) <= removedTime &&
		listed.Version == removed.entry.revision.Number && bytes.Equal(listed.Value, removed.entry.value)
	if !back {
		delete(s.removed, listed.Key)
		return false
	}
	s.removed[listed.Key] = removedEntry{removed.entry, now} // for as long as it is listed
	return true
}
