package listing_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/listing"
	standin "github.com/fuchsiastack/fuchsiastack/standin/platform"
)

// Checks that an unchanged list is not transferred again, and that the next call
// after a change returns the new list.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	platform := standin.New(0)
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		platform.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		w.Header().Set("ETag", recorder.Header().Get("ETag"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := listing.New(server.URL)
	ctx := context.Background()
	for step, want := range []int{1, 1, 2, 2} {
		if step%2 == 0 {
			platform.Put(standin.Server{ID: string(rune('a' + step)), Region: "cairo", Addr: "10.0.0.1:80"})
		}
		servers, err := client.Servers(ctx, "cairo")
		c.Assert(err, qt.IsNil)
		c.Assert(servers, qt.HasLen, want)
	}
	c.Assert(statuses, qt.DeepEquals, []int{200, 304, 200, 304})
}

// TestOddEntryHidesNoOther guards against an instance that stops following a list
// because one entry of it cannot be read. Each odd entry is reported once.
func TestOddEntryHidesNoOther(t *testing.T) {
	c := qt.New(t)
	odd := []string{
		`null`, `7`, `[]`, `{}`, `{"id":7}`, `{"id":"a","addr":"10.0.0.1:99999"}`, `{"id":"b","addr":"10.0.0.1:80:90"}`,
		`{"id":"c","addr":"10.0.0.1:80","slots":-1}`, `{"id":"d","addr":"10.0.0.1:80","slots":1e400}`,
		`{"id":"e\r\n","addr":"10.0.0.1:80"}`, `{"id":"f","addr":"10.0.0.1:80","x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,"started":"x"}`,
		`{"id":"g","addr":"10.0.0.1:80","started":1e19}`,
	}
	oddInstances := []string{`null`, `7`, `{}`, `{"id":7}`, `{"id":"a","peer_addr":"10.0.0.1:0"}`, `{"id":"b","control_addr":"x"}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"servers":[{"id":"first","addr":"10.0.0.1:80","slots":8},%s,{"id":"last","addr":"10.0.0.2:80"}],
		 "instances":[{"id":"first","peer_addr":"10.0.0.1:80"},%s,{"id":"last"}]}`, strings.Join(odd, ","), strings.Join(oddInstances, ","))
	}))
	defer server.Close()
	client := listing.New(server.URL)
	rejectedServers, rejectedInstances := 0, 0
	client.RejectedServer = func(string, error) { rejectedServers++ }
	client.RejectedInstance = func(string, error) { rejectedInstances++ }
	for range 3 {
		servers, err := client.Servers(t.Context(), "cairo")
		c.Assert(err, qt.IsNil)
		c.Assert(servers, qt.HasLen, 2)
		c.Assert(servers[0].ID+servers[1].ID, qt.Equals, "firstlast")
		instances, err := client.Instances(t.Context(), "cairo")
		c.Assert(err, qt.IsNil)
		c.Assert(instances, qt.HasLen, 2)
	}
	c.Assert(rejectedServers, qt.Equals, len(odd))
	c.Assert(rejectedInstances, qt.Equals, len(oddInstances))
}
