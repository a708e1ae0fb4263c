package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// directoryInstance returns an instance of region cairo that is not running, with
// one live instance in each of the given regions.
func directoryInstance(c *qt.C, regions ...string) *Instance {
	f := newFleet(c.TB.(*testing.T))
	instance, err := New(f.settings("cairo"), Options{LogLevel: "info"}, io.Discard)
	c.Assert(err, qt.IsNil)
	var entries []store.Entry
	for _, region := range regions {
		value, err := json.Marshal(roster.Instance{ID: "entry-" + region, Region: region, Zone: region + "-a", CallerAddr: region + ":80", PeerAddr: region + ":81"})
		c.Assert(err, qt.IsNil)
		entries = append(entries, store.Entry{Key: instanceKeyPrefix + "entry-" + region, Value: value, Version: 1})
	}
	instance.roster.Update(entries)
	c.Assert(instance.roster.Deregister(c.Context()), qt.IsNil)
	return instance
}

// putConfig puts a configuration with the routes in force.
func putConfig(c *qt.C, i *Instance, version int, routes ...route) {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "orders"}},
	})
	c.Assert(err, qt.IsNil)
	snapshot, err := platform.DecodeConfig(data, &i.settings.Bounds)
	c.Assert(err, qt.IsNil)
	c.Assert(i.table.Advance(snapshot), qt.IsTrue)
	i.usage.setRoutes(snapshot)
}

// namedRegions returns the regions whose instances the directory names to a caller.
func namedRegions(i *Instance, host, region string) []string {
	var regions []string
	for _, instance := range i.lookup(platform.DirectoryQuery{Host: host, Region: region, Zone: region + "-a"}).instances {
		regions = append(regions, instance.Region)
	}
	slices.Sort(regions)
	return regions
}

// homedRoute returns a route whose requests may run in the given regions only.
func homedRoute(name string, homes ...string) route {
	r := newRoute(name, "safe", "orders")
	r.Homes = homes
	return r
}

// TestDirectoryWithoutCommonHome guards against callers being led to regions that may
// not run their requests because the routes of the host have no home in common.
func TestDirectoryWithoutCommonHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	putConfig(c, i, 1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"), homedRoute("remote", "alex"), newRoute("stock", "safe", "orders"))
	c.Assert(namedRegions(i, host, "cairo"), qt.Not(qt.Contains), "delta")
	c.Assert(namedRegions(i, host, "delta"), qt.DeepEquals, []string{"delta"})
}

