package hosted

import (
	"encoding/json"
	"io"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

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
		value, err := json.Marshal(roster.Instance{ID: "entry-" + region, Region: region, Zone: region + "-a", CallerAddr: region + ":80"})
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
}

// namedRegions returns the regions whose instances the directory names to a caller.
func namedRegions(i *Instance, host, region string) []string {
	instances, _ := i.lookup(platform.DirectoryQuery{Host: host, Region: region, Zone: region + "-a"})
	var regions []string
	for _, instance := range instances {
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
