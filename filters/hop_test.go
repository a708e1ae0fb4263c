package filters

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// TestHopCarriesRemainingServersAndTime checks that the limit on backend servers
// and the caller's first-event timeout do not start anew in another region: the
// forwarded request keeps what is left of both.
func TestHopCarriesRemainingServersAndTime(t *testing.T) {
	c := qt.New(t)
	work := catalog.Work{Name: "query", MaxServers: 3}
	snapshot := &catalog.Snapshot{Services: map[string]*catalog.Service{
		"drafts": {Name: "drafts", Work: map[string]catalog.Work{"query": work}},
	}}
	req := httptest.NewRequest(http.MethodPost, "/query/", http.NoBody)
	for name, value := range map[string]string{
		HopOriginHeader: "entry-1", HopRegionHeader: "cairo", HopServiceHeader: "drafts", HopWorkHeader: "query",
		HopDeadlineHeader: "1000", HopRunsHeader: "1", HopFirstByHeader: "400",
	} {
		req.Header.Set(name, value)
	}
	x := &Exchange{Request: req, Snapshot: snapshot, Received: time.Now()}
	refusal := AcceptHop{Instance: "entry-2", Region: "alex"}.Handle(x, func(*Exchange) *outcome.Error { return nil })
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(x.Work.MaxServers, qt.Equals, 1)
	c.Assert(x.FirstEventDeadline.Sub(x.Received), qt.Equals, 400*time.Millisecond)
	c.Assert(snapshot.Services["drafts"].Work["query"].MaxServers, qt.Equals, 3)
}

// TestHopOfNewerConfiguration guards against a caller getting a final 404 for work that
// exists, because its request was forwarded to an instance with an older configuration.
func TestHopOfNewerConfiguration(t *testing.T) {
	c := qt.New(t)
	snapshot := &catalog.Snapshot{Services: map[string]*catalog.Service{"drafts": {Name: "drafts"}}}
	for _, service := range []string{"drafts", "orders"} {
		req := httptest.NewRequest(http.MethodPost, "/query/", http.NoBody)
		for name, value := range map[string]string{
			HopOriginHeader: "entry-1", HopRegionHeader: "cairo", HopServiceHeader: service, HopWorkHeader: "query", HopDeadlineHeader: "1000",
		} {
			req.Header.Set(name, value)
		}
		x := &Exchange{Request: req, Snapshot: snapshot, Received: time.Now()}
		refusal := AcceptHop{Instance: "entry-2", Region: "alex"}.Handle(x, func(*Exchange) *outcome.Error { return nil })
		c.Assert(refusal, qt.IsNotNil)
		c.Assert(refusal.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(refusal.Code, qt.Equals, outcome.CodeNotReady)
		c.Assert(refusal.Outcome, qt.Equals, outcome.NotRun)
	}
}
