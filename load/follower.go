package load

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/exchange"
)

const (
	maxRequests = 32 // reports asked for at once
	// silentAfter is the time without an answer after which the others are
	// told.
	silentAfter = 1500 * time.Millisecond
	// digestSlack is how much later than an own report a digest may come
	// without the server counting as silent.
	digestSlack = 5 * time.Second
	// ownFresh is how long an own report is preferred to a digest.
	ownFresh = 3 * time.Second
	// indexLife is how long the index of servers by key is used.
	indexLife = time.Second
)

// Asker asks one backend server for its load.
type Asker interface {
	// Ask returns the server's report. leaving is true if the server refuses
	// new work.
	Ask(ctx context.Context, server *backend.Server) (load backend.Load, leaving bool, err error)
}

// Follower keeps the loads in a registry. It implements exchange.AgedTopic.
type Follower struct {
	registry *backend.Registry
	self     string
	members  func() []string
	asker    Asker

	mu       sync.Mutex
	answered map[uint64]time.Time // last answer of the servers followed, by key
	first    map[uint64]bool      // servers that this instance tells the others of
	index    map[uint32]*backend.Server
	indexed  time.Time
}

// NewFollower returns a follower. members returns the ids of the live
// instances of the region, with self.
func NewFollower(registry *backend.Registry, self string, members func() []string, asker Asker) *Follower {
	return &Follower{
		registry: registry, self: self, members: members, asker: asker,
		answered: make(map[uint64]time.Time), first: make(map[uint64]bool),
	}
}

// Round asks the share of this instance once.
func (f *Follower) Round(ctx context.Context) {
	servers := f.follow()
	var group errgroup.Group
	group.SetLimit(maxRequests)
	for _, server := range servers {
		group.Go(func() error { f.ask(ctx, server); return nil })
	}
	_ = group.Wait()
}

// follow returns the servers of this instance's share.
func (f *Follower) follow() []*backend.Server {
	servers := f.registry.All()
	s := newShare(f.self, f.members(), len(servers))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	answered := make(map[uint64]time.Time)
	clear(f.first)
	var followed []*backend.Server
	for _, server := range servers {
		rank := s.rank(server)
		if !s.follows(rank) {
			continue
		}
		followed = append(followed, server)
		f.first[server.Key] = rank == 0
		answered[server.Key] = now
		if at, ok := f.answered[server.Key]; ok {
			answered[server.Key] = at
		}
	}
	f.answered = answered
	return followed
}

func (f *Follower) ask(ctx context.Context, server *backend.Server) {
	report, leaving, err := f.asker.Ask(ctx, server)
	if leaving {
		server.SetLeaving()
	}
	if err != nil {
		return
	}
	report.At = time.Now()
	server.SetLoad(report)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.answered[server.Key]; ok {
		f.answered[server.Key] = report.At
	}
}

// Name implements exchange.Topic.
func (f *Follower) Name() string { return "load" }

// State implements exchange.Topic: the digests of the servers that this
// instance is the first to follow.
func (f *Follower) State() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	servers := f.registry.All()
	slices.SortFunc(servers, func(a, b *backend.Server) int { return cmp.Compare(a.Key, b.Key) })
	var state []byte
	for _, server := range servers {
		if !f.first[server.Key] {
			continue
		}
		next := f.digest(now, server)
		if state = next.append(state); len(state) > exchange.MaxStateBytes {
			return nil
		}
	}
	return state
}

func (f *Follower) digest(now time.Time, server *backend.Server) entry {
	report := server.Load()
	e := entry{key: uint32(server.Key), slots: uint64(max(report.Slots, 0)), packed: packLoad(report)}
	e.leaving = !server.Accepts()
	if silent := now.Sub(f.answered[server.Key]); silent > silentAfter {
		e.silent = silent
	}
	return e
}

// Merge implements exchange.Topic.
func (f *Follower) Merge(instance string, state []byte) error {
	return f.MergeAged(instance, state, 0)
}

// MergeAged implements exchange.AgedTopic. A digest replaces an older report,
// but not a recent one of this instance's own.
func (f *Follower) MergeAged(_ string, state []byte, age time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.refreshIndex(now)
	for len(state) > 0 {
		e, rest, err := parseEntry(state)
		if err != nil {
			return err
		}
		state = rest
		server := f.index[e.key]
		if server == nil || now.Sub(f.answered[server.Key]) < ownFresh {
			continue
		}
		take(server, e, now.Add(-age))
	}
	return nil
}

// take applies one digest that was made at the given time.
func take(server *backend.Server, e entry, at time.Time) {
	switch {
	case e.leaving:
		server.SetLeaving()
	case e.slots == 0:
		report := server.Load()
		report.At, report.Slack = at.Add(-e.silent), 0
		server.SetLoad(report)
	case at.After(server.Load().At):
		report := unpackLoad(int(e.slots), e.packed)
		report.At, report.Slack = at, digestSlack
		server.SetLoad(report)
	}
}

// refreshIndex rebuilds the index of servers now and then.
func (f *Follower) refreshIndex(now time.Time) {
	if f.index != nil && now.Sub(f.indexed) < indexLife {
		return
	}
	f.indexed = now
	f.index = make(map[uint32]*backend.Server)
	for _, server := range f.registry.All() {
		f.index[uint32(server.Key)] = server
	}
}

// Forget implements exchange.Topic. The loads become old by themselves.
func (f *Follower) Forget(string) {}
