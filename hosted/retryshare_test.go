package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// newIdle returns an instance that does not run: it knows what is applied to its copy of
// the store.
func (f *fleet) newIdle(settings *platform.Settings) *Instance {
	instance, err := New(settings, Options{LogLevel: "info", Heap: f.heap}, io.Discard)
	f.Assert(err, qt.IsNil)
	return instance
}

// list applies a listing of the store that contains the entries of the given instances.
func (i *Instance) list(c *qt.C, revision uint64, instances ...*Instance) {
	var changes []store.Change
	for _, other := range instances {
		value, err := json.Marshal(other.roster.Self)
		c.Assert(err, qt.IsNil)
		changes = append(changes, store.Change{Entry: store.Entry{Key: instanceKeyPrefix + other.roster.Self.ID, Value: value, Version: revision}})
	}
	i.mirror.Apply(changes, store.Revision{Number: revision})
}

// retryAll makes requests of which every attempt fails, and returns the number of retries.
func retryAll(requests int, instances ...*Instance) int {
	retries := 0
	for _, i := range instances {
		for range requests {
			i.retry.RecordFirstAttempt(time.Now(), "orders")
			for i.retry.TakeRetry(time.Now(), "orders") {
				retries++
			}
		}
	}
	return retries
}

// newIdleInstances returns instances with the retry bounds of a deployment.
func (f *fleet) newIdleInstances(count int) []*Instance {
	var instances []*Instance
	for range count {
		settings := f.settings("cairo")
		settings.Bounds.RetryRatio, settings.Bounds.RetryBurst = 0.2, 50
		instances = append(instances, f.newIdle(settings))
	}
	return instances
}

// TestInstancesThatStartTogetherShareRetryBurst guards against retries beyond the burst that
// all instances have together. It comes about when many instances start at once: before
// their registrations are listed, each knows only itself, and takes the whole burst.
func TestInstancesThatStartTogetherShareRetryBurst(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	const requests = 20 // at each instance, before the listing and again after it
	instances := f.newIdleInstances(10)
	bounds := instances[0].settings.Bounds
	retries := retryAll(requests, instances...)
	for k, i := range instances { // the registrations appear one after the other
		i.list(f.C, uint64(k+1), instances[:k+1]...)
		retries += retryAll(requests, i)
	}
	allowed := bounds.RetryBurst + bounds.RetryRatio*float64(2*requests*len(instances))
	f.Assert(float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %v allowed", retries, allowed))
	f.Assert(retries > 0, qt.IsTrue)
}

// TestListingOfPreviousProcess guards against a restarted instance that takes the
// registration of its previous process, which expires later, for its own: that listing
// lacks the instances that were restarted together with it.
func TestListingOfPreviousProcess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	i := f.newIdleInstances(1)[0]
	previous := &Instance{roster: &roster.Roster{Self: i.roster.Self}}
	previous.roster.Self.Started -= 60_000
	i.list(f.C, 1, previous)
	f.Assert(i.listed.Load(), qt.IsFalse)
	i.list(f.C, 2, i)
	f.Assert(i.listed.Load(), qt.IsTrue)
}

// TestForwardedRequestEarnsOneRetry guards against retries beyond the ratio of all instances
// together. It comes about when a request runs in another region than the caller's: the
// instances of both regions would earn a fraction of a retry with it.
func TestForwardedRequestEarnsOneRetry(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("orders", "safe", "orders"))
	f.startServer("orders", "alex-a", 0)
	var instances []*testInstance
	for _, region := range []string{"cairo", "alex"} {
		settings := f.settings(region)
		settings.Bounds.RetryRatio, settings.Bounds.RetryBurst = 0.2, 50
		instances = append(instances, f.start(settings))
	}
	instances[1].waitForServers(1)
	f.eventually("live instance in alex", func() bool { return len(instances[0].roster.InRegion("alex")) == 1 })
	const requests = 16
	for k := range requests {
		got := instances[0].send(instances[0].request("GET", "/orders/", fmt.Sprintf("id-%d", k), ""))
		f.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	retries := 0
	for _, n := range instances {
		for n.retry.TakeRetry(time.Now(), "orders") {
			retries++
		}
	}
	f.Assert(retries, qt.Equals, 3) // of 16 requests times 0.2
}
