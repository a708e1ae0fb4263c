package routing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// RegionSummary is the load of one service in a region, as reported to other
// regions.
type RegionSummary struct {
	Region      string
	Service     string
	Servers     int           // healthy servers that accept requests
	Slots       int           // slots of these servers
	FreeSlots   int           // free slots of these servers, less those that waiting requests take
	Wait        time.Duration // least expected wait of these servers: for a slot and for pending prompts
	Hold        time.Duration // median time that a request holds a slot; 0: unknown
	PrefillRate float64       // median, in tokens per second; 0: unknown
	// EventInterval is the median over the servers of the mean interval between the events
	// of recent streams; 0 if there were none.
	EventInterval time.Duration
	At            time.Time // time of measurement, by the clock of the instance that uses the summary
	// Since is the time at which the first summary of the current series was
	// measured, by the same clock as At. A series ends with a gap longer than
	// maxSummaryGap. SummaryTable sets it.
	Since time.Time `json:"-"`
}

// maxSummaryGap is the time between two summaries above which the region counts as
// having been unreachable in between.
const maxSummaryGap = defaultMaxAge

// Summaries holds the newest summaries of the other regions. Its methods are
// safe for concurrent use and do no I/O.
type Summaries interface {
	// Summary returns the newest summary of a service in a region.
	Summary(region, service string) (RegionSummary, bool)
}

// SummaryTable is a Summaries in memory. The component that receives summaries of
// other regions adds them with Put. The zero value is empty.
type SummaryTable struct {
	mu        sync.RWMutex
	summaries map[summaryKey]RegionSummary
}

type summaryKey struct{ region, service string }

// Put stores a summary unless one with the same or a later time is stored already.
// At must be in terms of the clock of this instance: the time of receipt minus the
// age that was sent with the summary.
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
	if ok && s.At.Sub(old.At) <= maxSummaryGap {
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

// All returns all summaries in no particular order.
func (t *SummaryTable) All() []RegionSummary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.summaries))
}

// Summarize returns the summary of a service in this region. It visits all servers
// of the service and is meant to be called about once a second.
func (r *Router) Summarize(service string) RegionSummary {
	now := r.now()
	summary := RegionSummary{Region: r.Region, Service: service, At: now}
	req := &Request{}
	var rates []float64
	var holds, intervals []time.Duration
	var wait time.Duration
	for _, server := range r.Registry.Servers(service) {
		if !r.usable(now, req, server) {
			continue
		}
		slots := server.UsableSlots(max(server.GoodSlots(now), 1))
		summary.Servers++
		summary.Slots += slots
		summary.FreeSlots += max(0, slots-server.Occupied())
		rates = append(rates, expectedRate(now, server))
		holds = append(holds, server.HoldTime())
		if interval := server.EventInterval(now); interval > 0 {
			intervals = append(intervals, interval)
		}
		w := serverWait(now, server)
		if rate, limited := server.RateLimit(); limited {
			w += time.Duration(float64(time.Second) / rate)
		}
		if summary.Servers == 1 || w < wait {
			wait = w
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		summary.PrefillRate = rates[len(rates)/2]
		slices.Sort(holds)
		summary.Hold = holds[len(holds)/2]
	}
	if len(intervals) > 0 {
		slices.Sort(intervals)
		summary.EventInterval = intervals[len(intervals)/2]
	}
	summary.Wait = wait
	if r.Waiting != nil {
		summary.FreeSlots = max(0, summary.FreeSlots-r.Waiting(service))
	}
	return summary
}

// expectedRate returns the prefill rate of a server that requests of any rank expect.
func expectedRate(now time.Time, server *backend.Server) float64 {
	return server.ExpectedPrefillRate(now, learnedMaxAge[catalog.Urgent])
}

func serverWait(now time.Time, server *backend.Server) time.Duration {
	wait := slotWait(server, server.GoodSlots(now), float64(server.Occupied())) + prefillTime(server.PendingPrefill(catalog.Batch), expectedRate(now, server))
	return wait + server.Delay(now, wait)
}
