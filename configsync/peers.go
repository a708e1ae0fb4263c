package configsync

import (
	"context"
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// announcementBytes is the size of an announcement: the revision and the first
// bytes of the digest.
const announcementBytes = 16

// Name implements exchange.Topic.
func (f *Follower) Name() string { return "config" }

// State implements exchange.Topic: it announces the revision in force.
func (f *Follower) State() []byte {
	current := f.Current()
	if current.Revision == 0 {
		return nil
	}
	text := binary.BigEndian.AppendUint64(nil, current.Revision)
	return append(text, current.Digest[:announcementBytes-len(text)]...)
}

// Merge implements exchange.Topic: a peer that knows a higher revision is
// asked for it.
func (f *Follower) Merge(instance string, state []byte) error {
	if len(state) != announcementBytes {
		return errors.Errorf("configsync: announcement of %d bytes, want %d", len(state), announcementBytes)
	}
	revision := binary.BigEndian.Uint64(state)
	if revision <= f.Current().Revision {
		return nil
	}
	select {
	case f.hints <- hint{instance: instance, revision: revision}:
	default: // enough peers are waiting to be asked
	}
	return nil
}

// Forget implements exchange.Topic.
func (f *Follower) Forget(string) {}

// followPeers asks the peers that announced a newer revision.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case h := <-f.hints:
			if h.revision <= f.Current().Revision {
				continue
			}
			if err := f.fetch(ctx, h.instance); err != nil && ctx.Err() == nil {
				f.logger.Warn().Str("event", "config_fetch_failed").Str("peer", h.instance).Err(err).Msg("")
			}
		case <-ctx.Done():
			return
		}
	}
}

// fetch takes over what an instance knows beyond the current revision. Deltas
// that do not fit are replaced by the whole state.
func (f *Follower) fetch(ctx context.Context, instance string) error {
	update, err := f.ask(ctx, instance, f.Current().Revision)
	if err != nil {
		return err
	}
	state, err := follow(f.Current(), update)
	if errors.Is(err, configlog.ErrGap) || errors.Is(err, configlog.ErrDigest) {
		if update, err = f.ask(ctx, instance, 0); err != nil {
			return err
		}
		state, err = follow(configlog.Empty(), update)
	}
	if err != nil || state == nil {
		return err
	}
	return f.advance(state, update.Deltas, instance)
}

func (f *Follower) ask(ctx context.Context, instance string, after uint64) (Update, error) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := f.peers.Fetch(fetchCtx, instance, after)
	if err != nil {
		return Update{}, errors.Wrapf(err, "fetch from %s", instance)
	}
	return update, nil
}

// follow returns the state that update leads to from known, or nil if it holds
// nothing.
func follow(known *configlog.State, update Update) (*configlog.State, error) {
	if update.State != nil {
		return update.State, update.State.Verify()
	}
	var state *configlog.State
	for _, delta := range update.Deltas {
		next, err := known.Apply(delta)
		if err != nil {
			return nil, err
		}
		state, known = next, next
	}
	return state, nil
}

// Since answers a peer that knows everything up to a revision.
func (f *Follower) Since(after uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if current.Revision <= after {
		return Update{}
	}
	if n := len(f.recent); n > 0 && f.recent[0].Revision <= after+1 {
		return Update{Deltas: append([]configlog.Delta(nil), f.recent[after+1-f.recent[0].Revision:]...)}
	}
	return Update{State: current}
}
