package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/collector"
)

// TestInstancesKnowEachOthersWork checks that every instance of a region knows the prompt
// tokens that the others have sent to a server, that they are forgotten when they are
// computed, and that the loss of the collector changes neither.
func TestInstancesKnowEachOthersWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	f.startServer("drafts", "cairo-a", 1)
	instances := make(map[string]*testInstance)
	var ids []string
	for range 4 {
		n := f.start(f.settings("cairo")).waitForServers(1)
		instances[n.settings.Instance] = n
		ids = append(ids, n.settings.Instance)
	}
	server := func(n *testInstance) *backend.Server { return n.registry.Servers("drafts")[0] }
	check := func() {
		for k, id := range ids {
			attempt := server(instances[id]).StartAttempt(time.Now(), backend.Job{Rank: catalog.Urgent, UncachedTokens: 1000 + k})
			for _, other := range ids {
				f.eventually(fmt.Sprintf("%s knows of the work of %s", other, id), func() bool {
					return server(instances[other]).PendingPrefill(catalog.Batch) == 1000+k
				})
			}
			attempt.FirstToken(time.Now())
			attempt.End(time.Now(), true)
			for _, other := range ids {
				f.eventually(fmt.Sprintf("%s knows of the end of the work of %s", other, id), func() bool {
					return server(instances[other]).PendingPrefill(catalog.Batch) == 0
				})
			}
		}
	}
	check()
	lost := collector.Select(ids)[0]
	instances[lost].stop()
	<-instances[lost].done
	var left []string
	for _, id := range ids {
		if id != lost {
			left = append(left, id)
		}
	}
	ids = left
	check()
}

// TestExchangeIsChecked guards against reports of senders that are not instances of the
// region, and against ones that cannot be right.
func TestExchangeIsChecked(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	f.startServer("drafts", "cairo-a", 1)
	n := f.start(f.settings("cairo")).waitForServers(1)
	other := f.start(f.settings("cairo"))
	f.eventually("both known", func() bool { return len(n.roster.InRegion("cairo")) == 2 })
	known := fmt.Sprintf(`"id":%q,"started":1,"role":"member"`, other.settings.Instance)
	for body, want := range map[string]int{
		"":                              http.StatusBadRequest,
		"[]":                            http.StatusBadRequest,
		`{"role":"member"}`:             http.StatusConflict,
		`{"id":"x","role":"member"}`:    http.StatusConflict,
		`{"id":"x","role":"other"}`:     http.StatusBadRequest,
		`{"id":"x","role":"remote"}`:    http.StatusOK,
		`{` + known + `,"work":"?"}`:    http.StatusBadRequest,
		`{` + known + `,"work":"AAA="}`: http.StatusBadRequest,
		`{` + known + `,"since":-1}`:    http.StatusBadRequest,
		`{` + known + `,"rate-limits":{"x":{"rate":1}}}`:                         http.StatusOK,
		`{` + known + `,"rate-limits":{"x":{"rate":"1"}}}`:                       http.StatusBadRequest,
		`{` + known + `,"rate-limits":{"x":{"rate":1e999}}}`:                     http.StatusBadRequest,
		`{` + known + `,"region":18446744073709551615,"later":1}`:                http.StatusOK,
		`{` + known + `,"id":"` + strings.Repeat("x", maxExchangeBytes+1) + `"}`: http.StatusBadRequest,
	} {
		resp, err := http.Post("http://"+n.settings.PeerAddr+exchangePath, "application/json", strings.NewReader(body))
		f.Assert(err, qt.IsNil)
		resp.Body.Close()
		f.Check(resp.StatusCode, qt.Equals, want, qt.Commentf("%.100s", body))
	}
	resp, err := http.Get("http://" + n.settings.PeerAddr + exchangePath)
	f.Assert(err, qt.IsNil)
	resp.Body.Close()
	f.Check(resp.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
}
