package hosted

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

var resumableWork = catalog.Work{Name: "query", Streamed: true, Resumable: true}

// began records the beginning of a stream at an instance and returns its key.
func (n *testInstance) began(id string, version origin.Version) origin.Key {
	n.origins.streamBegan(&filters.Exchange{ID: id, Work: resumableWork}, version, false)
	return origin.KeyOf("", resumableWork.Name, id)
}

// eventuallyKnows waits until an instance knows the origin of a stream without asking.
func (n *testInstance) eventuallyKnows(key origin.Key, want origin.Version) {
	n.f.Helper()
	n.f.eventually("origin known", func() bool {
		version, _ := n.origins.findLocal(key)
		return version == want
	})
}

// startKnown starts an instance in each of the regions. They know each other and the
// earlier ones.
func (f *fleet) startKnown(earlier []*testInstance, regions ...string) []*testInstance {
	f.configure(1, newRoute("query", "stream", "drafts"))
	for _, region := range regions {
		earlier = append(earlier, f.start(f.settings(region)))
	}
	for _, n := range earlier {
		f.eventually("all instances known", func() bool { return len(n.roster.Live()) == len(earlier) })
	}
	return earlier
}

// TestStreamOriginSurvivesInstances guards against streams whose version nobody knows once
// the instance that began them, a collector, or all instances of its region are lost.
func TestStreamOriginSurvivesInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	links := make(map[string]*thinlink.Link)
	var cairo []*testInstance
	for range 3 {
		settings, link := f.settings("cairo"), thinlink.New(1e9)
		f.Cleanup(link.Close)
		addr, err := link.Inbound(settings.PeerAddr)
		f.Assert(err, qt.IsNil)
		links[settings.Instance] = link
		cairo = append(cairo, f.startBehind(settings, addr))
	}
	all := f.startKnown(cairo, "alex", "giza")
	backup, third := all[3], all[4]
	if membership.Rendezvous([]string{"alex", "giza"}, "cairo", 1)[0] == "giza" {
		backup, third = third, backup
	}
	keepers := collector.Keepers(ids(backup.roster.InRegion("cairo")))
	keys := make(map[origin.Key]origin.Version)
	for k, n := range cairo {
		keys[n.began(fmt.Sprintf("r-%d", k), origin.Version(7+k))] = origin.Version(7 + k)
	}
	began := time.Now()
	for _, n := range all {
		if id := n.settings.Instance; id == keepers[0] || id == keepers[1] || n == backup {
			for key, version := range keys {
				n.eventuallyKnows(key, version)
			}
			f.Logf("%s knows all origins after %v", id, time.Since(began))
		}
	}
	check := func(n *testInstance, want ...origin.Source) {
		for key, version := range keys {
			found, source := n.origins.findLocal(key)
			if found == 0 {
				found, source = n.origins.find(context.Background(), key)
			}
			f.Check(found, qt.Equals, version)
			f.Check(want, qt.Contains, source)
		}
	}
	links[keepers[0]].Close()
	all = f.startKnown(all, "cairo", backup.settings.Region)
	check(all[5], origin.SourceRegion, origin.SourceLocal)
	check(all[6], origin.SourceRegion, origin.SourceLocal)
	check(third, origin.SourceOtherRegion)
	for _, n := range cairo {
		check(n, origin.SourceLocal, origin.SourceRegion)
	}
	for _, link := range links {
		link.Close()
	}
	all[5].stop()
	<-all[5].done
	check(third, origin.SourceOtherRegion)
	_, source := third.origins.find(context.Background(), 1)
	f.Check(source, qt.Equals, origin.SourceUnknown)
}

// TestStreamOriginsArrive guards against records that are never sent: those above the bound
// of a message, and those that an instance makes while it drains.
func TestStreamOriginsArrive(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	instances := f.startKnown(nil, "cairo", "cairo")
	var keys []origin.Key
	for k := range 3*originsPerExchange + 5 {
		keys = append(keys, instances[k%2].began(fmt.Sprintf("r-%d", k), 7))
	}
	records, _ := instances[0].origins.since(time.Now(), originNumbers{}, originsPerExchange, true)
	f.Check(records, qt.HasLen, originsPerExchange)
	for _, key := range keys {
		instances[0].eventuallyKnows(key, 7)
		instances[1].eventuallyKnows(key, 7)
	}
	instances[0].stop()
	f.eventually("drain known", func() bool { return len(instances[1].roster.Live()) == 1 && len(instances[0].roster.Live()) == 1 })
	instances[1].eventuallyKnows(instances[0].began("late", 7), 7)
}

