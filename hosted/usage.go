package hosted

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

const (
	// usageHalfLife is the age at which a request counts half. It is long compared
	// with the time in which callers of a region move to another one.
	usageHalfLife = time.Minute
	// maxUsageAge is the age of another instance's report at which it is dropped:
	// the instance is gone, and its requests hardly count any more.
	maxUsageAge = 5 * usageHalfLife
	// maxReportedRequests is far above what an instance can receive. A report with
	// larger numbers is wrong.
	maxReportedRequests = 1e9
	// maxReportedRoutes limits the size of a report to the routes used most.
	maxReportedRoutes = 64
)

// routeUsage measures how much callers use each route: here and, for routes whose
// requests may not run in every region, at instances of other regions, which report
// it. It is safe for concurrent use.
type routeUsage struct {
	mu       sync.Mutex
	revision uint64                  // of the snapshot that routes and homed are from
	routes   map[string]decayedCount // by name of the route; has an entry for every route
	homed    map[string]bool         // routes whose requests may not run in every region
	peers    map[string]usageReport  // by instance

	// reported is the sum of the reports of peers at reportedAt, by name of the
	// route; nil if a report has changed since it was computed.
	reported   map[string]float64
	reportedAt time.Time
}

// decayedCount is a number of requests at a time. Older requests count less.
type decayedCount struct {
	count float64
	at    time.Time
}

func (d decayedCount) value(now time.Time) float64 {
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(usageHalfLife))
}

// usageReport is what another instance has reported.
type usageReport struct {
	requests map[string]float64 // by name of the route
	at       time.Time
}

// setRoutes sets the routes to measure: those of the snapshot. Routes without homes
// are measured too, as they may be given homes while they are in use. A snapshot of a
// lower revision than the last one is ignored: the goroutines that apply changes of
// the store may call setRoutes in any order.
func (u *routeUsage) setRoutes(snapshot *catalog.Snapshot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if snapshot.Revision < u.revision {
		return
	}
	u.revision = snapshot.Revision
	last := u.routes
	u.routes, u.homed = make(map[string]decayedCount), make(map[string]bool)
	for host, routes := range snapshot.Routes {
		for _, route := range routes {
			u.routes[route.Name] = last[route.Name]
		}
		for _, route := range snapshot.HomedRoutes(host) {
			u.homed[route.Name] = true
		}
	}
}

// record counts a request on a route.
func (u *routeUsage) record(now time.Time, route string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if count, measured := u.routes[route]; measured {
		u.routes[route] = decayedCount{count.value(now) + 1, now}
	}
}

// recordReport replaces the report of another instance. Numbers that no instance can
// have counted are dropped.
func (u *routeUsage) recordReport(now time.Time, instance string, requests map[string]float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peers == nil {
		u.peers = make(map[string]usageReport)
	}
	maps.DeleteFunc(requests, func(_ string, count float64) bool { return !(count > 0 && count <= maxReportedRequests) })
	u.peers[instance], u.reported = usageReport{requests, now}, nil
	maps.DeleteFunc(u.peers, func(_ string, r usageReport) bool { return now.Sub(r.at) > maxUsageAge })
}

// of returns the recent requests on a route, here and at the instances that have
// reported.
func (u *routeUsage) of(now time.Time, route string) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reported == nil {
		u.sumReports(now)
	}
	return u.routes[route].value(now) + decayedCount{u.reported[route], u.reportedAt}.value(now)
}

// sumReports computes reported. u.mu is held.
func (u *routeUsage) sumReports(now time.Time) {
	u.reported, u.reportedAt = make(map[string]float64), now
	for _, report := range u.peers {
		for route, count := range report.requests {
			u.reported[route] += decayedCount{count, report.at}.value(now)
		}
	}
}

// report returns the recent requests that this instance has received on routes whose
// requests may not run in every region, for at most maxReportedRoutes routes.
func (u *routeUsage) report(now time.Time) map[string]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	requests := make(map[string]float64)
	for route := range u.homed {
		if value := math.Round(u.routes[route].value(now)); value > 0 {
			requests[route] = value
		}
	}
	if len(requests) <= maxReportedRoutes {
		return requests
	}
	least := slices.SortedFunc(maps.Keys(requests), func(a, b string) int { return cmp.Compare(requests[a], requests[b]) })
	for _, route := range least[:len(least)-maxReportedRoutes] {
		delete(requests, route)
	}
	return requests
}

// countRoute is a filter that counts the requests of callers by route.
type countRoute struct{ usage *routeUsage }

// Name implements filters.Filter.
func (countRoute) Name() string { return "count-route" }

// Handle implements filters.Filter.
func (f countRoute) Handle(x *filters.Exchange, next filters.Handler) *outcome.Error {
	f.usage.record(x.Received, x.Work.Name)
	return next(x)
}