// TestDirectoryRoutesThatAreHardlyUsed guards against callers of a region without
// instances being served nowhere because a route that is hardly used has another
// home than all others, and against a route that is used being ignored like that.
func TestDirectoryRoutesThatAreHardlyUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	putConfig(c, i, 1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"))
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
	now := time.Now()
	for range 100 {
		i.usage.record(now, "query")
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
	for range 8 {
		i.usage.record(now, "local")
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
	for range 400 {
		i.usage.record(now, "query")
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
}

// TestDirectoryRouteThatIsGivenHomes guards against callers being led to regions that
// may not run their requests because a route was given its homes while in use, and
// the requests before that were not counted.
func TestDirectoryRouteThatIsGivenHomes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	putConfig(c, i, 1, homedRoute("query", "cairo", "alex"), newRoute("stock", "safe", "orders"))
	now := time.Now()
	for range 200 {
		i.usage.record(now, "query")
		i.usage.record(now, "stock")
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
	putConfig(c, i, 2, homedRoute("query", "cairo", "alex"), homedRoute("stock", "cairo", "delta"))
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
	c.Assert(i.usage.report(now), qt.DeepEquals, map[string]float64{"query": 200, "stock": 200})
}

// TestDirectoryManyUnusedRoutes guards against callers of a region without instances
// being served nowhere for as long as the configuration contains many routes with
// other homes that nobody uses.
func TestDirectoryManyUnusedRoutes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	routes := []route{homedRoute("query", "cairo", "alex")}
	for k := range 100 {
		routes = append(routes, homedRoute(fmt.Sprintf("unused-%d", k), "cairo"))
	}
	putConfig(c, i, 1, routes...)
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
	now := time.Now()
	for range 100 {
		i.usage.record(now, "query")
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
	for k := range 4 {
		i.usage.record(now, routes[k+1].Name)
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
}

// TestDirectoryNeverMisplacesRequests draws configurations, requests and regions at
// random, and guards against any region being named in which more requests than
// tolerated would be misplaced.
func TestDirectoryNeverMisplacesRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	regions := []string{"alex", "delta", "erie"}
	i := directoryInstance(c, regions...)
	version := 0
	rapid.Check(t, func(t *rapid.T) {
		version++
		homes := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.SampledFrom(append(regions, "cairo")), rapid.ID[string]), 1, 6).Draw(t, "homes")
		var routes []route
		for k, list := range homes {
			routes = append(routes, homedRoute(fmt.Sprintf("r-%d-%d", version, k), list...))
		}
		putConfig(c, i, version, routes...)
		requests := rapid.SliceOfN(rapid.IntRange(0, 200), len(homes), len(homes)).Draw(t, "requests")
		now := time.Now()
		total := make(map[string]int) // by region in which they may not run
		homed := 0
		for k, list := range homes {
			for range requests[k] {
				i.usage.record(now, routes[k].Name)
			}
			if len(list) == 0 {
				continue
			}
			homed += requests[k]
			for _, region := range regions {
				if !slices.Contains(list, region) {
					total[region] += requests[k]
				}
			}
		}
		for _, region := range namedRegions(i, host, "cairo") {
			if 20*total[region] > homed {
				t.Fatalf("%d of %d requests with homes are misplaced in %s", total[region], homed, region)
			}
		}
	})
}

// TestDirectoryWithoutConfiguration guards against callers being led to other regions
// by an instance that does not know which requests may run there.
func TestDirectoryWithoutConfiguration(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
	c.Assert(namedRegions(i, host, "alex"), qt.DeepEquals, []string{"alex"})
	putConfig(c, i, 1, newRoute("stock", "safe", "orders"))
	c.Assert(namedRegions(i, "unknown.example", "cairo"), qt.HasLen, 0)
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex", "delta"})
}

// TestDirectoryCountsRequests guards against a directory that does not learn from the
// requests of callers which routes are used.
func TestDirectoryCountsRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"))
	f.startServer("orders", "alex-a", 0)
	n := f.start(f.settings("alex")).waitForServers(1)
	f.eventually("the instance knows itself", func() bool { return strings.Contains(n.directory("alex"), n.settings.CallerAddr) })
	f.Assert(n.directory("cairo"), qt.Not(qt.Contains), n.settings.CallerAddr)
	for k := range 60 {
		f.Assert(n.send(n.request("GET", "/query/", fmt.Sprintf("id-%d", k), "")).status, qt.Equals, http.StatusOK)
	}
	f.Assert(n.directory("cairo"), qt.Contains, n.settings.CallerAddr)
}

// TestDirectoryLearnsFromOtherRegions guards against an instance that receives few
// requests itself and therefore names no region, although instances of other regions
// have seen enough of them.
func TestDirectoryLearnsFromOtherRegions(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"))
	f.startServer("orders", "alex-a", 0)
	busy := f.start(f.settings("alex")).waitForServers(1)
	idle := f.start(f.settings("delta"))
	f.Assert(idle.directory("cairo"), qt.Not(qt.Contains), busy.settings.CallerAddr)
	for k := range 60 {
		f.Assert(busy.send(busy.request("GET", "/query/", fmt.Sprintf("id-%d", k), "")).status, qt.Equals, http.StatusOK)
	}
	f.eventually("the idle instance names the busy one", func() bool { return strings.Contains(idle.directory("cairo"), busy.settings.CallerAddr) })
}

