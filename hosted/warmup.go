package hosted

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// regionView records when the instances of the region that this instance knows last
// changed.
type regionView struct {
	mu        sync.Mutex
	ids       []string
	changedAt time.Time
}

// update records the ids that are known now, and returns when they last changed.
func (v *regionView) update(now time.Time, ids []string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.ids, ids) {
		v.ids, v.changedAt = ids, now
	}
	return v.changedAt
}

// regionInstances returns the ids of the live instances of the region, and when they
// last changed.
func (i *Instance) regionInstances() (ids []string, changedAt time.Time) {
	for _, other := range i.roster.InRegion(i.settings.Region) {
		ids = append(ids, other.ID)
	}
	return ids, i.regionView.update(time.Now(), ids)
}

// selectWarmup implements the Select function of routing.Warmup.
func (i *Instance) selectWarmup(server *backend.Server) routing.WarmupSelection {
	ids, changedAt := i.regionInstances()
	chosen := membership.Rendezvous(ids, server.ID, warmupInstanceCount)
	return routing.WarmupSelection{
		Count: len(chosen), Self: slices.Contains(chosen, i.settings.Instance), Since: changedAt,
	}
}
