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

// noHints is a Reader of headers that tell nothing.
type noHints struct{}

// Read implements Reader.
func (noHints) Read(*Exchange) (time.Duration, error) { return 0, nil }

// TestPatienceCountsFromTheArrival guards against work for callers that have left:
// what is added to their patience here comes on top of the way to another region.
func TestPatienceCountsFromTheArrival(t *testing.T) {
	c := qt.New(t)
	work := catalog.Work{Name: "query", Streamed: true, Patience: 6 * time.Second}
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
	refusal := Match{Reader: noHints{}}.Handle(x, func(*Exchange) *outcome.Error { return nil })
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(x.FirstBy.Sub(x.Received), qt.Equals, 6*time.Second)
	c.Assert(x.Deadline.Sub(x.Received), qt.Equals, 12*time.Second)
}
