package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

func TestEntryPermitsOnlyTheHomeRegionOfWork(t *testing.T) {
	c := qt.New(t)
	snapshot := &catalog.Snapshot{Services: map[string]*catalog.Service{"desk": {
		Name: "desk", Regions: []string{"cairo", "alex"}, Default: "stock",
		Work: map[string]catalog.Work{"stock": {Name: "stock"}, "ministry": {Name: "ministry", Home: "cairo"}},
	}}}
	for _, test := range []struct {
		query   string
		status  int
		regions []string
	}{
		{"service=desk&work=ministry", http.StatusOK, []string{"cairo"}},
		{"service=desk", http.StatusOK, []string{"cairo", "alex"}},
		{"service=desk&work=unknown", http.StatusNotFound, nil},
	} {
		values, err := url.ParseQuery(test.query)
		c.Assert(err, qt.IsNil)
		permits, status := regionFilter(snapshot, values)
		c.Assert(status, qt.Equals, test.status)
		var regions []string
		for _, region := range []string{"cairo", "alex", "delta"} {
			if permits != nil && permits(region) {
				regions = append(regions, region)
			}
		}
		c.Assert(regions, qt.DeepEquals, test.regions)
	}
}

// The response of an instance that has not joined yet, or that drains, lists only
// other instances.
func TestEntryOmitsUnjoinedAndDrainingInstance(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{
		settings: Settings{Instance: "self", Region: "cairo"}, peers: &peerTable{}, table: &catalog.Table{},
		entryService: entryService{selector: &entry.Selector{}},
	}
	d.peers.replace([]listing.Instance{{ID: "other", Region: "cairo"}})
	count := func() int {
		w := httptest.NewRecorder()
		d.handleEntry(w, httptest.NewRequest(http.MethodGet, entry.Path+"?region=cairo", http.NoBody))
		var response entry.Response
		c.Assert(json.Unmarshal(w.Body.Bytes(), &response), qt.IsNil)
		return len(response.Instances)
	}
	c.Assert(count(), qt.Equals, 1)
	d.joined.Store(true)
	c.Assert(count(), qt.Equals, 2)
	d.draining.Store(true)
	c.Assert(count(), qt.Equals, 1)
}
