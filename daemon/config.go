package daemon

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/configsync"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// newConfigFollower returns the controller that keeps d.table at the newest
// revision.
func (d *Daemon) newConfigFollower(s store.Store) *configsync.Follower {
	builder := &config.Builder{}
	return configsync.New(configsync.Options{
		Log:     &configlog.Log{Store: s},
		Peers:   noPeers{},
		Watches: func() bool { return true },
		Logger:  d.log,
		Apply: func(state *configlog.State) error {
			snapshot, err := builder.Build(state)
			if err != nil {
				return err
			}
			d.table.Advance(snapshot)
			return nil
		},
	})
}

// noPeers is used until instances can be reached.
type noPeers struct{}

// Candidates implements configsync.Peers.
func (noPeers) Candidates() []string { return nil }

// Fetch implements configsync.Peers.
func (noPeers) Fetch(context.Context, string, uint64) (configsync.Update, error) {
	return configsync.Update{}, nil
}

// answerRevision tells the revision in force.
func (d *Daemon) answerRevision(w http.ResponseWriter, _ *http.Request) {
	current := d.config.Current()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rollout.RevisionAnswer{
		Instance: d.settings.Instance,
		Revision: current.Revision,
		Digest:   current.Digest.String(),
	})
}
