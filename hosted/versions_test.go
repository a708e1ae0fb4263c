package hosted

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

const draftsVersionsKey = versionsPrefix + "drafts"

// newVersionsFleet returns a fleet whose service "drafts" has resumable streams.
func newVersionsFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.configure(1, resumableRoute())
	return f
}

func resumableRoute() route {
	r := newRoute("chat", "stream", "drafts")
	r.Resumable = true
	return r
}

// listVersion starts a server of the service "drafts" with a version.
func (f *fleet) listVersion(version, zone string) *hosting.Server {
	s := hosting.NewServer(version+"-"+zone, 2)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	f.store.Put(platform.ServerPrefix+s.ID, strings.Replace(s.Entry("drafts", zone, "ready"), `"v1"`, strconv.Quote(version), 1))
	return s
}

func (f *fleet) removeServer(s *hosting.Server) { f.store.Delete(platform.ServerPrefix + s.ID) }

func draftsVersions(texts ...string) []origin.Version {
	var list []origin.Version
	for _, text := range texts {
		list = append(list, origin.VersionOf("drafts", text))
	}
	return list
}

// awaitKey waits until the key of the service "drafts" has the given versions.
func (f *fleet) awaitKey(versions ...string) {
	f.Helper()
	f.eventually("key "+strings.Join(versions, " "), func() bool {
		document, err := decodeVersions([]byte(f.store.Value(draftsVersionsKey)))
		return err == nil && slices.Equal(document.Versions, versions)
	})
}

// awaitPossible waits until the versions are the possible ones at an instance.
func (n *testInstance) awaitPossible(versions ...origin.Version) {
	n.f.Helper()
	n.f.eventually("possible versions", func() bool { return slices.Equal(n.versions.possible("drafts"), versions) })
}

// shortenVersions shortens how long versions stay after their last server has left. margin
// exceeds maxMissingTime, for which only the instances of a server's region still count it.
func (n *testInstance) shortenVersions(ttl, margin time.Duration) {
	n.versions.mu.Lock()
	defer n.versions.mu.Unlock()
	n.versions.ttl, n.versions.margin = ttl, margin
}

// TestDepartedVersionIsKnownAfterRestart guards against a stream that is continued at another
// version, because all instances that knew of its own one have ended. It checks too that the
// only version ever is the only possible one.
func TestDepartedVersionIsKnownAfterRestart(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t)
	old := f.listVersion("v1", "alex-a")
	first := f.start(f.settings("cairo"))
	f.awaitKey("v1")
	first.awaitPossible(draftsVersions("v1")...)
	first.stop()
	<-first.done

	second := f.start(f.settings("cairo"))
	second.awaitPossible(draftsVersions("v1")...)
	f.Check(f.store.WriteCalls(draftsVersionsKey), qt.Equals, 1)
	f.listVersion("v2", "cairo-a")
	f.awaitKey("v1", "v2")
	f.removeServer(old)
	second.stop()
	<-second.done

	third := f.startUnready(f.settings("cairo"), "", io.Discard)
	f.eventually("departed version", func() bool {
		possible := third.versions.possible("drafts")
		departed := slices.Contains(possible, draftsVersions("v1")[0])
		f.Assert(departed || slices.Contains(possible, origin.Ambiguous), qt.IsTrue, qt.Commentf("%v", possible))
		return departed
	})
	third.awaitPossible(draftsVersions("v1", "v2")...)
	third.versions.mu.Lock()
	defer third.versions.mu.Unlock()
	f.Check(third.versions.services["drafts"].listed, qt.DeepEquals, []string{"v2"})
}

// TestUnknownVersionsAreAmbiguous guards against a version that counts as the only one while
// the key is missing or unreadable.
func TestUnknownVersionsAreAmbiguous(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t)
	f.store.RefuseWrites(versionsPrefix)
	f.store.Put(draftsVersionsKey, `{"versions":17}`)
	f.listVersion("v1", "cairo-a")
	n := f.start(f.settings("cairo")).waitForServers(1)
	unknown := append(draftsVersions("v1"), origin.Ambiguous)
	f.Check(n.versions.possible("drafts"), qt.DeepEquals, unknown)
	f.store.Delete(draftsVersionsKey)
	f.eventually("removal", func() bool { _, ok := n.mirror.Get(draftsVersionsKey); return !ok })
	f.Check(n.versions.possible("drafts"), qt.DeepEquals, unknown)
	f.store.RefuseWrites("")
	n.awaitPossible(draftsVersions("v1")...)
}

