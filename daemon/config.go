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
	// configWatchers is how many instances of a region watch the head of the
	// configuration in the store. Two, so that a failed one delays nothing.
	configWatchers = 2
	purposeConfig  = "config"
)

// newConfigFollower returns the controller that keeps d.table at the newest
// revision.
func (d *Daemon) newConfigFollower(s store.Store) *configsync.Follower {
	builder := &config.Builder{}
	return configsync.New(configsync.Options{
		Log:     &configlog.Log{Store: s},
		Peers:   configPeers{d},
		Watches: func() bool { return d.isTop(purposeConfig, configWatchers) },
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

// configPeers reaches the other instances for their configuration.
type configPeers struct{ daemon *Daemon }

// Candidates implements configsync.Peers. Instances of the own region come
// first, so that a newcomer does not load the links between regions.
func (p configPeers) Candidates() []string {
	var near, far []string
	for _, i := range p.daemon.peers.all() {
		if i.Region == p.daemon.settings.Region {
			near = append(near, i.ID)
		} else {
			far = append(far, i.ID)
		}
	}
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

func shuffle(ids []string) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// Fetch implements configsync.Peers.
func (p configPeers) Fetch(ctx context.Context, instance string, after uint64) (configsync.Update, error) {
	var update configsync.Update
	all := p.daemon.peers.all()
	at := slices.IndexFunc(all, func(i listing.Instance) bool { return i.ID == instance })
	if at < 0 {
		return update, errors.Errorf("instance %s is not known", instance)
	}
	err := p.daemon.peering.client.Call(ctx, all[at], configsync.SinceMethod, &configsync.SinceArgs{After: after}, &update)
	return update, err
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
