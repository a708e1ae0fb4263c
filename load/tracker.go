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
	maxConcurrentRequests = 32 // load queries in flight
	// staleReportAfter is the age of the last load report after which the digest
	// contains that age instead of the load.
	staleReportAfter = 1500 * time.Millisecond
	// digestAgeAllowance is the additional age that a digest may have, compared
	// to a report that this instance queried itself, before the report counts as
	// stale.
	digestAgeAllowance = 5 * time.Second
	// localReportTTL is how long a report that this instance queried itself takes
	// precedence over digests.
	localReportTTL = 3 * time.Second
	// indexTTL is how long the index of servers by key is used before it is
	// rebuilt.
	indexTTL = time.Second
)

// Fetcher queries a backend server for its load.
type Fetcher interface {
	// FetchLoad returns the server's load report. draining is true if the server
	// refuses new requests; it is valid also if err is not nil.
	FetchLoad(ctx context.Context, server *backend.Server) (load backend.Load, draining bool, err error)
}

// Tracker keeps the load reports in a registry up to date: it queries the
// servers that are assigned to this instance and merges the digests of other
// instances. It implements exchange.AgedTopic.
type Tracker struct {
	registry *backend.Registry
	self     string
	members  func() []string
	fetcher  Fetcher

	mu sync.Mutex
	// lastReport is the time of the last load report of each server that is
	// assigned to this instance, or of its assignment, by server key.
	lastReport map[uint64]time.Time
	// published is true for the keys of the assigned servers whose digests this
	// instance sends to the others.
	published map[uint64]bool
	index     map[uint32]*backend.Server // by the low 32 bits of the server key, as in digests
	indexedAt time.Time
}

// NewTracker returns a Tracker that updates registry. self is the id of this
// instance. members returns the ids of the live instances of the region,
// including self.
func NewTracker(registry *backend.Registry, self string, members func() []string, fetcher Fetcher) *Tracker {
	return &Tracker{
		registry: registry, self: self, members: members, fetcher: fetcher,
		lastReport: make(map[uint64]time.Time), published: make(map[uint64]bool),
	}
}

// PollServers queries each server that is assigned to this instance once. It
// returns when all queries have ended.
func (t *Tracker) PollServers(ctx context.Context) {
	servers := t.updateAssignment()
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, server := range servers {
		group.Go(func() error { t.poll(ctx, server); return nil })
	}
	_ = group.Wait()
}

// updateAssignment determines the servers that are assigned to this instance and
// returns them.
func (t *Tracker) updateAssignment() []*backend.Server {
	servers := t.registry.All()
	assigned := newAssignment(t.self, t.members(), len(servers))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	lastReport := make(map[uint64]time.Time)
	clear(t.published)
	var polled []*backend.Server
	for _, server := range servers {
		position := assigned.position(server)
		if !assigned.polls(position) {
			continue
		}
		polled = append(polled, server)
		t.published[server.Key] = position == 0
		lastReport[server.Key] = now
		if at, ok := t.lastReport[server.Key]; ok {
			lastReport[server.Key] = at
		}
	}
	t.lastReport = lastReport
	return polled
}

// poll queries one server and records its report.
func (t *Tracker) poll(ctx context.Context, server *backend.Server) {
	report, draining, err := t.fetcher.FetchLoad(ctx, server)
	if draining {
		server.SetDraining()
	}
	if err != nil {
		return
	}
	report.ReceivedAt = time.Now()
	server.SetLoad(report)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.lastReport[server.Key]; ok {
		t.lastReport[server.Key] = report.ReceivedAt
	}
}

// Name implements exchange.Topic.
func (t *Tracker) Name() string { return "load" }

// State implements exchange.Topic. It returns the digests of the servers for which
// this instance is first among the instances that query them, or nil if they
// exceed exchange.MaxStateBytes.
func (t *Tracker) State() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	servers := t.registry.All()
	slices.SortFunc(servers, func(a, b *backend.Server) int { return cmp.Compare(a.Key, b.Key) })
	var state []byte
	for _, server := range servers {
		if !t.published[server.Key] {
			continue
		}
		digest := t.digest(now, server)
		if state = digest.appendTo(state); len(state) > exchange.MaxStateBytes {
			return nil
		}
	}
	return state
}

func (t *Tracker) digest(now time.Time, server *backend.Server) serverDigest {
	report := server.Load()
	d := serverDigest{key: uint32(server.Key), slots: uint64(max(report.Slots, 0)), packedLoad: packLoad(report)}
	d.draining = !server.Accepts()
	if age := now.Sub(t.lastReport[server.Key]); age > staleReportAfter {
		d.reportAge = age
	}
	return d
}

// Merge implements exchange.Topic.
func (t *Tracker) Merge(instance string, state []byte) error {
	return t.MergeAged(instance, state, 0)
}

// MergeAged implements exchange.AgedTopic. A digest replaces an older report,
// unless this instance queried the server itself within localReportTTL.
func (t *Tracker) MergeAged(_ string, state []byte, age time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.refreshIndex(now)
	for len(state) > 0 {
		d, rest, err := parseDigest(state)
		if err != nil {
			return err
		}
		state = rest
		server := t.index[d.key]
		if server == nil || now.Sub(t.lastReport[server.Key]) < localReportTTL {
			continue
		}
		applyDigest(server, d, now.Add(-age))
	}
	return nil
}

// applyDigest updates a server from a digest that was made at the given time.
func applyDigest(server *backend.Server, d serverDigest, at time.Time) {
	switch {
	case d.draining:
		server.SetDraining()
	case d.slots == 0:
		report := server.Load()
		report.ReceivedAt, report.AgeAllowance = at.Add(-d.reportAge), 0
		server.SetLoad(report)
	case at.After(server.Load().ReceivedAt):
		report := unpackLoad(int(d.slots), d.packedLoad)
		report.ReceivedAt, report.AgeAllowance = at, digestAgeAllowance
		server.SetLoad(report)
	}
}

// refreshIndex rebuilds the index of servers if it is older than indexTTL.
func (t *Tracker) refreshIndex(now time.Time) {
	if t.index != nil && now.Sub(t.indexedAt) < indexTTL {
		return
	}
	t.indexedAt = now
	t.index = make(map[uint32]*backend.Server)
	for _, server := range t.registry.All() {
		t.index[uint32(server.Key)] = server
	}
}

// Forget implements exchange.Topic. It does nothing, as load reports expire by
// their age.
func (t *Tracker) Forget(string) {}
