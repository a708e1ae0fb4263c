package capacity

import "time"

const (
	// evidenceTTL is the age above which the evidence of another instance is not used: a
	// few intervals of the exchange between instances.
	evidenceTTL = 500 * time.Millisecond
	// maxSources bounds the instances whose evidence is kept.
	maxSources = 64
	// reportedMisses is the least weight of misses that is reported to other instances.
	reportedMisses = 0.3
)

// evidence returns the evidence of this instance and of those that report to it. cells
// selects whether that which others have collected from further instances is included.
func (e *Estimator) evidence(now time.Time, cells bool) Evidence {
	e.decay(now)
	all := e.own
	for source, r := range e.others {
		switch {
		case now.Sub(r.at) > evidenceTTL:
			delete(e.others, source)
		case cells || !r.cell:
			all.Add(r.Evidence)
		}
	}
	return all
}

// Report is what an instance tells another one of a server.
type Report struct {
	Limit
	Evidence
}

// Report returns what other instances need to know, and false if that is nothing: there
// are no recent misses, and the limit is back at the nominal slots.
func (e *Estimator) Report(now time.Time, nominal int) (Report, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := Report{e.limit, e.evidence(now, false)}
	limited := e.limit.Version > 0 && now.Sub(e.limit.At) < releaseTime<<maxReleases &&
		(e.limit.Ceiling == 0 || e.slots(now, nominal) < nominal)
	return report, limited || report.Misses >= reportedMisses
}

// Merge adds what another instance has reported. cell reports whether its evidence
// includes that of further instances.
func (e *Estimator) Merge(now time.Time, source string, cell bool, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Limit.valid() && r.newer(e.limit) {
		e.setLimit(r.Limit)
	}
	if !r.Evidence.valid() || r.Count == 0 || r.Version != e.limit.Version {
		return // evidence about another limit
	}
	if e.others == nil {
		e.others = make(map[string]received)
	}
	if _, known := e.others[source]; known || len(e.others) < maxSources {
		e.others[source] = received{r.Evidence, now, cell}
	}
}
