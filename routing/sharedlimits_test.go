package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// TestWarmupBound guards against shares of a limit that add up to more than the limit:
// instances that have all shares of it send requests to one cold server at their maximum
// rate. The requests in any second must stay within the limit, and an instance without a
// share sends none.
func TestWarmupBound(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "drafts", Warmup: catalog.Warmup{Rate: 2.18, Burst: 3}}
	req := &Request{Service: service}
	const instances = 3 // with a share each, one of them a former holder that still sends
	info := backend.Info{ID: "i-1", State: backend.StateLive, Service: service.Name}
	var servers [instances]*backend.Server
	for i := range servers {
		servers[i] = backend.NewServer(info)
		servers[i].SetCold(start.Add(time.Minute))
	}
	share := LimitShare{Count: 1}
	warmup := &SharedLimits{Share: func(*backend.Server) LimitShare { return share }, Shares: instances - reservedShares}
	var sent []time.Time
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, server := range servers {
			if warmup.Keep(now, req, server) && warmup.Take(now, req, server) {
				sent = append(sent, now)
			}
		}
	}
	c.Assert(len(sent) > 0, qt.IsTrue)
	checkWarmupBound(c, service.Warmup, sent, "")
	share = LimitShare{}
	c.Assert(warmup.Keep(start.Add(50*time.Second), req, servers[0]), qt.IsFalse)
	c.Assert(warmup.Keep(start.Add(2*time.Minute), req, servers[0]), qt.IsTrue)
}

// checkWarmupBound checks that the requests in any second are within the limit.
func checkWarmupBound(c *qt.C, limit catalog.Warmup, sent []time.Time, comment string) {
	c.Helper()
	bound := limit.Rate + limit.Burst
	for i, at := range sent {
		count := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < time.Second {
				count++
			}
		}
		c.Assert(float64(count) <= bound, qt.IsTrue, qt.Commentf("%s: %d requests in the second after %v", comment, count, at.Sub(start)))
	}
}
