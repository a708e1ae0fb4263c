package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

// startLinked starts an instance whose connections to the store and from other instances pass
// over the link. To others, it is as lost as a killed one once the link is closed.
func (f *fleet) startLinked(region string) (*testInstance, *thinlink.Link) {
	settings, link := f.settings(region), thinlink.New(1e9)
	f.Cleanup(link.Close)
	addr, err := link.Inbound(settings.PeerAddr)
	f.Assert(err, qt.IsNil)
	settings.StoreAddr, err = link.Outbound(f.store.Addr())
	f.Assert(err, qt.IsNil)
	settings.Bounds.GracePeriod = time.Second
	return f.startBehind(settings, addr), link
}

// newStreamsFleet returns a fleet with resumable streams that are attempted once.
func newStreamsFleet(t *testing.T) *fleet {
	f, r := newFleet(t), newStreamRoute("drafts")
	r.Attempts = 1
	f.configure(1, r)
	return f
}

// TestStreamsAfterAllInstancesAreKilled guards against streams that cannot be taken up, or go
// on at another version, as all instances that knew of them were killed at once.
func TestStreamsAfterAllInstancesAreKilled(t *testing.T) {
	t.Parallel()
	f := newStreamsFleet(t)
	regions := []string{"cairo", "alex"}
	instances, links := []*testInstance{}, []*thinlink.Link{}
	for _, region := range regions {
		f.startVersion(region+"-a", "v1", func() {})
		f.startVersion(region+"-a", "v2", func() {})
		for range 2 {
			n, link := f.startLinked(region)
			instances, links = append(instances, n), append(links, link)
		}
	}
	for _, n := range instances {
		n.waitForServers(2).awaitPossible(draftsVersions("v1", "v2")...)
		f.eventually("all listed", func() bool { return len(n.roster.Live()) == len(instances) })
	}
	streams, seen := make(map[string][]string), make(map[string]bool)
	for k := range 40 {
		id := fmt.Sprint("id-", k)
		streams[id] = versionsOf(instances[k%len(instances)].stream(id, "", ""))
		f.Assert(streams[id], qt.HasLen, 2)
		seen[streams[id][0]] = true
	}
	f.Check(seen, qt.HasLen, 2)
	time.Sleep(time.Second)
	for k, n := range instances {
		links[k].Close()
		n.stop()
	}
	for _, region := range regions {
		n := f.start(f.settings(region)).waitForServers(2)
		for id, began := range streams {
			got := n.stream(id+"-"+region, id, "2")
			f.Check(append(slices.Clone(began), versionsOf(got)...), qt.DeepEquals, slices.Repeat(began[:1], versionedEvents),
				qt.Commentf("%s in %s: %d %s", id, region, got.status, got.body))
		}
	}
}

// TestArchiveIsKeptWhileVersionsDiffer guards against writes to the store for each stream
// while a service has one version, and against records that stay in it.
func TestArchiveIsKeptWhileVersionsDiffer(t *testing.T) {
	t.Parallel()
	f := newStreamsFleet(t)
	f.startVersion("cairo-a", "v1", nil)
	instances := []*testInstance{f.start(f.settings("cairo")).waitForServers(1), f.start(f.settings("cairo")).waitForServers(1)}
	for _, n := range instances {
		n.shortenVersions(time.Second, 2*maxMissingTime)
		n.awaitPossible(draftsVersions("v1")...)
		f.eventually("both listed", func() bool { return len(n.roster.Live()) == 2 })
	}
	count := 0
	streamFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			count++
			f.Assert(instances[count%2].stream(fmt.Sprint("id-", count), "", "").status, qt.Equals, http.StatusOK)
		}
	}
	streamFor(time.Second)
	f.Check(f.store.Keys(originArchivePrefix), qt.HasLen, 0)
	next := f.startVersion("cairo-a", "v2", nil)
	f.eventually("records of streams", func() bool { streamFor(100 * time.Millisecond); return len(f.store.Keys(originArchivePrefix)) > 0 })
	f.store.Delete(platform.ServerPrefix + next.ID)
	f.eventually("removal", func() bool { return len(f.store.Keys(originArchivePrefix)) == 0 })
	streamFor(time.Second)
	f.Check(f.store.Keys(originArchivePrefix), qt.HasLen, 0)
}

// TestUnknownStreamIsRefused guards against callers that ask again and again for a stream
// that is lost, and against a long wait for one that a silent instance may know.
func TestUnknownStreamIsRefused(t *testing.T) {
	t.Parallel()
	for _, silent := range []string{"", "cairo", "alex"} {
		t.Run("silent "+silent, func(t *testing.T) {
			t.Parallel()
			f := newStreamsFleet(t)
			server := f.startVersion("cairo-a", "v1", nil)
			f.startVersion("cairo-a", "v2", nil)
			n := f.start(f.settings("cairo")).waitForServers(2)
			n.awaitPossible(draftsVersions("v1", "v2")...)
			for _, region := range []string{"cairo", "alex"} {
				other, link := f.startLinked(region)
				f.eventually("other known", func() bool { _, known := n.exchanger.find(region, other.settings.Instance); return known })
				if region == silent {
					link.DropAll()
				}
			}
			got := n.stream("id", "gone", "2")
			f.checkNotRun(got, outcome.CodeUnknownStream)
			f.Check(got.header.Get("Retry-After"), qt.Equals, map[bool]string{true: "60.000", false: "1.000"}[silent == ""])
			f.Check(server.Arrivals(), qt.HasLen, 0)
		})
	}
}

// TestBadRecordsAreRefused guards against a message that stops an instance or fills its memory.
func TestBadRecordsAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.startKnown(nil, "cairo")[0]
	send := func(body string) int {
		resp, err := http.Post("http://"+n.settings.PeerAddr+originPath, "application/json", strings.NewReader(body))
		f.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	encode := func(records origin.Records) string { text, _ := json.Marshal(records); return string(text) }
	record := origin.Records{{Key: 1, Version: 7}}
	for _, body := range []string{"", "{", "17", `"?"`, encode(slices.Repeat(record, origin.MaxRecords+1)), strings.Repeat(" ", maxExchangeBytes) + encode(record)} {
		f.Check(send(body), qt.Equals, http.StatusBadRequest, qt.Commentf("%.20s, %d bytes", body, len(body)))
	}
	f.Check(n.origins.table.Len(time.Now()), qt.Equals, 0)
	f.Check(send(encode(record)), qt.Equals, http.StatusOK)
	n.eventuallyKnows(1, 7)
}
