package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/configsync"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// configWatchers is the number of instances per region that watch the head
	// of the configuration in the store. With two, the failure of one does not
	// delay new revisions.
	configWatchers = 2
	purposeConfig  = "config"
)

// newConfigFollower returns the controller that keeps d.table at the newest
// configuration revision.
func (d *Daemon) newConfigFollower(s store.Store) *configsync.Follower {
	builder := &config.Builder{}
	return configsync.New(configsync.Options{
		Log:       &configlog.Log{Store: s},
		Peers:     configPeers{d},
		IsWatcher: func() bool { return d.isSelected(purposeConfig, configWatchers) },
		Logger:    d.log,
		Apply:     func(state *configlog.State) error { return d.applyConfig(builder, state) },
	})
}

// applyConfig puts a state in force. The follower passes a state of the revision in
// force only if it repairs one that was corrupted in transit.
func (d *Daemon) applyConfig(builder *config.Builder, state *configlog.State) error {
	snapshot, err := builder.Build(state)
	if err != nil {
		return err
	}
	if !d.table.Repair(snapshot) {
		return errors.Errorf("revision %d is lower than the one in force, %d", state.Revision, d.table.Current().Revision)
	}
	return nil
}

// configPeers fetches the configuration from other instances.
type configPeers struct{ daemon *Daemon }

// Candidates implements configsync.Peers. Instances of this instance's region
// come first, so that a starting instance does not load the links between
// regions.
func (p configPeers) Candidates() []string {
	var local, remote []string
	for _, i := range p.daemon.peers.all() {
		if i.Region == p.daemon.settings.Region {
			local = append(local, i.ID)
		} else {
			remote = append(remote, i.ID)
		}
	}
	shuffle(local)
	shuffle(remote)
	return append(local, remote...)
}

func shuffle(ids []string) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// Fetch implements configsync.Peers.
func (p configPeers) Fetch(ctx context.Context, instance string, after uint64) (configsync.Update, error) {
	var update configsync.Update
	all := p.daemon.peers.all()
	index := slices.IndexFunc(all, func(i listing.Instance) bool { return i.ID == instance })
	if index < 0 {
		return update, errors.Errorf("fetch configuration from instance %s: instance is not in the peer table", instance)
	}
	err := p.daemon.peering.client.Call(ctx, all[index], configsync.SinceMethod, &configsync.SinceArgs{After: after}, &update)
	return update, err
}

// handleRevision responds with the revision and digest of the configuration in
// force.
func (d *Daemon) handleRevision(w http.ResponseWriter, _ *http.Request) {
	current := d.config.Current()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rollout.RevisionResponse{
		Instance: d.settings.Instance,
		Revision: current.Revision,
		Digest:   current.Digest.String(),
	})
}
