package configsync

import (
	"context"
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// announcementBytes is the size of an announcement: 8 bytes of the revision and
// the first 8 bytes of the digest.
const announcementBytes = 16

// Name implements exchange.Topic.
func (f *Follower) Name() string { return "config" }

// State implements exchange.Topic. It returns the announcement of the revision
// in force, or nil if there is none yet.
func (f *Follower) State() []byte {
	current := f.Current()
	if current.Revision == 0 {
		return nil
	}
	text := binary.BigEndian.AppendUint64(nil, current.Revision)
	return append(text, current.Digest[:announcementBytes-len(text)]...)
}

// Merge implements exchange.Topic. It queues a fetch from a peer that announced
// a revision above the current one.
func (f *Follower) Merge(instance string, state []byte) error {
	if len(state) != announcementBytes {
		return errors.Errorf("configsync: merge announcement of %s: got %d bytes, want %d", instance, len(state), announcementBytes)
	}
	revision := binary.BigEndian.Uint64(state)
	if revision <= f.Current().Revision {
		return nil
	}
	select {
	case f.announcements <- announcement{instance: instance, revision: revision}:
	default: // drop the announcement: enough peers are queued
	}
	return nil
}

// Forget implements exchange.Topic. The Follower keeps no state of peers.
func (f *Follower) Forget(string) {}

// followPeers fetches from the peers that announced a newer revision.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case a := <-f.announcements:
			if a.revision <= f.Current().Revision {
				continue
			}
			if err := f.fetch(ctx, a.instance); err != nil && ctx.Err() == nil {
				f.logger.Warn().Str("event", "config_fetch_failed").Str("peer", a.instance).Err(err).Msg("")
			}
		case <-ctx.Done():
			return
		}
	}
}

// fetch fetches the revisions after the current one from an instance and puts
// the resulting state in force. If the received deltas do not apply to the
// current state, it rebuilds the state from an update that starts at revision 0.
func (f *Follower) fetch(ctx context.Context, instance string) error {
	update, err := f.requestUpdate(ctx, instance, f.Current().Revision)
	if err != nil {
		return err
	}
	state, err := applyUpdate(f.Current(), update)
	if errors.Is(err, configlog.ErrGap) || errors.Is(err, configlog.ErrDigest) {
		if update, err = f.requestUpdate(ctx, instance, 0); err != nil {
			return err
		}
		state, err = applyUpdate(configlog.Empty(), update)
	}
	if err != nil || state == nil {
		return err
	}
	return f.advance(state, update.Deltas, instance)
}

func (f *Follower) requestUpdate(ctx context.Context, instance string, after uint64) (Update, error) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := f.peers.Fetch(fetchCtx, instance, after)
	if err != nil {
		return Update{}, errors.Wrapf(err, "fetch configuration after revision %d from %s", after, instance)
	}
	return update, nil
}

// applyUpdate returns the state that results from update and base, or nil if
// update is empty.
func applyUpdate(base *configlog.State, update Update) (*configlog.State, error) {
	if update.State != nil {
		return update.State, update.State.Verify()
	}
	var state *configlog.State
	for _, delta := range update.Deltas {
		next, err := base.Apply(delta)
		if err != nil {
			return nil, err
		}
		state, base = next, next
	}
	return state, nil
}

// Since returns the update from revision after to the current one: the deltas if
// all of them are kept, otherwise the full state.
func (f *Follower) Since(after uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if current.Revision <= after {
		return Update{}
	}
	if n := len(f.recentDeltas); n > 0 && f.recentDeltas[0].Revision <= after+1 {
		return Update{Deltas: append([]configlog.Delta(nil), f.recentDeltas[after+1-f.recentDeltas[0].Revision:]...)}
	}
	return Update{State: current}
}
