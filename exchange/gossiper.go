package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// Timing and bandwidth of the exchange. All periods are jittered.
const (
	roundPeriod           = 400 * time.Millisecond // between pulls from a peer of the region
	publishPeriod         = time.Second            // between readings of this instance's state
	regionRoundPeriod     = time.Second            // between pulls of region summaries
	regionPublishPeriod   = 2 * time.Second        // between readings of the summary of this instance's region
	callTimeout           = 2 * time.Second
	jitterFraction        = 0.2 // a period varies by up to this fraction
	defaultBytesPerSecond = 1000
	burstSeconds          = 4 // burst of the byte budget, in seconds at its rate
)

// Transport calls other instances; *peer.Client implements it.
type Transport interface {
	Call(ctx context.Context, instance listing.Instance, method string, args, reply any) error
}

// Gossiper replicates the states of topics among instances by gossip.
type Gossiper struct {
	view         func() *membership.View
	transport    Transport
	self         listing.Instance
	topics       map[string]Topic
	regionTopics map[string]RegionTopic
	onError      func(topic, origin string, err error)

	mu     sync.Mutex
	random *rand.Rand
	scopes [scopeCount]*scope
	// Order in which peers of the region are queried for states of instances,
	// the same peers for region summaries, and other regions for region
	// summaries.
	peerRotation, regionPeerRotation, regionRotation rotation
}

// Scopes. A scope is a set of origins whose states are replicated together; its
// number is sent in PullArgs.
const (
	scopeInstances = iota // the instances of the region
	scopeRegions          // all regions
	scopeCount
)

type scope struct {
	table  *table
	budget tokenBucket
}

// Config configures a Gossiper.
type Config struct {
	Self      listing.Instance
	View      func() *membership.View
	Transport Transport
	Random    *rand.Rand
	// BytesPerSecond limits the entries sent in each scope; 0 means 1,000.
	BytesPerSecond int
	// OnMergeError is called when a topic returns an error for a received state;
	// nil ignores these errors.
	OnMergeError func(topic, origin string, err error)
}

// NewGossiper returns a Gossiper without topics.
func NewGossiper(c Config) *Gossiper {
	rate := float64(c.BytesPerSecond)
	if rate == 0 {
		rate = defaultBytesPerSecond
	}
	gossiper := &Gossiper{
		view: c.View, transport: c.Transport, self: c.Self, random: c.Random, onError: c.OnMergeError,
		topics: make(map[string]Topic), regionTopics: make(map[string]RegionTopic),
	}
	if gossiper.onError == nil {
		gossiper.onError = func(string, string, error) {}
	}
	for i := range gossiper.scopes {
		gossiper.scopes[i] = &scope{table: newTable(), budget: tokenBucket{rate: rate, burst: burstSeconds * rate}}
	}
	return gossiper
}

// Add adds topics of instances. It must be called before Run.
func (g *Gossiper) Add(topics ...Topic) {
	for _, t := range topics {
		g.topics[t.Name()] = t
	}
}

// AddRegionTopics adds topics of regions. It must be called before Run.
func (g *Gossiper) AddRegionTopics(topics ...RegionTopic) {
	for _, t := range topics {
		g.regionTopics[t.Name()] = t
	}
}

// Forget removes the state of an instance that is known to have terminated.
func (g *Gossiper) Forget(instance string) {
	g.mu.Lock()
	g.scopes[scopeInstances].table.forget(time.Now(), instance)
	g.mu.Unlock()
	for _, t := range g.topics {
		t.Forget(instance)
	}
}

// Run publishes and pulls states until ctx is canceled. A pull that gets no
// response does not delay the next one.
func (g *Gossiper) Run(ctx context.Context) {
	var group errgroup.Group
	startLoop := func(period time.Duration, f func(context.Context)) {
		group.Go(func() error { g.every(ctx, period, f); return nil })
	}
	startLoop(publishPeriod, func(context.Context) { g.publishStates() })
	startLoop(regionPublishPeriod, func(context.Context) { g.publishRegionStates() })
	startLoop(roundPeriod, func(ctx context.Context) { go g.round(ctx, scopeInstances, g.localPeer) })
	startLoop(regionRoundPeriod, func(ctx context.Context) { go g.round(ctx, scopeRegions, g.localPeerForRegions) })
	startLoop(regionRoundPeriod, func(ctx context.Context) { go g.round(ctx, scopeRegions, g.remoteBridge) })
	_ = group.Wait()
}

