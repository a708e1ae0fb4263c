package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

const (
	heldShares      = 2
	maxTenure       = 2 * time.Second // of a share at one instance
	maxStaleTenure  = time.Second     // for which a former holder may go on while its successor begins
	handoverHorizon = 20 * time.Second
)

// tenure is the time for which an instance has a share of the limit of a server.
type tenure struct {
	from, until time.Time
	server      *backend.Server
	limits      SharedLimits
}

// newTenures returns the tenures of the instances that have a share one after the other.
// Of all holders of all shares, at most one at a time goes on after its tenure.
func newTenures(random *rand.Rand, service *catalog.Service) (tenures []*tenure) {
	stale := start
	for range heldShares {
		for from := start; from.Before(start.Add(handoverHorizon)); {
			next := from.Add(time.Duration(random.Int64N(int64(maxTenure))))
			h := &tenure{from: from, until: next, server: backend.NewServer(backend.Info{ID: "i-1", State: backend.StateLive, Service: service.Name})}
			if !next.Before(stale) {
				h.until = next.Add(time.Duration(random.Int64N(int64(maxStaleTenure))))
				stale = h.until
			}
			h.server.SetCold(start.Add(time.Minute))
			h.limits.Shares = heldShares
			h.limits.Share = func(*backend.Server) LimitShare {
				return LimitShare{Count: 1, Since: h.from}
			}
			tenures = append(tenures, h)
			from = next
		}
	}
	return tenures
}

// TestWarmupBoundWhileSharesChangeHands guards against a cold server that gets more
// requests than its limit while the instances that may use it change again and again, such
// as when all instances of a region start: each of them had its whole burst at once.
func TestWarmupBoundWhileSharesChangeHands(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "drafts", Warmup: catalog.Warmup{Rate: 2.2, Burst: 3}}
	req := &Request{Service: service}
	for seed := range uint64(200) {
		tenures := newTenures(rand.New(rand.NewPCG(seed, 1)), service)
		var sent []time.Time
		for now := start; now.Before(start.Add(handoverHorizon)); now = now.Add(10 * time.Millisecond) {
			for _, h := range tenures {
				if !now.Before(h.from) && now.Before(h.until) && h.limits.Keep(now, req, h.server) && h.limits.Take(now, req, h.server) {
					sent = append(sent, now)
				}
			}
		}
		c.Assert(len(sent) > 0, qt.IsTrue)
		checkWarmupBound(c, service.Warmup, sent, fmt.Sprintf("seed %d", seed))
	}
}
