package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// TestRepeatedRequestThatCrashesServersIsRefused guards against a request that crashes
// each backend server that begins to run it, and comes again and again at any instance:
// without parts that other requests share, it was passed on each time. It is refused
// later than contactDelay after the third crash, also by an instance that has started
// since, with the time until which it is refused. Other requests are served. It doesn't
// run beside tests with large responses: the instances of a process share its heap, and
// shed requests when that is full, with another Retry-After.
func TestRepeatedRequestThatCrashesServersIsRefused(t *testing.T) {
	const (
		crashesKnown, target = 3, "/query/deadly"
		minRetryAfter        = 5 * time.Minute // half of the time for which a request is refused at least
	)
	for kind, service := range map[string]string{"unsafe": "orders", "safe": "orders", "stream": "drafts"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, newRoute("query", kind, service))
			var crashes atomic.Int64
			var servers []*hosting.Server
			for range 6 {
				server := f.startServer(service, "cairo-a", 1)
				server.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
					if r.URL.Path != target {
						return false
					}
					crashes.Add(1)
					server.Crash(crashDowntime)
					panic(http.ErrAbortHandler)
				})
				servers = append(servers, server)
			}
			deadlyArrivals := func() int {
				count := 0
				for _, server := range servers {
					for _, arrival := range server.Arrivals() {
						if arrival.Target == target {
							count++
						}
					}
				}
				return count
			}
			instances := []*testInstance{f.start(f.settings("cairo")).waitForServers(6), f.start(f.settings("cairo")).waitForServers(6)}
			instances = append(instances, f.start(f.settings("alex")))
			for _, n := range instances {
				f.eventually("live instances", func() bool { return len(n.roster.Live()) == len(instances) })
			}
			sent := 0
			repeat := func(n *testInstance) response {
				sent++
				got := n.send(n.request("POST", target, fmt.Sprintf("deadly-%d", sent), "deadly"))
				time.Sleep(300 * time.Millisecond)
				return got
			}
			for deadline := time.Now().Add(waitTimeout); crashes.Load() < crashesKnown; {
				f.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d crashes", crashes.Load()))
				repeat(instances[sent%len(instances)])
			}
			for late := time.Now().Add(contactDelay); time.Now().Before(late); {
				repeat(instances[sent%len(instances)])
			}
			before := deadlyArrivals()
			settings := f.settings("cairo")
			settings.Seeds = []string{settings.PeerAddr, instances[0].settings.PeerAddr}
			instances = append(instances, f.start(settings).waitForServers(6))
			for range 3 * len(instances) {
				got := repeat(instances[sent%len(instances)])
				f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				f.Check(err, qt.IsNil)
				f.Check(retryAfter > minRetryAfter.Seconds(), qt.IsTrue, qt.Commentf("Retry-After %v s: %s", retryAfter, got.body))
			}
			f.Check(deadlyArrivals(), qt.Equals, before)
			// Servers stay ejected until a sound request has probed them.
			for _, n := range instances {
				f.eventually("sound request is served", func() bool {
					sent++
					return n.send(n.request("POST", "/query/sound", fmt.Sprintf("sound-%d", sent), "deadly")).status == http.StatusOK
				})
			}
		})
	}
}
