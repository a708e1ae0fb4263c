package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// RegionSummary is what a region tells the others about one of its services.
type RegionSummary struct {
	Region      string
	Service     string
	Servers     int           // that accept new work
	Slots       int           // of these servers
	FreeSlots   int           // of these servers, less those that waiting requests take
	Wait        time.Duration // expected wait for a slot
	Hold        time.Duration // median time that a request holds a slot; 0: unknown
	PrefillRate float64       // median, in tokens per second; 0: unknown
	At          time.Time     // when it was measured, by the clock of the reader
	// Since is when the first of the summaries was measured that have come one after
	// another, by the clock of the reader. A SummaryTable sets it.
	Since time.Time `json:"-"`
}

// summaryBreak is the time between two summaries after which their region counts
// as having been away.
const summaryBreak = defaultMaxAge

// Summaries holds the newest summaries of the other regions. Its methods are
// safe for concurrent use and do no I/O.
type Summaries interface {
	// Summary returns the newest summary of a service in a region.
	Summary(region, service string) (RegionSummary, bool)
}

// SummaryTable is a Summaries that is filled by whoever carries summaries
// between regions. The zero value is empty.
type SummaryTable struct {
	mu        sync.RWMutex
	summaries map[summaryKey]RegionSummary
}

type summaryKey struct{ region, service string }

// Put keeps a summary unless a newer one is known. At must be set by the clock
// of this instance: the time of receipt less the age that came with it.
func (t *SummaryTable) Put(s RegionSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.summaries == nil {
		t.summaries = make(map[summaryKey]RegionSummary)
	}
	key := summaryKey{s.Region, s.Service}
	old, ok := t.summaries[key]
	if ok && !s.At.After(old.At) {
		return
	}
	s.Since = s.At
	if ok && s.At.Sub(old.At) <= summaryBreak {
		s.Since = old.Since
	}
	t.summaries[key] = s
}

// Summary implements Summaries.
func (t *SummaryTable) Summary(region, service string) (RegionSummary, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.summaries[summaryKey{region, service}]
	return s, ok
}

// Summarize returns the summary of a service in this region. Its cost grows
// with the number of servers; it is called about once a second.
func (r *Router) Summarize(service string) RegionSummary {
	now := r.now()
	summary := RegionSummary{Region: r.Region, Service: service, At: now}
	req := &Request{}
	var rates []float64
	var holds []time.Duration
	var wait time.Duration
	for _, server := range r.Registry.Of(service) {
		if !r.usable(now, req, server) {
			continue
		}
		slots := max(server.SlotCount(), 1)
		summary.Servers++
		summary.Slots += slots
		summary.FreeSlots += max(0, slots-server.Occupied())
		rates = append(rates, server.PrefillRate())
		holds = append(holds, server.HoldTime())
		if w := serverWait(server); summary.Servers == 1 || w < wait {
			wait = w
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		summary.PrefillRate = rates[len(rates)/2]
		slices.Sort(holds)
		summary.Hold = holds[len(holds)/2]
	}
	summary.Wait = wait
	if r.Waiting != nil {
		summary.FreeSlots = max(0, summary.FreeSlots-r.Waiting(service))
	}
	return summary
}

func serverWait(server *backend.Server) time.Duration {
	return slotWait(server, float64(server.Occupied())) + prefillTime(server.PendingPrefill(catalog.Batch), server.PrefillRate())
}
