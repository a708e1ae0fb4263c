package filters

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// noHintsReader is a HeaderReader that finds no hints and no timeout.
type noHintsReader struct{}

// Read implements HeaderReader.
func (noHintsReader) Read(*Exchange) (time.Duration, error) { return 0, nil }

// TestFirstEventTimeoutCountsFromArrival guards against running requests of
// callers that have disconnected. Their first-event timeout must be counted
// from arrival: any time added to it here comes on top of the time for
// forwarding to another region.
func TestFirstEventTimeoutCountsFromArrival(t *testing.T) {
	c := qt.New(t)
	work := catalog.Work{Name: "query", Streamed: true, FirstEventTimeout: 6 * time.Second}
	route := &catalog.Route{
		Name: "query", Host: "desk.example", Prefix: "/query/", Timeout: 12 * time.Second,
		Targets: []catalog.RouteTarget{{Service: "drafts", Weight: 1}},
	}
	snapshot := &catalog.Snapshot{
		Services: map[string]*catalog.Service{"drafts": {Name: "drafts", Work: map[string]catalog.Work{"query": work}}},
		Routes:   catalog.NewRoutes([]*catalog.Route{route}),
	}
	req := httptest.NewRequest(http.MethodPost, "/query/", http.NoBody)
	req.Host = "desk.example"
	x := &Exchange{Request: req, Snapshot: snapshot, Received: time.Now()}
	refusal := Match{Reader: noHintsReader{}}.Handle(x, func(*Exchange) *outcome.Error { return nil })
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(x.FirstEventDeadline.Sub(x.Received), qt.Equals, 6*time.Second)
	c.Assert(x.Deadline.Sub(x.Received), qt.Equals, 12*time.Second)
}

// TestTimeoutIsAtMostOneMinute guards against a change of what callers wait for: it is
// the shortest of the caller's timeout, that of the route, and one minute, which also
// cuts a longer timeout of a route.
func TestTimeoutIsAtMostOneMinute(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ caller, route, want time.Duration }{
		{0, 0, time.Minute},
		{0, 2 * time.Minute, time.Minute},
		{2 * time.Minute, 3 * time.Minute, time.Minute},
		{0, 12 * time.Second, 12 * time.Second},
		{5 * time.Second, 2 * time.Minute, 5 * time.Second},
	} {
		c.Check(shortestTimeout(test.caller, test.route), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// TestResumeSelectsService guards against the rest of a stream of a split route that is
// requested from the other service, or from any if each of them has one version.
func TestResumeSelectsService(t *testing.T) {
	t.Parallel()
	a, b := origin.VersionOf("a", "v1"), origin.VersionOf("b", "v1")
	work := catalog.Work{Name: "r", Streamed: true, Resumable: true}
	services := make(map[string]*catalog.Service)
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/r/"}
	for _, name := range []string{"a", "b"} {
		services[name] = &catalog.Service{Name: name, Work: map[string]catalog.Work{"r": work}}
		route.Targets = append(route.Targets, catalog.RouteTarget{Service: name, Weight: 1})
	}
	snapshot := &catalog.Snapshot{Services: services, Routes: catalog.NewRoutes([]*catalog.Route{route})}
	for _, test := range []struct {
		local, remote origin.Version
		want          string // service or reason of the refusal
	}{{a, 0, "a"}, {b, 0, "b"}, {0, b, "b"}, {origin.Ambiguous, b, "resume:no_server_of_version"}, {0, 0, "resume:unknown_stream"}} {
		refusals := &recorder{}
		f := Resume{
			FindLocal: func(origin.Key) (origin.Version, origin.Source) { return test.local, "" },
			Find:      func(context.Context, origin.Key) (origin.Version, origin.Source) { return test.remote, "" },
			Possible:  func(service string) []origin.Version { return []origin.Version{origin.VersionOf(service, "v1")} },
			HasServer: func(service string, version origin.Version) bool { return version == origin.VersionOf(service, "v1") },
			Observer:  refusals,
		}
		req := httptest.NewRequest(http.MethodPost, "http://h/r/", http.NoBody)
		x := &Exchange{Request: req, Snapshot: snapshot, Service: services["a"], Work: work, Path: "/r/", TakesUp: true, Resumes: "id"}
		_ = f.Handle(x, func(x *Exchange) *outcome.Error {
			refusals.reasons = append(refusals.reasons, x.Service.Name)
			return nil
		})
		qt.Check(t, refusals.reasons, qt.DeepEquals, []string{test.want})
	}
}
