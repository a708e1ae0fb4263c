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
		}
		if s.cleared(now) {
			entry.Served, entry.ServedAgeMS = true, now.Sub(s.servedAt).Milliseconds()
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
	age := func(ms int64) time.Time {
		return now.Add(-min(max(time.Duration(ms)*time.Millisecond, 0), evidenceTTL))
	}
	p.mu.Lock()
	crashes := make([]*partCrash, min(len(report.Crashes), maxReportCrashes))
	for i, c := range report.Crashes[:len(crashes)] {
		crashes[i] = p.crash(age(c.AgeMS), c.Server)
	}
	for _, entry := range report.Parts[:min(len(report.Parts), maxReportedParts)] {
		for _, i := range entry.Crashes[:min(len(entry.Crashes), maxCrashesPerPart)] {
			if i >= 0 && i < len(crashes) {
				p.suspect(now, entry.Part, crashes[i])
			}
		}
		if entry.Served {
			p.clear(entry.Part, age(entry.ServedAgeMS))
		}
	}
	p.limitServed()
	decisions := p.decide(now)
	p.mu.Unlock()
	p.report(decisions)
}