// every calls f once per period, jittered, until ctx is canceled.
func (g *Gossiper) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	for {
		g.mu.Lock()
		sample := g.random.Float64()
		g.mu.Unlock()
		select {
		case <-time.After(time.Duration(float64(period) * (1 + jitterFraction*(2*sample-1)))):
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossiper) publishStates() {
	states := make(map[string][]byte)
	for name, t := range g.topics {
		if state := t.State(); state != nil && len(state) <= MaxStateBytes {
			states[name] = state
		}
	}
	g.publish(scopeInstances, g.self.ID, states)
}

// publishRegionStates publishes the state of the region if this instance is the
// region's first bridge. When the first bridge is no longer a live member, the
// next one publishes.
func (g *Gossiper) publishRegionStates() {
	bridges := g.view().Bridges(g.self.Region)
	if len(bridges) == 0 || bridges[0].ID != g.self.ID {
		return
	}
	states := make(map[string][]byte)
	for name, t := range g.regionTopics {
		if state := t.RegionState(); state != nil && len(state) <= MaxStateBytes {
			states[name] = state
		}
	}
	g.publish(scopeRegions, g.self.Region, states)
}

func (g *Gossiper) publish(scope int, origin string, states map[string][]byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scopes[scope].table.publish(time.Now(), origin, states)
}

// localPeer returns another live instance of the region.
func (g *Gossiper) localPeer() (listing.Instance, bool) {
	return g.pickMember(&g.peerRotation, g.view().Members(g.self.Region))
}

// localPeerForRegions returns another live instance of the region to pull
// region summaries from, if there are other regions.
func (g *Gossiper) localPeerForRegions() (listing.Instance, bool) {
	view := g.view()
	if len(view.Regions()) < 2 || len(g.regionTopics) == 0 {
		return listing.Instance{}, false
	}
	return g.pickMember(&g.regionPeerRotation, view.Members(g.self.Region))
}

func (g *Gossiper) pickMember(order *rotation, members []membership.Member) (listing.Instance, bool) {
	others := make([]listing.Instance, 0, len(members))
	for _, m := range members {
		if m.Instance.ID != g.self.ID {
			others = append(others, m.Instance)
		}
	}
	return g.pickInstance(order, others)
}

func (g *Gossiper) pickInstance(order *rotation, instances []listing.Instance) (listing.Instance, bool) {
	ids := make([]string, len(instances))
	for i := range instances {
		ids[i] = instances[i].ID
	}
	i := g.pick(order, ids)
	if i < 0 {
		return listing.Instance{}, false
	}
	return instances[i], true
}

func (g *Gossiper) pick(order *rotation, names []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return order.pick(g.random, names)
}

// remoteBridge returns a bridge of another region if this instance is a bridge.
func (g *Gossiper) remoteBridge() (listing.Instance, bool) {
	view := g.view()
	if !view.IsBridge() || len(g.regionTopics) == 0 {
		return listing.Instance{}, false
	}
	regions := slices.DeleteFunc(slices.Clone(view.Regions()), func(region string) bool {
		return region == g.self.Region || len(view.Bridges(region)) == 0
	})
	i := g.pick(&g.regionRotation, regions)
	if i < 0 {
		return listing.Instance{}, false
	}
	bridges := view.Bridges(regions[i])
	g.mu.Lock()
	defer g.mu.Unlock()
	return bridges[g.random.IntN(len(bridges))], true
}

// round queries a peer for the entries that are newer there, and merges them.
func (g *Gossiper) round(ctx context.Context, scope int, choosePeer func() (listing.Instance, bool)) {
	peer, ok := choosePeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := PullArgs{Scope: scope, Vector: g.vector(scope)}
	var reply PullReply
	if g.transport.Call(ctx, peer, methodPull, &args, &reply) != nil {
		return
	}
	g.mergeEntries(scope, reply.Entries)
	g.mergeEntries(scope, g.parseHeartbeats(scope, reply.Beats))
}

func (g *Gossiper) vector(scope int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scopes[scope].table.vector()
}

func (g *Gossiper) parseHeartbeats(scope int, heartbeats []byte) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scopes[scope].table.parseHeartbeats(heartbeats)
}

// handlePull returns what is newer here than in the vector of a peer.
func (g *Gossiper) handlePull(scope int, vector []byte) PullReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.scopes[scope]
	entries, heartbeats := s.table.changesSince(time.Now(), parseVector(vector), &s.budget)
	return PullReply{Entries: entries, Beats: heartbeats}
}

// mergeEntries stores newer entries and passes their parts to the topics. Of an
// origin for which this instance publishes, only the version is used.
func (g *Gossiper) mergeEntries(scope int, entries []Entry) {
	ownOrigin := g.self.ID
	if scope == scopeRegions {
		ownOrigin = g.self.Region
	}
	for i := range entries {
		e := &entries[i]
		if e.Origin == ownOrigin && (scope == scopeInstances || g.publishesRegion()) {
			g.raiseVersion(scope, e)
			continue
		}
		if parts, merged := g.mergeEntry(scope, e); merged {
			g.deliver(scope, e, parts)
		}
	}
}

func (g *Gossiper) raiseVersion(scope int, e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scopes[scope].table.raiseVersion(e.Origin, e.Version)
}

// publishesRegion reports whether this instance publishes the state of its
// region.
func (g *Gossiper) publishesRegion() bool {
	bridges := g.view().Bridges(g.self.Region)
	return len(bridges) > 0 && bridges[0].ID == g.self.ID
}

// mergeEntry stores an entry if it is newer. It then returns true and all parts
// of the origin.
func (g *Gossiper) mergeEntry(scope int, e *Entry) ([]part, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.scopes[scope].table
	if !t.merge(time.Now(), e) {
		return nil, false
	}
	return slices.Clone(t.entries[originKey(e.Origin)].parts), true
}

// deliver passes the parts of an origin to their topics: all parts to topics
// whose merge takes the age, only the changed parts to the others. Parts of
// topics that exist only in a newer version of the program are forwarded to
// peers, but not delivered.
func (g *Gossiper) deliver(scope int, e *Entry, parts []part) {
	for _, p := range parts {
		var err error
		switch {
		case scope == scopeRegions && g.regionTopics[p.Topic] != nil && e.Origin != g.self.Region:
			err = g.regionTopics[p.Topic].MergeRegion(e.Origin, p.Data, e.Age)
		case scope == scopeInstances && g.topics[p.Topic] != nil:
			changed := slices.ContainsFunc(e.Parts, func(changedPart part) bool { return changedPart.Topic == p.Topic })
			err = mergeTopic(g.topics[p.Topic], e, p, changed)
		}
		if err != nil {
			g.onError(p.Topic, e.Origin, err)
		}
	}
}

func mergeTopic(t Topic, e *Entry, p part, changed bool) error {
	if aged, ok := t.(AgedTopic); ok {
		return aged.MergeAged(e.Origin, p.Data, e.Age)
	}
	if !changed {
		return nil
	}
	return t.Merge(e.Origin, p.Data)
}
