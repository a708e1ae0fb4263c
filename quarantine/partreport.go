package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a report.
const (
	maxReportedParts = 64
	maxReportCrashes = maxReportedParts * maxCrashesPerPart
)

// PartReport is what an instance has seen of parts that were in flight in crashes.
// Times are ages, as the clocks of instances differ.
type PartReport struct {
	Version uint64            `json:"version"`
	Crashes []PartReportCrash `json:"crashes,omitempty"`
	Parts   []PartReportPart  `json:"parts,omitempty"`
}

// PartReportCrash is the crash of one server.
type PartReportCrash struct {
	Server uint64 `json:"server"`
	AgeMS  int64  `json:"age-ms"`
}

// PartReportPart is the evidence for and against one part.
type PartReportPart struct {
	Part        PartID `json:"part"`
	Crashes     []int  `json:"crashes,omitempty"` // indices of PartReport.Crashes
	Served      bool   `json:"served,omitempty"`
	ServedAgeMS int64  `json:"served-age-ms,omitempty"`

	// Of a whole request: the times from the beginning of its answer to each of Crashes, if
	// any is above 0, and the answer that has gone on for the longest time.
	AfterMS  []int64             `json:"after-ms,omitempty"`
	Survivor *PartReportSurvivor `json:"survivor,omitempty"`
}

// PartReportSurvivor is an answer that a server went on with.
type PartReportSurvivor struct {
	Server uint64 `json:"server"`
	TimeMS int64  `json:"time-ms"` // since the answer began
	AgeMS  int64  `json:"age-ms"`  // of the observation
}

// Report returns what has changed since the version of an earlier report, 0 for all.
// It returns nil if nothing has. If much has changed, a later call returns the rest.
func (p *Parts) Report(now time.Time, since uint64) *PartReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == since {
		return nil
	}
	if since > p.version {
		since = 0 // of an earlier process of this instance
	}
	report := &PartReport{Version: p.version}
	index := make(map[*partCrash]int)
	for _, part := range p.changedSince(since) {
		if len(report.Parts) == maxReportedParts {
			break
		}
		s := p.suspects[part]
		entry := PartReportPart{Part: part}
		for _, crash := range s.crashes {
			if _, found := index[crash]; !found {
				index[crash] = len(report.Crashes)
				report.Crashes = append(report.Crashes, PartReportCrash{crash.server, now.Sub(crash.at).Milliseconds()})
			}
			entry.Crashes = append(entry.Crashes, index[crash])
			if len(s.after) > 0 {
				entry.AfterMS = append(entry.AfterMS, s.after[crash].Milliseconds())
			}
		}
		if s.cleared(now) {
			entry.Served, entry.ServedAgeMS = true, now.Sub(s.servedAt).Milliseconds()
		}
		if best, found := s.longestSurvivor(now); found {
			entry.Survivor = &PartReportSurvivor{best.server, best.time.Milliseconds(), now.Sub(best.at).Milliseconds()}
		}
		report.Parts = append(report.Parts, entry)
		if len(report.Parts) == maxReportedParts {
			report.Version = s.version
		}
	}
	return report
}

// changedSince returns the suspects that have changed since a version, in the order
// of their last changes.
func (p *Parts) changedSince(version uint64) []PartID {
	var parts []PartID
	for part, s := range p.suspects {
		if s.version > version {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b PartID) int { return cmp.Compare(p.suspects[a].version, p.suspects[b].version) })
	return parts
}

// Merge adds what another instance has seen. Of a report that is larger than those of
// Report it ignores the rest.
func (p *Parts) Merge(now time.Time, report *PartReport) {
	age := func(ms int64) time.Time { return now.Add(-milliseconds(ms)) }
	p.mu.Lock()
	crashes := make([]*partCrash, min(len(report.Crashes), maxReportCrashes))
	for i, c := range report.Crashes[:len(crashes)] {
		crashes[i] = p.crash(age(c.AgeMS), c.Server)
	}
	for _, entry := range report.Parts[:min(len(report.Parts), maxReportedParts)] {
		for k, i := range entry.Crashes[:min(len(entry.Crashes), maxCrashesPerPart)] {
			if i < 0 || i >= len(crashes) {
				continue
			}
			after := time.Duration(0)
			if k < len(entry.AfterMS) {
				after = milliseconds(entry.AfterMS[k])
			}
			p.suspect(now, entry.Part, crashes[i], after)
		}
		if entry.Served {
			p.clear(entry.Part, age(entry.ServedAgeMS))
		}
		if s := p.suspects[entry.Part]; s != nil && !s.cleared(now) && entry.Survivor != nil &&
			s.recordSurvivor(now, survivor{entry.Survivor.Server, milliseconds(entry.Survivor.TimeMS), age(entry.Survivor.AgeMS)}) {
			p.changed(s)
		}
	}
	p.limitServed()
	decisions := p.decide(now)
	p.mu.Unlock()
	p.report(decisions)
}

// milliseconds returns a time that another instance has reported, cut to what matters.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), evidenceTTL.Milliseconds())) * time.Millisecond
}
