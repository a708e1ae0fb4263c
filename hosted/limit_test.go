package hosted

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// Bounds on the requests that reach a server that names a limit.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitMargin    = 5
	// limitDelay is the time after an instance has relayed a response with the limit
	// from which its requests count.
	limitDelay = 500 * time.Millisecond
	// limitEndTime is the time after the end of the limit within which the server is
	// used as before.
	limitEndTime = 5 * time.Second
)

// limitedTraffic is traffic of several instances. The requests of each have a path of
// its own.
type limitedTraffic struct {
	mu       sync.Mutex
	relayed  map[string]time.Time // first response with a limit, by path and server
	statuses map[int]int
}

// startLimitedTraffic starts callers of each of the instances.
func startLimitedTraffic(instances []*testInstance, callers int) *limitedTraffic {
	l := &limitedTraffic{relayed: make(map[string]time.Time), statuses: make(map[int]int)}
	done := make(chan struct{})
	var group sync.WaitGroup
	for number, n := range instances {
		path := fmt.Sprintf("/stock/%d", number)
		for caller := range callers {
			group.Go(func() {
				for k := 0; ; k++ {
					got := n.send(n.request("GET", path, fmt.Sprintf("n%d-c%d-%d", number, caller, k), ""))
					l.record(path, got)
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
		}
	}
	instances[0].f.Cleanup(func() { close(done); group.Wait() })
	return l
}

// record records a response to a request with the given path.
func (l *limitedTraffic) record(path string, got response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[got.status]++
	if got.header.Get("Server-Limit") == "" {
		return
	}
	_, server, _ := strings.Cut(got.body, " by ")
	if key := path + " " + server; l.relayed[key].IsZero() {
		l.relayed[key] = time.Now()
	}
}

// served returns the statuses of the responses received since the last call.
func (l *limitedTraffic) served() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := maps.Clone(l.statuses)
	clear(l.statuses)
	return statuses
}

// mostInWindow returns the most requests that reached the server within limitWindow
// from instances that had relayed its limit limitDelay before.
func (l *limitedTraffic) mostInWindow(server *hosting.Server) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []time.Time
	for _, arrival := range server.Arrivals() {
		relayed := l.relayed[arrival.Target+" "+server.ID]
		if !relayed.IsZero() && arrival.At.Sub(relayed) >= limitDelay {
			counted = append(counted, arrival.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	first := 0
	for last, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// arrivalsBetween returns the number of requests that reached the server from start
// on and before end.
func arrivalsBetween(server *hosting.Server, start, end time.Time) (count int) {
	for _, arrival := range server.Arrivals() {
		if !arrival.At.Before(start) && arrival.At.Before(end) {
			count++
		}
	}
	return count
}

// TestServerLimitHolds guards against servers that receive far more requests than the
// limit that they name in their responses, since each instance sends what it would
// send anyhow; and against servers that are hardly used, or stay limited once they name
// no limit any more. With another server that names none, no request is refused.
func TestServerLimitHolds(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name            string
		limit           float64
		limited, others int
	}{
		{"one of two servers", 2, 1, 1},
		{"both servers", 3, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testServerLimit(t, test.limit, test.limited, test.others)
		})
	}
}

func testServerLimit(t *testing.T, limit float64, limited, others int) {
	const (
		instanceCount = 3
		settling      = time.Second
		duration      = 9 * time.Second
	)
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	var servers []*hosting.Server
	for range limited + others {
		servers = append(servers, f.startServer("orders", "cairo-a", 0))
	}
	var instances []*testInstance
	for range instanceCount {
		instances = append(instances, f.start(f.settings("cairo")).waitForServers(len(servers)))
	}
	for _, n := range instances {
		f.eventually("all instances", func() bool { return len(n.roster.InRegion("cairo")) == instanceCount })
	}
	traffic := startLimitedTraffic(instances, 4)
	time.Sleep(settling)
	start := time.Now()
	time.Sleep(time.Second)
	usual := make([]int, limited)
	for k, server := range servers[:limited] {
		usual[k] = arrivalsBetween(server, start, start.Add(time.Second))
		f.Assert(usual[k] > 20, qt.IsTrue, qt.Commentf("%d requests in the second before the limit", usual[k]))
		server.SetRateLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	named := time.Now()
	traffic.served()
	time.Sleep(duration)
	statuses := traffic.served()
	end := time.Now()
	for k, server := range servers[:limited] {
		server.SetRateLimit("")
		allowed := int(limitTolerance*limit*limitWindow.Seconds()) + limitMargin
		most := traffic.mostInWindow(server)
		f.Check(most <= allowed, qt.IsTrue, qt.Commentf("server %d: %d requests in %v, allowed %d", k, most, limitWindow, allowed))
		got, least := arrivalsBetween(server, named.Add(limitWindow), end), int(limit*end.Sub(named.Add(limitWindow)).Seconds()/3)
		f.Check(got >= least, qt.IsTrue, qt.Commentf("server %d: %d requests under the limit, at least %d wanted", k, got, least))
	}
	f.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	if others > 0 {
		f.Check(statuses, qt.HasLen, 1, qt.Commentf("statuses under the limit: %v", statuses))
	}
	for k, server := range servers[:limited] {
		for {
			now := time.Now()
			if arrivalsBetween(server, now.Add(-time.Second), now) >= usual[k]/2 && now.Sub(end) > time.Second {
				break
			}
			if now.Sub(end) > limitEndTime {
				f.Errorf("server %d: %d requests in the last second, %d in one before the limit", k, arrivalsBetween(server, now.Add(-time.Second), now), usual[k])
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