// TestOneInstanceWritesVersions guards against a write of each instance when a version is
// released or has left.
func TestOneInstanceWritesVersions(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t)
	old := f.listVersion("v1", "cairo-a")
	const count = 10
	var instances []*testInstance
	for k := range count {
		settings := f.settings([]string{"cairo", "alex"}[k%2])
		n := f.startUnready(settings, settings.PeerAddr, io.Discard)
		n.shortenVersions(time.Second, 2*maxMissingTime)
		instances = append(instances, n)
	}
	f.awaitKey("v1")
	for _, n := range instances {
		f.eventually("all listed", func() bool { return len(n.roster.Live()) == count })
	}
	started := f.store.WriteCalls(draftsVersionsKey)
	f.listVersion("v2", "alex-a")
	f.awaitKey("v1", "v2")
	f.removeServer(old)
	f.awaitKey("v2")
	for _, n := range instances {
		n.awaitPossible(draftsVersions("v2")...)
	}
	time.Sleep(2 * versionsRetryDelay)
	calls := f.store.WriteCalls(draftsVersionsKey)
	f.Logf("%d instances: %d write calls at the start, %d for a release and a removal", count, started, calls-started)
	f.Check(started <= 2, qt.IsTrue)
	f.Check(calls-started <= 3, qt.IsTrue)
	for _, n := range instances {
		n.stop()
	}
}

// TestVersionIsRecordedBeforeItsStreams guards against streams that begin at a version that
// an instance which starts then does not know, while servers of another version are free.
func TestVersionIsRecordedBeforeItsStreams(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t)
	f.listVersion("v1", "cairo-a")
	n := f.start(f.settings("cairo")).waitForServers(1)
	f.awaitKey("v1")
	next := hosting.NewServer("next", 2)
	f.Cleanup(next.Close)
	recorded := make(chan bool, 1)
	next.SetOverride(func(http.ResponseWriter, *http.Request) bool {
		select {
		case recorded <- strings.Contains(f.store.Value(draftsVersionsKey), "v2"):
		default:
		}
		return false
	})
	f.store.Put(platform.ServerPrefix+next.ID, strings.Replace(next.Entry("drafts", "cairo-a", "ready"), `"v1"`, `"v2"`, 1))
	f.eventually("stream at v2", func() bool {
		f.Assert(n.send(n.request("POST", "/chat/", "x", "x")).status, qt.Equals, http.StatusOK)
		return len(recorded) > 0
	})
	f.Check(<-recorded, qt.IsTrue)
}

// TestVersionServesWhileKeyCannotBeWritten guards against servers without requests because
// the store refuses to record their version.
func TestVersionServesWhileKeyCannotBeWritten(t *testing.T) {
	t.Parallel()
	for _, away := range []string{"writes refused", "store down", "only version"} {
		t.Run(away, func(t *testing.T) {
			t.Parallel()
			f := newVersionsFleet(t)
			old := f.listVersion("v1", "cairo-a")
			n := f.start(f.settings("cairo")).waitForServers(1)
			f.awaitKey("v1")
			f.store.RefuseWrites(versionsPrefix)
			next := f.listVersion("v2", "cairo-a")
			n.waitForServers(2)
			switch away {
			case "store down":
				f.store.SetDown(true)
			case "only version":
				f.store.Put(platform.ServerPrefix+old.ID, old.Entry("drafts", "cairo-a", "draining"))
			}
			began := time.Now()
			f.eventually("stream at v2", func() bool {
				f.Assert(n.send(n.request("POST", "/chat/", "x", "x")).status, qt.Equals, http.StatusOK)
				return len(next.Arrivals()) > 0
			})
			f.Check(time.Since(began) < maxVersionHold+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			f.Check(f.store.Value(draftsVersionsKey), qt.Equals, `{"versions":["v1"]}`)
		})
	}
}

// TestRegionThatCannotBeAsked guards against a version that counts as the only one although
// the instances of a region that is cut off may follow the store and use another one.
func TestRegionThatCannotBeAsked(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t)
	f.listVersion("v1", "cairo-a")
	n, other := f.start(f.settings("cairo")), f.start(f.settings("alex"))
	f.awaitKey("v1")
	n.awaitPossible(draftsVersions("v1")...)
	f.eventually("other region", func() bool {
		n.versions.mu.Lock()
		defer n.versions.mu.Unlock()
		return len(n.versions.regions) == 2
	})
	f.store.SetDown(true)
	f.eventually("outage", func() bool { return n.mirror.Outage() > 0 })
	n.awaitPossible(draftsVersions("v1")...)
	other.stop()
	n.awaitPossible(append(draftsVersions("v1"), origin.Ambiguous)...)
}