// TestStreamsThatAreRecorded guards against take-ups that are recorded as streams of their
// own, and against records of streams that are never continued.
func TestStreamsThatAreRecorded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	i := &Instance{settings: newFleet(t).settings("cairo")}
	i.versions = newVersions(i)
	o := newOrigins(i)
	first, ours := filters.Exchange{ID: "first", Work: resumableWork}, &catalog.Organization{Name: "ours"}
	o.streamBegan(&first, 0, false)
	o.streamBegan(&filters.Exchange{ID: "other", Work: catalog.Work{Name: "query", Streamed: true}}, 7, false)
	o.streamBegan(&filters.Exchange{ID: "other", Work: catalog.Work{Name: "query", Resumable: true}}, 7, false)
	c.Check(o.table.Len(time.Now()), qt.Equals, 0)
	o.streamBegan(&first, 7, false)
	o.streamBegan(&filters.Exchange{ID: "second", Resumes: "first", Work: resumableWork}, 7, false)
	o.streamBegan(&filters.Exchange{ID: "first", Organization: ours, Work: resumableWork}, 8, false)
	c.Check(o.table.Len(time.Now()), qt.Equals, 2)
	key := origin.KeyOf("", "query", "first")
	version, _ := o.findLocal(key)
	c.Check(version, qt.Equals, origin.Version(7))
	o.receive(time.Now(), collector.Remote, origin.Records{{Key: key, Version: 8}})
	version, _ = o.findLocal(key)
	c.Check(version, qt.Equals, origin.Ambiguous)
}

// TestOriginQueryIsChecked guards against answers to queries that name no stream, and
// against lookups without bound.
func TestOriginQueryIsChecked(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.startKnown(nil, "cairo")[0]
	for query, want := range map[string]int{
		"": http.StatusBadRequest, "?key=": http.StatusBadRequest, "?key=-1": http.StatusBadRequest, "?key=x": http.StatusBadRequest,
		"?key=11111111111111111": http.StatusBadRequest, "?key=" + origin.Key(1).String(): http.StatusOK,
	} {
		f.Check(n.status(n.settings.PeerAddr, originPath+query), qt.Equals, want, qt.Commentf("%s", query))
	}
	for range maxLookups {
		n.origins.lookups <- struct{}{}
	}
	start := time.Now()
	_, source := n.origins.find(context.Background(), 1)
	f.Check(source, qt.Equals, origin.SourceUnknown)
	f.Check(time.Since(start) >= lookupTime, qt.IsTrue)
}

// TestChosenVersionDoesNotBindStream guards against a stream that no other instance knows
// until its first event, and against one that goes on at a version whose attempt has failed
// before another version began it.
func TestChosenVersionDoesNotBindStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	failing := f.startVersion("cairo-a", "v1", nil)
	f.startVersion("alex-a", "v3", nil) // a version is chosen among several ones only
	n, other := f.start(f.settings("cairo")).waitForServers(1), f.start(f.settings("cairo")).waitForServers(1)
	f.eventually("both known", func() bool { return len(n.roster.Live()) == 2 && len(other.roster.Live()) == 2 })
	for _, n := range []*testInstance{n, other} {
		f.eventually("two versions", func() bool { return len(n.versions.contested()) == 2 })
	}
	key, wait := origin.KeyOf("", "drafts", "id"), time.Duration(0)
	failing.SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return versionStream("v1", nil)(w, r)
		}
		start := time.Now()
		f.eventually("chosen version known", func() bool { _, known := other.origins.record(key); return known })
		wait = time.Since(start)
		f.startVersion("cairo-a", "v2", func() {})
		n.waitForServers(2)
		other.waitForServers(2)
		panic(http.ErrAbortHandler)
	})
	versions := versionsOf(n.stream("id", "", ""))
	versions = append(versions, versionsOf(other.stream("id-2", "id", "2"))...)
	f.Check(wait > 0 && wait < time.Second, qt.IsTrue, qt.Commentf("%v", wait))
	f.Check(versions, qt.DeepEquals, slices.Repeat([]string{"v2"}, versionedEvents))
}

// TestOtherRegionBeganStream guards against a stream that goes on at a version that was chosen
// for it in a region, although another version has begun it in another region.
func TestOtherRegionBeganStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	all := f.startKnown(nil, "cairo", "cairo", "alex")
	key := all[2].began("r-1", 8)
	all[1].origins.receive(time.Now(), collector.Collector, origin.Records{{Key: key, Version: 7, Provisional: true}})
	version, _ := all[0].origins.find(context.Background(), key)
	f.Check(version, qt.Equals, origin.Version(8))
}
