package hosted

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	// neighborInterval is the time between two questions to one neighbor: short
	// against the time that a long prompt takes.
	neighborInterval = 100 * time.Millisecond
	neighborTimeout  = 150 * time.Millisecond
	// remoteInterval is the time between two rounds of questions to instances of
	// other regions: a few round trips.
	remoteInterval = 500 * time.Millisecond
	// workPeers is how many instances are asked at an interval. With more of them
	// each is asked less often.
	workPeers = 3
)

// peerWork is what another instance has told.
type peerWork struct {
	started int64  // of the process that told it
	next    uint64 // placement to ask from
	prefill prefill
}

// workFollower follows what other instances have sent to backend servers.
type workFollower struct {
	instance *Instance
	interval time.Duration
	timeout  time.Duration
	prefill  bool                     // ask also for the prompts that are not computed
	addrs    func() map[string]string // of the instances to ask, by id
	learn    func(at time.Time, placements []routing.Placement)

	mu   sync.Mutex
	told map[string]*peerWork // by instance
}

// followNeighbors follows the other instances of the region, so that they do not
// all choose the same server, and send a prompt where one of them has sent its
// shared parts.
func (i *Instance) followNeighbors(ctx context.Context) {
	f := &workFollower{
		instance: i, interval: neighborInterval, timeout: neighborTimeout, prefill: true,
		addrs: i.neighborAddrs, learn: i.router.Prefix.Learn, told: make(map[string]*peerWork),
	}
	f.run(ctx)
}

// followRemote follows the instances of other regions, so that servers fetch
// shared parts from the caches there.
func (i *Instance) followRemote(ctx context.Context) {
	f := &workFollower{
		instance: i, interval: remoteInterval, timeout: remoteTimeout,
		addrs: i.remoteAddrs, learn: i.router.Remote.Learn, told: make(map[string]*peerWork),
	}
	f.run(ctx)
}

// neighborAddrs returns the addresses of the other instances of the region.
func (i *Instance) neighborAddrs() map[string]string {
	return i.peerAddrs(func(region string) bool { return region == i.settings.Region })
}

// remoteAddrs returns the addresses of the instances of other regions.
func (i *Instance) remoteAddrs() map[string]string {
	return i.peerAddrs(func(region string) bool { return region != i.settings.Region })
}

func (i *Instance) peerAddrs(in func(region string) bool) map[string]string {
	addrs := make(map[string]string)
	for _, other := range i.roster.Live() {
		if other.ID != i.settings.Instance && in(other.Region) {
			addrs[other.ID] = other.PeerAddr
		}
	}
	return addrs
}

// run asks until ctx ends.
func (f *workFollower) run(ctx context.Context) {
	// Each instance begins elsewhere, so that they do not all ask the same one.
	first := rand.IntN(math.MaxInt32)
	loop.Every(ctx, f.interval, func(ctx context.Context) {
		addrs := f.addrs()
		f.forget(addrs)
		f.askSome(ctx, addrs, first)
		first += workPeers
		if f.prefill {
			f.applyPrefill()
		}
	})
}

func (f *workFollower) forget(live map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.told, func(id string, _ *peerWork) bool { return live[id] == "" })
}

// askSome asks some instances, beginning with the given one in their order.
func (f *workFollower) askSome(ctx context.Context, addrs map[string]string, first int) {
	ids := slices.Sorted(maps.Keys(addrs))
	var group sync.WaitGroup
	for k := range min(workPeers, len(ids)) {
		id := ids[(first+k)%len(ids)]
		group.Go(func() { f.ask(ctx, id, addrs[id]) })
	}
	group.Wait()
}

func (f *workFollower) ask(ctx context.Context, id, addr string) {
	query := url.Values{"placements": {strconv.FormatUint(f.from(id), 10)}}
	if f.prefill {
		query.Set("prefill", "1")
	}
	var answer stateAnswer
	err := f.instance.ask(ctx, question{addr, statePath, query, f.timeout}, &answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.told[id]
	if err != nil || answer.Work == nil {
		if known != nil {
			known.prefill = nil
		}
		return
	}
	if known != nil && known.started != answer.Started {
		delete(f.told, id) // a new process, whose placements count from 0
		return
	}
	f.learn(time.Now(), answer.Work.Placements)
	f.told[id] = &peerWork{started: answer.Started, next: answer.Work.Next, prefill: answer.Work.Prefill}
}

// from returns the placement to ask an instance from.
func (f *workFollower) from(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.told[id]; known != nil {
		return known.next
	}
	return 0
}

// applyPrefill states the prompts that the neighbors have sent to each server.
func (f *workFollower) applyPrefill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.instance.registry.All() {
		for rank := range catalog.RankCount {
			total := 0
			for _, work := range f.told {
				total += work.prefill[server.ID][rank]
			}
			server.SetOthersPrefill(catalog.Rank(rank), total)
		}
	}
}