// TestRouteUsage guards against counts that never fade or that other instances never
// learn, and against counts of routes that are no longer configured.
func TestRouteUsage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c)
	putConfig(c, i, 1, homedRoute("a", "alex"), homedRoute("b", "alex"), newRoute("c", "safe", "orders"))
	now := time.Now()
	for range 8 {
		i.usage.record(now, "a")
		i.usage.record(now, "c")
	}
	c.Assert(i.usage.report(now), qt.DeepEquals, map[string]float64{"a": 8})
	i.usage.recordReport(now, "entry-alex", map[string]float64{"a": 2, "b": 4})
	i.usage.recordReport(now, "entry-alex", map[string]float64{"a": 4, "b": 4})
	c.Assert(i.usage.of(now, "a"), qt.Equals, 12.0)
	c.Assert(i.usage.of(now.Add(usageHalfLife), "a"), qt.Equals, 6.0)
	i.usage.record(now.Add(usageHalfLife), "a")
	c.Assert(i.usage.of(now.Add(usageHalfLife), "a"), qt.Equals, 7.0)
	i.usage.recordReport(now.Add(2*maxUsageAge), "entry-delta", nil)
	c.Assert(i.usage.peers, qt.HasLen, 1)
	putConfig(c, i, 2, homedRoute("b", "alex"))
	c.Assert(i.usage.report(now), qt.HasLen, 0)
}

// TestRouteUsageOlderSnapshot guards against requests on a new route not being counted
// because an older configuration, which another goroutine applies at the same time,
// sets the routes to measure last.
func TestRouteUsageOlderSnapshot(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c)
	putConfig(c, i, 1, homedRoute("a", "alex"))
	older := i.table.Current()
	putConfig(c, i, 2, homedRoute("a", "alex"), homedRoute("b", "alex"))
	i.usage.setRoutes(older)
	now := time.Now()
	i.usage.record(now, "b")
	c.Assert(i.usage.of(now, "b"), qt.Equals, 1.0)
}

// TestDirectoryImpossibleReports guards against callers being led to regions that may
// not run their requests, or nowhere, because of numbers in the report of a faulty
// instance that cannot be right.
func TestDirectoryImpossibleReports(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, test := range []struct{ query, local float64 }{
		{-1e300, 0}, {0, -150}, {0, -1e308}, {0, 1e308}, {1e308, 0}, {math.Inf(1), math.Inf(1)}, {math.NaN(), 0}, {0, math.NaN()},
	} {
		i := directoryInstance(c, "alex", "delta")
		putConfig(c, i, 1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"))
		now := time.Now()
		for range 100 {
			i.usage.record(now, "query")
		}
		for _, instance := range []string{"entry-a", "entry-b"} {
			i.usage.recordReport(now, instance, map[string]float64{"query": test.query, "local": test.local})
		}
		c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"}, qt.Commentf("%v", test))
		for range 100 {
			i.usage.record(now, "local")
		}
		c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0, qt.Commentf("%v", test))
	}
}

// TestDirectoryReadsReportsOnce guards against responses of the directory that take
// longer the more instances report, while requests wait for the same counts: once the
// reports are summed, a response reads none of them.
func TestDirectoryReadsReportsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c, "alex", "delta")
	putConfig(c, i, 1, homedRoute("query", "cairo", "alex"), homedRoute("local", "cairo"))
	now := time.Now()
	for k := range 10 {
		i.usage.recordReport(now, fmt.Sprintf("entry-%d", k), map[string]float64{"query": 10})
	}
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
	clear(i.usage.peers)
	c.Assert(namedRegions(i, host, "cairo"), qt.DeepEquals, []string{"alex"})
	i.usage.recordReport(now, "entry-10", nil)
	c.Assert(namedRegions(i, host, "cairo"), qt.HasLen, 0)
}

// TestUsageReportIsBounded guards against a report that grows with the configuration.
func TestUsageReportIsBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := directoryInstance(c)
	var routes []route
	for k := range 3 * maxReportedRoutes {
		routes = append(routes, homedRoute(fmt.Sprintf("r-%d", k), "alex"))
	}
	putConfig(c, i, 1, routes...)
	now := time.Now()
	for k, r := range routes {
		for range k + 1 {
			i.usage.record(now, r.Name)
		}
	}
	report := i.usage.report(now)
	c.Assert(report, qt.HasLen, maxReportedRoutes)
	c.Assert(report[routes[len(routes)-1].Name], qt.Equals, float64(len(routes)))
}
