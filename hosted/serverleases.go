package hosted

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/lease"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// serverLeasePrefix is the prefix of the keys of the leases of backend servers in
	// the store. It is followed by the id of the server and the number of the share.
	serverLeasePrefix = "fuchsiastack/leases/"
	// serverShares is the number of leases of a server. Each allows for a fraction of the
	// server's limit, which must still be enough for whole requests.
	serverShares = 2

	// leaseInterval is short compared with the warm-up time of servers.
	leaseInterval = 100 * time.Millisecond
	// selectionDelay is how long an instance must have been selected for a share before it
	// asks for the lease, and how long it keeps one that another instance is selected for.
	// Instances that start together know each other within about that time. It only avoids
	// calls in vain and leases at a few instances: the store decides who is the holder.
	selectionDelay = 400 * time.Millisecond
	// leaseRetryDelay is the mean time between the first two attempts to acquire or to
	// release a lease. It doubles with each further one, maxRetryDoublings times.
	leaseRetryDelay   = 500 * time.Millisecond
	maxRetryDoublings = 3
	// maxLeaseCalls limits the leases that an instance acquires and releases at once.
	maxLeaseCalls = 16
)

// serverLeaseConfig lets a successor have the leases of an instance that is lost within
// the warm-up time of most servers.
var serverLeaseConfig = lease.Config{TTL: 4 * time.Second, Margin: 400 * time.Millisecond}

// serverLeases holds the leases by which this instance may use backend servers with a
// limited request rate. The limit of a server applies to all instances together. As an
// instance cannot know that it knows all others, its share of a limit is not computed
// from the instances that it knows: it is a lease that the store grants to one instance
// only. Rendezvous hashing only tells which instances should ask for it.
type serverLeases struct {
	instance *Instance
	keeper   *lease.Keeper

	mu             sync.RWMutex
	shares         map[shareKey]*serverShare
	calls          int       // calls to the store in progress
	sessionRetryAt time.Time // earliest time of the next request for a session

	// Only update uses these.
	instances  []roster.Instance   // of the region, as last seen
	candidates map[string][]string // the instances that should have the shares of a server, by its id
}

// shareKey is a share of the limit of a backend server.
type shareKey struct {
	server string // id
	number int    // from 0 to serverShares-1
}

func (k shareKey) storeKey() string {
	return serverLeasePrefix + k.server + "/" + strconv.Itoa(k.number)
}

// serverShare is the state of a share at this instance, which is selected for it, has its
// lease or releases that.
type serverShare struct {
	selected  bool      // this instance should have the share
	changedAt time.Time // when selected last changed

	lease     *lease.Lease // by which the instance uses the server; nil for none
	since     time.Time    // when lease was acquired
	releasing *lease.Lease // not used any more, but maybe still held in the store

	calling  bool      // a call to the store is in progress
	failures int       // calls that failed one after the other
	retryAt  time.Time // earliest time of the next call
}

func newServerLeases(i *Instance) *serverLeases {
	return &serverLeases{
		instance: i, keeper: lease.NewKeeper(platform.ExclusiveLeases{Store: i.store}, serverLeaseConfig),
		shares: make(map[shareKey]*serverShare),
	}
}

// share implements the Share function of routing.SharedLimits.
func (l *serverLeases) share(server *backend.Server) routing.LimitShare {
	var share routing.LimitShare
	l.mu.RLock()
	defer l.mu.RUnlock()
	for number := range serverShares {
		s := l.shares[shareKey{server.ID, number}]
		if s == nil || s.lease == nil || !s.lease.Valid() {
			continue
		}
		share.Count++
		if s.since.After(share.Since) {
			share.Since = s.since
		}
	}
	return share
}

// run acquires and releases leases until ctx ends.
func (l *serverLeases) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { l.keeper.Run(ctx) })
	loop.Every(ctx, leaseInterval, func(context.Context) { l.update(ctx, &group) })
}

