package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

const (
	joiningInstances = 13
	joinWindow       = 3 * time.Second        // in which all of them start
	maxViewDelay     = 200 * time.Millisecond // until an instance knows another one
	warmupUsers      = 2                      // instances that may use a cold server
)

// joiningInstance is an instance of a region that starts at joinedAt. Those with the
// lowest rank among the known ones use the server.
type joiningInstance struct {
	rank     uint64
	joinedAt time.Time
	server   *backend.Server
	warmup   Warmup
}

// warmupRegion is a region whose instances all start within joinWindow.
type warmupRegion struct {
	now       time.Time
	instances []*joiningInstance
}

func newWarmupRegion(random *rand.Rand, service *catalog.Service) *warmupRegion {
	r := &warmupRegion{}
	for range joiningInstances {
		i := &joiningInstance{
			rank: random.Uint64(), joinedAt: start.Add(time.Duration(random.Int64N(int64(joinWindow)))),
			server: backend.NewServer(backend.Info{ID: "i-1", State: backend.StateLive, Service: service.Name}),
		}
		i.server.SetCold(start.Add(time.Minute))
		viewDelay := time.Duration(random.Int64N(int64(maxViewDelay)))
		i.warmup.Select = func(*backend.Server) WarmupSelection { return r.selected(i, viewDelay) }
		r.instances = append(r.instances, i)
	}
	slices.SortFunc(r.instances, func(a, b *joiningInstance) int { return cmp.Compare(a.rank, b.rank) })
	return r
}

// selected returns the selection for the server as i knows it.
func (r *warmupRegion) selected(i *joiningInstance, viewDelay time.Duration) WarmupSelection {
	selection := WarmupSelection{Since: i.joinedAt}
	for _, other := range r.instances {
		knownAt := other.joinedAt.Add(viewDelay)
		if other != i && knownAt.After(r.now) {
			continue
		}
		if other != i && knownAt.After(selection.Since) {
			selection.Since = knownAt
		}
		if selection.Count < warmupUsers {
			selection.Count++
			selection.Self = selection.Self || other == i
		}
	}
	return selection
}

// TestWarmupBoundWhileInstancesJoin guards against a cold server that gets more
// requests than its limit after all instances of a region were lost: while they start
// one after another, other instances are selected for the server again and again, and
// each of them had its whole burst.
func TestWarmupBoundWhileInstancesJoin(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "drafts", Warmup: catalog.Warmup{Rate: 2.2, Burst: 3}}
	req := &Request{Service: service}
	for seed := range uint64(200) {
		r := newWarmupRegion(rand.New(rand.NewPCG(seed, 1)), service)
		var sent []time.Time
		for r.now = start; r.now.Before(start.Add(10 * time.Second)); r.now = r.now.Add(10 * time.Millisecond) {
			for _, i := range r.instances {
				if !i.joinedAt.After(r.now) && i.warmup.Keep(r.now, req, i.server) && i.warmup.Take(r.now, req, i.server) {
					sent = append(sent, r.now)
				}
			}
		}
		c.Assert(len(sent) > 0, qt.IsTrue)
		checkWarmupBound(c, service.Warmup, sent, fmt.Sprintf("seed %d", seed))
	}
}
