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
	// neighborInterval is the time between two polls of instances of the region:
	// short compared with the time that a long prompt takes.
	neighborInterval     = 100 * time.Millisecond
	neighborStallTimeout = 150 * time.Millisecond
	// remoteInterval is the time between two polls of instances of other regions:
	// a few round trips.
	remoteInterval = 500 * time.Millisecond
	// peersPerPoll is how many instances are queried in each poll. If there are
	// more, each is queried less often.
	peersPerPoll = 3
)

// peerReport is the last report of another instance.
type peerReport struct {
	started       int64  // start time of the process that sent it, in Unix milliseconds
	nextPlacement uint64 // first placement to request in the next query
	prefill       prefill
}

// reportPoller polls other instances for what they have sent to backend servers.
type reportPoller struct {
	instance     *Instance
	interval     time.Duration
	stallTimeout time.Duration
	prefill      bool                     // also request the prompt tokens that are not yet computed
	addrs        func() map[string]string // addresses of the instances to poll, by id
	record       func(at time.Time, placements []routing.Placement)

	mu      sync.Mutex
	reports map[string]*peerReport // by instance id
	parts   map[string]partVersion // by instance id
}

// partVersion is the version of the last report on parts of prompts.
type partVersion struct {
	started int64 // start time of the process that sent it, in Unix milliseconds
	version uint64
}

// pollNeighbors polls the other instances of the region, so that the instances do
// not all choose the same server, and send a prompt to a server that has already
// received the shared parts of the prompt from one of them.
func (i *Instance) pollNeighbors(ctx context.Context) {
	p := &reportPoller{
		instance: i, interval: neighborInterval, stallTimeout: neighborStallTimeout, prefill: true,
		addrs: i.neighborAddrs, record: i.router.Prefix.MergePlacements, reports: make(map[string]*peerReport),
	}
	p.run(ctx)
}

// pollRemote polls the instances of other regions, so that the servers of this
// region can fetch the shared parts of prompts from the caches there.
func (i *Instance) pollRemote(ctx context.Context) {
	p := &reportPoller{
		instance: i, interval: remoteInterval, stallTimeout: remoteStallTimeout,
		addrs: i.remoteAddrs, record: i.router.Remote.MergePlacements, reports: make(map[string]*peerReport),
	}
	p.run(ctx)
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

// run polls until ctx ends.
func (p *reportPoller) run(ctx context.Context) {
	// Each poller starts at a random instance, so that they do not all query the
	// same one.
	first := rand.IntN(math.MaxInt32)
	loop.Every(ctx, p.interval, func(ctx context.Context) {
		addrs := p.addrs()
		p.prune(addrs)
		p.pollSome(ctx, addrs, first)
		first += peersPerPoll
		if p.prefill {
			p.applyPrefill()
		}
	})
}

func (p *reportPoller) prune(live map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.reports, func(id string, _ *peerReport) bool { return live[id] == "" })
	maps.DeleteFunc(p.parts, func(id string, _ partVersion) bool { return live[id] == "" })
}

// pollSome queries peersPerPoll instances in parallel, in the order of their ids
// from index first, modulo their number.
func (p *reportPoller) pollSome(ctx context.Context, addrs map[string]string, first int) {
	ids := slices.Sorted(maps.Keys(addrs))
	var group sync.WaitGroup
	for k := range min(peersPerPoll, len(ids)) {
		id := ids[(first+k)%len(ids)]
		group.Go(func() { p.poll(ctx, id, addrs[id]) })
	}
	group.Wait()
}

func (p *reportPoller) poll(ctx context.Context, id, addr string) {
	query := url.Values{
		"placements": {strconv.FormatUint(p.firstPlacement(id), 10)},
		"parts":      {strconv.FormatUint(p.partVersion(id), 10)},
	}
	if p.prefill {
		query.Set("prefill", "1")
	}
	var response stateResponse
	sent := time.Now()
	err := p.instance.queryPeer(ctx, peerQuery{addr, statePath, query, p.stallTimeout}, &response)
	if err == nil {
		p.mergeParts(id, &response)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.reports[id]
	if err != nil || response.Dispatched == nil {
		if last != nil {
			last.prefill = nil
		}
		return
	}
	if last != nil && last.started != response.Started {
		delete(p.reports, id) // a new process, whose placements are numbered from 0
		return
	}
	response.Dispatched.Slowdowns.record(sent, p.instance.registry.All())
	p.record(time.Now(), response.Dispatched.Placements)
	p.reports[id] = &peerReport{started: response.Started, nextPlacement: response.Dispatched.Next, prefill: response.Dispatched.Prefill}
}

// firstPlacement returns the first placement to request from an instance.
func (p *reportPoller) firstPlacement(id string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.reports[id]; last != nil {
		return last.nextPlacement
	}
	return 0
}

// partVersion returns the version of the last report of an instance on parts of
// prompts.
func (p *reportPoller) partVersion(id string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts[id].version
}

// mergeParts merges what an instance has seen of parts of prompts. A new process
// numbers its reports anew, so that the next query asks for all.
func (p *reportPoller) mergeParts(id string, response *stateResponse) {
	if response.Parts != nil {
		p.instance.parts.Merge(time.Now(), response.Parts)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.parts == nil {
		p.parts = make(map[string]partVersion)
	}
	last, known := p.parts[id]
	next := partVersion{started: response.Started, version: last.version}
	if response.Parts != nil {
		next.version = response.Parts.Version
	}
	if known && last.started != response.Started {
		next.version = 0
	}
	p.parts[id] = next
}

// applyPrefill sets the prompt tokens that the neighbors have sent to each server
// and that are not yet computed.
func (p *reportPoller) applyPrefill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := make(prefill)
	for _, report := range p.reports {
		for server, tokens := range report.prefill {
			total := totals[server]
			for rank := range total {
				total[rank] += tokens[rank]
			}
			totals[server] = total
		}
	}
	for _, server := range p.instance.registry.All() {
		for rank, tokens := range totals[server.ID] {
			server.SetPeerPrefill(catalog.Rank(rank), tokens)
		}
	}
}
