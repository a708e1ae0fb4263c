// Package configsync keeps the configuration of an instance at the newest
// revision. A few instances of each region watch the head in the store; the
// others receive announcements of new revisions from peers and fetch the deltas
// from the peer that announced the revision. While the store is down, new
// instances and instances that missed deltas fetch from peers alone. A lower
// revision never replaces a higher one, whatever its source.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// Timeouts and intervals.
const (
	watchWait       = 30 * time.Second       // maximum duration of one watch of the head, enforced by the store
	watchMargin     = 5 * time.Second        // added to watchWait for the client-side timeout of a watch
	readTimeout     = 10 * time.Second       // one read of deltas, or of a snapshot with its deltas, from the store
	fetchTimeout    = 5 * time.Second        // one fetch from a peer
	minBackoff      = 100 * time.Millisecond // after the first failure
	maxBackoff      = 5 * time.Second
	recheckInterval = time.Minute // between two reads of the head by an instance that does not watch it
)

const (
	maxRecentDeltas        = 128 // deltas kept for peers that are slightly behind
	bootstrapPeers         = 3   // peers that a new instance queries before it reads the store
	maxQueuedAnnouncements = 64
)

// storeSource is the source that advance logs for a state from the store.
const storeSource = "store"

// announcement names an instance and the revision that it announced.
type announcement struct {
	instance string
	revision uint64
}

// Update is the response of a peer: the deltas after the requested revision, or
// the full state if the peer does not keep all of these deltas. Both fields are
// empty if the peer has no newer revision.
type Update struct {
	Deltas []configlog.Delta
	State  *configlog.State
}

// Peers lists other instances and fetches their configuration.
type Peers interface {
	// Candidates returns the IDs of instances that may hold a configuration, in
	// the order in which to query them. The order should be random.
	Candidates() []string
	// Fetch queries an instance for the update from revision after to its newest
	// revision.
	Fetch(ctx context.Context, instance string, after uint64) (Update, error)
}

// Follower keeps the configuration of one instance at the newest revision.
// Create it with New.
type Follower struct {
	log       *configlog.Log
	peers     Peers
	isWatcher func() bool
	apply     func(*configlog.State) error
	logger    *log.Logger

	current       atomic.Pointer[configlog.State]
	mu            sync.Mutex // held while the state advances; guards recentDeltas
	recentDeltas  []configlog.Delta
	announcements chan announcement
}

// Options configure a Follower.
type Options struct {
	Log   *configlog.Log
	Peers Peers
	// IsWatcher reports whether this instance is one of the few of its region that
	// watch the store.
	IsWatcher func() bool
	// Apply puts a state in force. A state for which it returns an error is
	// neither kept nor announced.
	Apply  func(*configlog.State) error
	Logger *log.Logger
}

// New returns a Follower without configuration.
func New(o Options) *Follower {
	f := &Follower{
		log: o.Log, peers: o.Peers, isWatcher: o.IsWatcher, apply: o.Apply, logger: o.Logger,
		announcements: make(chan announcement, maxQueuedAnnouncements),
	}
	f.current.Store(configlog.Empty())
	return f
}

// Current returns the state in force, or the empty state with revision 0 if
// there is none yet.
func (f *Follower) Current() *configlog.State { return f.current.Load() }

// Run keeps the configuration at the newest revision until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.bootstrap(ctx); f.followStore(ctx) })
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Wait()
}

// bootstrap fetches the configuration from a few peers and keeps the newest.
func (f *Follower) bootstrap(ctx context.Context) {
	candidates := f.peers.Candidates()
	for _, instance := range candidates[:min(len(candidates), bootstrapPeers)] {
		if err := f.fetch(ctx, instance); err != nil {
			f.logger.Warn().Str("event", "config_bootstrap_failed").Str("peer", instance).Err(err).Msg("")
		}
	}
}

