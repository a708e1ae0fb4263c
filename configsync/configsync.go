// Package configsync keeps the configuration of an instance at the newest
// revision. A few instances of each region watch the head in the store; the
// others hear of a new revision from their peers and fetch the deltas from the
// peer that told them. With the store down, newcomers and instances that
// missed deltas learn from peers alone. A lower revision never replaces a
// higher one, whoever it comes from.
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

// Bounds in time.
const (
	watchWait    = 30 * time.Second       // one watch of the head
	watchSlack   = 5 * time.Second        // beyond watchWait until a watch is given up
	readTimeout  = 10 * time.Second       // reading deltas or a snapshot from the store
	fetchTimeout = 5 * time.Second        // one fetch from a peer
	minBackoff   = 100 * time.Millisecond // after the first failure
	maxBackoff   = 5 * time.Second
	recheck      = time.Minute // between two looks at the head without a watch
)

// Sizes.
const (
	keptDeltas     = 128 // for peers that are a little behind
	bootstrapPeers = 3   // asked by a newcomer before the store
	hintQueue      = 64
)

// fromStore is the source of a state that was read from the store.
const fromStore = "store"

// hint is an instance that announced a revision.
type hint struct {
	instance string
	revision uint64
}

// Update is what a peer answers: the deltas after the revision asked for, or
// the whole state if it does not keep them any more. Both are empty if it
// knows nothing newer.
type Update struct {
	Deltas []configlog.Delta
	State  *configlog.State
}

// Peers reaches other instances.
type Peers interface {
	// Candidates returns ids of instances that may know the configuration, in
	// random order.
	Candidates() []string
	// Fetch asks an instance for everything after a revision.
	Fetch(ctx context.Context, instance string, after uint64) (Update, error)
}

// Follower keeps one instance's configuration. Create it with New.
type Follower struct {
	log     *configlog.Log
	peers   Peers
	watches func() bool
	apply   func(*configlog.State) error
	logger  *log.Logger

	current atomic.Pointer[configlog.State]
	mu      sync.Mutex // held while the state advances
	recent  []configlog.Delta
	hints   chan hint
}

// Options configure a Follower.
type Options struct {
	Log   *configlog.Log
	Peers Peers
	// Watches reports whether this instance is one of the few that watch the
	// store.
	Watches func() bool
	// Apply puts a state in force. A state that it refuses is not announced.
	Apply  func(*configlog.State) error
	Logger *log.Logger
}

// New returns a Follower without configuration.
func New(o Options) *Follower {
	f := &Follower{
		log: o.Log, peers: o.Peers, watches: o.Watches, apply: o.Apply, logger: o.Logger,
		hints: make(chan hint, hintQueue),
	}
	f.current.Store(configlog.Empty())
	return f
}

// Current returns the state in force; its revision is 0 before the first one.
func (f *Follower) Current() *configlog.State { return f.current.Load() }

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.bootstrap(ctx); f.followStore(ctx) })
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Wait()
}

// bootstrap takes the newest configuration that a few peers know.
func (f *Follower) bootstrap(ctx context.Context) {
	candidates := f.peers.Candidates()
	for _, instance := range candidates[:min(len(candidates), bootstrapPeers)] {
		if err := f.fetch(ctx, instance); err != nil {
			f.logger.Warn().Str("event", "config_bootstrap_failed").Str("peer", instance).Err(err).Msg("")
		}
	}
}

// followStore reads new revisions from the store: at once if this instance
// watches it, otherwise now and then as a safeguard.
func (f *Follower) followStore(ctx context.Context) {
	var index uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.Current().Revision > 0 && !f.watches() {
			sleep(ctx, jitter(recheck))
			index = 0
		}
		next, err := f.readStore(ctx, index)
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

// readStore waits for a change of the head after index and takes it over.
func (f *Follower) readStore(ctx context.Context, index uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
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
		if err := f.readTo(ctx, head); err != nil {
			return 0, err
		}
	}
	return next, nil
}

func (f *Follower) readTo(ctx context.Context, head configlog.Head) error {
	known := f.Current()
	if known.Revision == head.Revision && known.Digest != head.Digest {
		// This state was damaged on its way; the store is right.
		f.logger.Error().Str("event", "config_digest_mismatch").Uint64("revision", head.Revision).Msg("")
		return f.repair(ctx, head)
	}
	if known.Revision >= head.Revision {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, deltas, err := f.log.ReadTo(readCtx, known, head)
	if errors.Is(err, configlog.ErrDigest) || errors.Is(err, store.ErrNotFound) {
		return f.repair(ctx, head)
	}
	if err != nil {
		return err
	}
	return f.advance(state, deltas, fromStore)
}

// repair reads the whole state from the store.
func (f *Follower) repair(ctx context.Context, head configlog.Head) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, _, err := f.log.ReadTo(readCtx, nil, head)
	if err != nil {
		return err
	}
	return f.advance(state, nil, fromStore)
}

// advance puts state in force if it is newer, or if it repairs the current
// revision.
func (f *Follower) advance(state *configlog.State, deltas []configlog.Delta, from string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	repaired := state.Revision == current.Revision && state.Digest != current.Digest && from == fromStore
	if state.Revision <= current.Revision && !repaired {
		return nil
	}
	if err := f.apply(state); err != nil {
		return errors.Wrapf(err, "revision %d", state.Revision)
	}
	f.current.Store(state)
	f.remember(state, deltas)
	f.logger.Info().Str("event", "config").Uint64("revision", state.Revision).Str("digest", state.Digest.String()).
		Str("from", from).Int("entries", len(state.Entries)).Msg("")
	return nil
}

// remember keeps the deltas that led to state, or none if they do not follow
// one another.
func (f *Follower) remember(state *configlog.State, deltas []configlog.Delta) {
	if len(deltas) == 0 || deltas[len(deltas)-1].Revision != state.Revision {
		f.recent = nil
		return
	}
	if n := len(f.recent); n > 0 && f.recent[n-1].Revision+1 != deltas[0].Revision {
		f.recent = nil
	}
	f.recent = append(f.recent, deltas...)
	if extra := len(f.recent) - keptDeltas; extra > 0 {
		f.recent = append([]configlog.Delta(nil), f.recent[extra:]...)
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

// jitter returns a duration between half of d and d, so that many instances do
// not act at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