// update selects the shares of limited servers for this instance, and begins to acquire
// those leases and to release others.
func (l *serverLeases) update(ctx context.Context, group *sync.WaitGroup) {
	now := time.Now()
	selected := l.selected(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range selected {
		if l.shares[key] == nil {
			l.shares[key] = &serverShare{}
		}
	}
	ready := len(selected) > 0 && l.sessionReady(now)
	for key, share := range l.shares {
		share.setSelected(now, selected[key])
		settled := now.Sub(share.changedAt) >= selectionDelay
		if share.lease != nil && !share.lease.Valid() {
			l.log("lost", key, nil)
			share.lease, share.retryAt = nil, now
		}
		if share.lease != nil && !share.selected && settled {
			share.releasing, share.lease = share.lease, nil
		}
		switch {
		case share.calling:
		case !share.selected && share.lease == nil && share.releasing == nil:
			delete(l.shares, key)
		case l.calls >= maxLeaseCalls || now.Before(share.retryAt):
		case share.releasing != nil:
			l.call(group, share, func() error { return l.release(ctx, key, share) })
		case share.lease == nil && share.selected && settled && ready:
			l.call(group, share, func() error { return l.acquire(ctx, key, share) })
		}
	}
}

// call runs an operation on a share in the background. After an error the next one is
// delayed, more so after each further error. l.mu is held.
func (l *serverLeases) call(group *sync.WaitGroup, share *serverShare, operation func() error) {
	l.calls++
	share.calling = true
	group.Go(func() {
		err := operation()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calls--
		share.calling = false
		if err == nil {
			share.failures, share.retryAt = 0, time.Time{}
			return
		}
		delay := leaseRetryDelay << min(share.failures, maxRetryDoublings)
		share.failures++
		share.retryAt = time.Now().Add(delay/2 + rand.N(delay))
	})
}

// sessionReady reports whether there is a session for leases. If not, it asks for one at
// most once per leaseRetryDelay. l.mu is held.
func (l *serverLeases) sessionReady(now time.Time) bool {
	if l.keeper.HasSession() {
		return true
	}
	if !now.Before(l.sessionRetryAt) {
		l.sessionRetryAt = now.Add(leaseRetryDelay)
		l.keeper.RequestSession()
	}
	return false
}

func (s *serverShare) setSelected(now time.Time, selected bool) {
	if s.selected != selected {
		s.selected, s.changedAt = selected, now
	}
}

// selected returns the shares of limited servers that this instance should have. Until
// the store lists this instance, others cannot know it, and it selects itself for none.
func (l *serverLeases) selected(now time.Time) map[shareKey]bool {
	i := l.instance
	if _, listed := i.mirror.Get(instanceKeyPrefix + i.settings.Instance); !listed {
		return nil
	}
	shares := make(map[shareKey]bool)
	for _, server := range i.registry.All() {
		if !l.limited(now, server) {
			delete(l.candidates, server.ID)
			continue
		}
		order := l.candidatesOf(server.ID)
		for number := range serverShares {
			if len(order) > 0 && order[number%len(order)] == i.settings.Instance {
				shares[shareKey{server.ID, number}] = true
			}
		}
	}
	return shares
}

// candidatesOf returns the instances that should have the shares of a server, as far as
// this instance knows.
func (l *serverLeases) candidatesOf(server string) []string {
	live := l.instance.roster.InRegion(l.instance.settings.Region)
	// The roster keeps its list until a change.
	if l.candidates == nil || len(live) != len(l.instances) || len(live) > 0 && &live[0] != &l.instances[0] {
		l.instances, l.candidates = live, make(map[string][]string)
	}
	order, known := l.candidates[server]
	if !known {
		order = membership.Rendezvous(ids(live), server, serverShares)
		l.candidates[server] = order
	}
	return order
}

// limited reports whether the shares of a server's limit are needed.
func (l *serverLeases) limited(now time.Time, server *backend.Server) bool {
	snapshot := l.instance.table.Current()
	if snapshot == nil || !server.Accepts() {
		return false
	}
	return routing.Limited(now, snapshot.Services[server.Service], server)
}

// acquire asks the store for the lease of a share.
func (l *serverLeases) acquire(ctx context.Context, key shareKey, share *serverShare) error {
	held, err := l.keeper.Acquire(ctx, key.storeKey())
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, lease.ErrNoSession) && !errors.Is(err, lease.ErrHeld) {
			l.log("failed", key, err)
		}
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share.lease, share.since = held, time.Now()
	l.log("held", key, nil)
	return nil
}

// release gives up the lease of a share that this instance no longer uses. Until that
// has succeeded, or the session of the lease has ended, the instance does not acquire the
// lease again: an earlier deletion could be done after that.
func (l *serverLeases) release(ctx context.Context, key shareKey, share *serverShare) error {
	l.mu.RLock()
	held := share.releasing
	l.mu.RUnlock()
	err := l.keeper.Release(ctx, held)
	if err != nil && !errors.Is(err, store.ErrConflict) && l.keeper.HasSession() {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share.releasing = nil
	l.log("released", key, nil)
	return nil
}

func (l *serverLeases) log(state string, key shareKey, err error) {
	l.instance.log.Info().Str("event", "server_lease").Str("server", key.server).Int("share", key.number).Str("state", state).
		AnErr("error", err).Msg("")
}
