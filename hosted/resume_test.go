package hosted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

const versionedEvents = 5 // of a complete stream

// versionStream is an override that sends a stream whose events tell a version. If onBreak
// is set, a stream that resumes no other one calls it after the second event and breaks.
func versionStream(version string, onBreak func()) hosting.Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := last + 1; n <= versionedEvents; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
			if onBreak != nil && last == 0 && n == 2 {
				_ = http.NewResponseController(w).Flush()
				onBreak()
				panic(http.ErrAbortHandler)
			}
		}
		return true
	}
}

// startVersion starts a backend server of a version of the service drafts.
func (f *fleet) startVersion(zone, version string, onBreak func()) *hosting.Server {
	server := f.startServer("drafts", zone, versionedEvents)
	server.SetOverride(versionStream(version, onBreak))
	f.store.Put(platform.ServerPrefix+server.ID, strings.Replace(server.Entry("drafts", zone, "ready"), `"version":"v1"`, `"version":"`+version+`"`, 1))
	return server
}

// stream sends a request, one for the rest of a stream if last is not empty.
func (n *testInstance) stream(id, resumes, last string) response {
	req := n.request(http.MethodPost, "/drafts/", id, id)
	req.Header.Set("Resumes", resumes)
	req.Header.Set("Last-Event-Id", last)
	return n.send(req)
}

var eventVersion = regexp.MustCompile(`v\d`)

// versionsOf returns the version of each event of a stream.
func versionsOf(got response) []string { return eventVersion.FindAllString(got.body, -1) }

// TestStreamContinuesAtItsVersion guards against a broken stream that goes on at another
// version than the one that began it, be it that the instance that serves it, here or in
// another region, continues it, or that its caller takes it up, once and again.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		zone     string
		attempts int
		takeUps  []string // last event of each
	}{
		"here":                  {"cairo-a", 2, nil},
		"other region":          {"alex-a", 2, nil},
		"take-up":               {"cairo-a", 1, []string{"2", "3"}},
		"take-up, other region": {"alex-a", 1, []string{"2", "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := newStreamRoute("drafts")
			r.Attempts = test.attempts
			f.configure(1, r)
			for _, version := range []string{"v1", "v2", "v1", "v2"} {
				f.startVersion(test.zone, version, func() {})
			}
			n, seen := f.startFor(test.zone, 4)[0], make(map[string]bool)
			for k := range 40 {
				id := fmt.Sprint("id-", k)
				versions := versionsOf(n.stream(id, "", ""))
				seen[versions[0]] = true
				for _, last := range test.takeUps {
					versions = append(versions, versionsOf(n.stream(id+"-"+last, id, last))...)
				}
				f.Check(len(versions) >= versionedEvents, qt.IsTrue)
				f.Check(versions, qt.DeepEquals, slices.Repeat(versions[:1], len(versions)))
			}
			f.Check(seen, qt.HasLen, 2)
		})
	}
}

// TestBrokenStreamContinuesInOtherRegion guards against a stream that goes on at another
// version in another region, and against one that is cut although its version is there.
func TestBrokenStreamContinuesInOtherRegion(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		versions []string // of the servers in alex
		silent   bool     // the instance there is of a build that knows no versions
		events   int
	}{
		"both versions":  {[]string{"v2", "v1", "v2"}, false, versionedEvents},
		"other version":  {[]string{"v2"}, false, 2},
		"older instance": {[]string{"v2", "v1"}, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, newStreamRoute("drafts"))
			server := f.startVersion("cairo-a", "v1", nil)
			n := f.start(f.settings("cairo")).waitForServers(1)
			for _, version := range test.versions {
				f.startVersion("alex-a", version, nil)
			}
			settings := f.settings("alex")
			addr := settings.PeerAddr
			if test.silent {
				addr = f.startSilentPeer(settings.PeerAddr, "v2")
			}
			f.startBehind(settings, addr).waitForServers(len(test.versions))
			f.eventually("servers and instance in alex", func() bool {
				return !slices.ContainsFunc(test.versions, func(version string) bool { return !n.hasVersion("drafts", origin.VersionOf("drafts", version)) })
			})
			server.SetOverride(versionStream("v1", func() {
				f.store.Delete(platform.ServerPrefix + server.ID)
				f.eventually("server has left", func() bool { return len(n.registry.Servers("drafts")) == 0 })
			}))
			got := n.stream("id", "", "")
			f.Check(versionsOf(got), qt.DeepEquals, slices.Repeat([]string{"v1"}, test.events))
			f.Check(got.err == nil, qt.Equals, test.events == versionedEvents)
		})
	}
}

