package hosted

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
)

const (
	// prefillInterval is the time between two questions to one neighbor: short
	// against the time that a long prompt takes.
	prefillInterval = 100 * time.Millisecond
	// prefillPeers is how many neighbors are asked at that interval. With more
	// of them each is asked less often.
	prefillPeers = 3
	// prefillTimeout bounds a question to a neighbor.
	prefillTimeout = 150 * time.Millisecond
)

// followPrefill learns what the other instances of the region have sent to the
// backend servers, so that they do not all choose the same one.
func (i *Instance) followPrefill(ctx context.Context) {
	told := make(map[string]map[string]int) // by instance and backend server
	next := 0
	loop.Every(ctx, prefillInterval, func(ctx context.Context) {
		neighbors := i.neighbors()
		for id := range told {
			if _, live := neighbors[id]; !live {
				delete(told, id)
			}
		}
		i.askPrefill(ctx, neighbors, told, next)
		next += prefillPeers
		total := make(map[string]int)
		for _, servers := range told {
			for id, tokens := range servers {
				total[id] += tokens
			}
		}
		for _, server := range i.registry.All() {
			server.SetOthersPrefill(total[server.ID])
		}
	})
}

// neighbors returns the addresses of the other instances of the region by id.
func (i *Instance) neighbors() map[string]string {
	neighbors := make(map[string]string)
	for _, other := range i.roster.In(i.settings.Region) {
		if other.ID != i.settings.Instance {
			neighbors[other.ID] = other.PeerAddr
		}
	}
	return neighbors
}

// askPrefill asks some neighbors, beginning with the given one in their order.
func (i *Instance) askPrefill(ctx context.Context, neighbors map[string]string, told map[string]map[string]int, first int) {
	ids := slices.Sorted(maps.Keys(neighbors))
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range min(prefillPeers, len(ids)) {
		id := ids[(first+n)%len(ids)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
			defer cancel()
			var answer stateAnswer
			err := i.ask(ctx, neighbors[id], statePath, url.Values{"prefill": {"1"}}, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				delete(told, id)
				return
			}
			told[id] = answer.Prefill
		})
	}
	group.Wait()
}