// followStore reads new revisions from the store: immediately if this instance
// watches the head, otherwise every recheckInterval in case announcements were
// missed. An instance without configuration always watches.
func (f *Follower) followStore(ctx context.Context) {
	var index uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.Current().Revision > 0 && !f.isWatcher() {
			sleep(ctx, jitter(recheckInterval))
			index = 0
		}
		next, err := f.watchHead(ctx, index)
		if err == nil {
			index, backoff = next, minBackoff
			continue
		}
		if ctx.Err() == nil {
			f.logger.Warn().Str("event", "config_store_failed").Uint64("revision", f.Current().Revision).Err(err).Msg("")
		}
		index = 0
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
		if f.Current().Revision == 0 {
			f.bootstrap(ctx)
		}
	}
}

// watchHead waits for a change of the head after index, reads the state at the new
// head, and returns the index for the next watch.
func (f *Follower) watchHead(ctx context.Context, index uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	entries, next, err := f.log.Store.Watch(watchCtx, configlog.HeadKey, index, watchWait)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key != configlog.HeadKey {
			continue
		}
		head, err := configlog.DecodeHead(entry.Value)
		if err != nil {
			return 0, err
		}
		if err := f.catchUp(ctx, head); err != nil {
			return 0, err
		}
	}
	return next, nil
}

// catchUp advances to head by the deltas in the store, or by the full state if
// deltas are missing or a digest does not match.
func (f *Follower) catchUp(ctx context.Context, head configlog.Head) error {
	current := f.Current()
	if current.Revision == head.Revision && current.Digest != head.Digest {
		// The state was corrupted in transit; the store is authoritative.
		f.logger.Error().Str("event", "config_digest_mismatch").Uint64("revision", head.Revision).Msg("")
		return f.readFullState(ctx, head)
	}
	if current.Revision >= head.Revision {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, deltas, err := f.log.ReadTo(readCtx, current, head)
	if errors.Is(err, configlog.ErrDigest) || errors.Is(err, store.ErrNotFound) {
		return f.readFullState(ctx, head)
	}
	if err != nil {
		return err
	}
	return f.advance(state, deltas, storeSource)
}

// readFullState replaces the state by one that is read from the snapshot and
// its deltas in the store.
func (f *Follower) readFullState(ctx context.Context, head configlog.Head) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, _, err := f.log.ReadTo(readCtx, nil, head)
	if err != nil {
		return err
	}
	return f.advance(state, nil, storeSource)
}

// advance puts state in force if it is newer than the current state, or if it
// comes from the store and differs from the current state at the same revision.
func (f *Follower) advance(state *configlog.State, deltas []configlog.Delta, source string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	replacesCorrupt := state.Revision == current.Revision && state.Digest != current.Digest && source == storeSource
	if state.Revision <= current.Revision && !replacesCorrupt {
		return nil
	}
	if err := f.apply(state); err != nil {
		return errors.Wrapf(err, "apply configuration revision %d from %s", state.Revision, source)
	}
	f.current.Store(state)
	f.recordDeltas(state, deltas)
	f.logger.Info().Str("event", "config").Uint64("revision", state.Revision).Str("digest", state.Digest.String()).
		Str("from", source).Int("entries", len(state.Entries)).Msg("")
	return nil
}

// recordDeltas keeps the deltas that led to state, for Since. It drops the kept
// deltas if the new ones do not continue them, and all if the new ones do not
// end at state.
func (f *Follower) recordDeltas(state *configlog.State, deltas []configlog.Delta) {
	if len(deltas) == 0 || deltas[len(deltas)-1].Revision != state.Revision {
		f.recentDeltas = nil
		return
	}
	if n := len(f.recentDeltas); n > 0 && f.recentDeltas[n-1].Revision+1 != deltas[0].Revision {
		f.recentDeltas = nil
	}
	f.recentDeltas = append(f.recentDeltas, deltas...)
	if excess := len(f.recentDeltas) - maxRecentDeltas; excess > 0 {
		f.recentDeltas = append([]configlog.Delta(nil), f.recentDeltas[excess:]...)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between d/2 and d, so that instances do not
// read the store at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