// startSilentPeer starts a proxy for an instance of an older build. It answers forwarded
// requests with events of a version, whichever is required, and does not tell which.
func (f *fleet) startSilentPeer(addr, version string) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(filters.HopOriginHeader) == "" {
			proxy.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Trailer", outcome.Header)
		versionStream(version, nil)(w, r)
		w.Header().Set(outcome.Header, outcome.Served.String())
	}))
	f.Cleanup(server.Close)
	f.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// TestUnknownTakeUp guards against a stream of unknown version that goes on at any of two
// versions, and against refusals where only one version can have begun it.
func TestUnknownTakeUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	first := f.startVersion("cairo-a", "v1", nil)
	n := f.start(f.settings("cairo")).waitForServers(1)
	// Before the key with the versions has been written, others may have left.
	f.eventually("versions known", func() bool { return n.onlyVersion("drafts") == origin.VersionOf("drafts", "v1") })
	for _, resumes := range []string{"gone", "", strings.Repeat("x", 9<<10)} {
		f.Check(versionsOf(n.stream("id-1", resumes, "2")), qt.DeepEquals, []string{"v1", "v1", "v1"})
	}
	second := f.startVersion("cairo-a", "v2", nil)
	n.waitForServers(2)
	before := len(first.Arrivals())
	for _, resumes := range []string{"other", "", strings.Repeat("x", 9<<10)} {
		f.checkNotRun(n.stream("id-2", resumes, "2"), outcome.CodeUnknownStream)
	}
	f.Check(len(first.Arrivals())+len(second.Arrivals()), qt.Equals, before)
	// The take-up above has recorded its version, whose only server leaves.
	f.Check(versionsOf(n.stream("id-3", "gone", "2")), qt.DeepEquals, []string{"v1", "v1", "v1"})
	f.register(first, "drafts", "cairo-a", "draining")
	f.eventually("server leaves", func() bool { return !n.hasLocalVersion("drafts", origin.VersionOf("drafts", "v1")) })
	f.checkNotRun(n.stream("id-4", "gone", "2"), outcome.CodeNoBackend)
}

func (f *fleet) checkNotRun(got response, code outcome.Code) {
	f.Helper()
	f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(got.body, qt.Contains, string(code))
	retryAfter, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	f.Check(retryAfter >= 1, qt.IsTrue, qt.Commentf("%v", retryAfter))
}

// TestHopNamesVersion guards against an instance that serves a forwarded request with
// another version than the one it names, or one that names none with any version, and
// against a version that is told to the caller.
func TestHopNamesVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	for _, version := range []string{"v1", "v2", "v1"} {
		f.startVersion("cairo-a", version, nil)
	}
	n := f.start(f.settings("cairo")).waitForServers(3)
	for range 10 {
		got := n.forward("id", "Last-Event-Id", "2", filters.HopVersionHeader, origin.VersionOf("drafts", "v2").String())
		f.Check(versionsOf(got), qt.DeepEquals, []string{"v2", "v2", "v2"})
		f.Check(got.header.Get(relay.VersionHeader), qt.Equals, origin.VersionOf("drafts", "v2").String())
	}
	for _, version := range []string{"", "v2", origin.VersionOf("drafts", "v3").String(), origin.Ambiguous.String()} {
		got := n.forward("id", "Last-Event-Id", "2", filters.HopVersionHeader, version)
		f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		f.Check(got.header.Get(outcome.Header), qt.Equals, outcome.NotRun.String())
	}
	f.Check(n.stream("id-2", "", "").header.Get(relay.VersionHeader), qt.Equals, "")
}
