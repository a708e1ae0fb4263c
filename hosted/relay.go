package hosted

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// watchersPerZone is how many instances of an availability zone follow the store.
	// The others follow one of them. One is enough, as the others return to the store
	// when it fails.
	watchersPerZone = 1
	// watcherKey selects the watchers of a zone among its instances.
	watcherKey = "store-watchers"
	// relayStallTimeout is how much longer than its wait a relay may take to respond.
	relayStallTimeout = 400 * time.Millisecond
	// relayLinkFraction is the fraction of the link rate that relayed changes may use.
	// Instances that would need more read the changes from the store.
	relayLinkFraction = 0.1
	// maxRelayWait bounds the wait that another instance may ask for.
	maxRelayWait = 10 * time.Second
)

// changesResponse is the response to a query for changes of the store. See
// mirror.Update and mirror.Relay.
type changesResponse struct {
	Changes   []store.Change `json:"changes"`
	Revision  uint64         `json:"revision"`
	Full      bool           `json:"full,omitempty"`
	Following bool           `json:"following,omitempty"`
}

func newChangesResponse(update mirror.Update, following bool) changesResponse {
	return changesResponse{update.Changes, update.Revision, update.Full, following}
}

func (r changesResponse) update() mirror.Update {
	return mirror.Update{Changes: r.Changes, Revision: r.Revision, Full: r.Full}
}

// serveChanges responds with the changes of the store after the revision "since". With
// "wait-ms" it waits for a change, as long as this instance follows the store.
func (i *Instance) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: want a revision", http.StatusBadRequest)
		return
	}
	text := query.Get("wait-ms")
	if text == "" {
		i.writeJSON(w, newChangesResponse(i.mirror.Since(since), i.mirror.Confirmed(time.Now())))
		return
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		http.Error(w, "wait-ms: want a number of milliseconds", http.StatusBadRequest)
		return
	}
	if i.draining.Load() {
		i.writeJSON(w, changesResponse{})
		return
	}
	update, following := i.mirror.Await(r.Context(), since, min(time.Duration(ms)*time.Millisecond, maxRelayWait))
	if following && !i.relayBudget.take(updateSize(update)) {
		update = mirror.Behind(since)
	}
	i.writeJSON(w, newChangesResponse(update, following))
}

// updateSize returns about the encoded size of an update.
func updateSize(update mirror.Update) int {
	const changeBytes = 100
	size := 0
	for _, change := range update.Changes {
		size += changeBytes + len(change.Key) + base64.StdEncoding.EncodedLen(len(change.Value))
	}
	return size
}

// storeRelay selects the instance whose copy of the store this instance follows.
type storeRelay struct {
	instance *Instance
	failures atomic.Uint64 // of relays, to use the other watcher next
}

// relay implements mirror.Mirror.Relay.
func (s *storeRelay) relay() mirror.Relay {
	i := s.instance
	var ids []string
	addrs := make(map[string]string)
	for _, other := range i.roster.InRegion(i.settings.Region) {
		if other.Zone == i.settings.Zone {
			ids = append(ids, other.ID)
			addrs[other.ID] = other.PeerAddr
		}
	}
	watchers := membership.Rendezvous(ids, watcherKey, watchersPerZone)
	if len(watchers) == 0 || slices.Contains(watchers, i.settings.Instance) {
		return nil
	}
	watchers = membership.Rendezvous(watchers, i.settings.Instance, len(watchers))
	watcher := watchers[s.failures.Load()%uint64(len(watchers))]
	return func(ctx context.Context, since uint64, wait time.Duration) (mirror.Update, bool, error) {
		var response changesResponse
		err := i.queryPeer(ctx, peerQuery{addrs[watcher], changesPath, url.Values{
			"since": {strconv.FormatUint(since, 10)}, "wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		}, wait + relayStallTimeout}, &response)
		if ctx.Err() == nil && (err != nil || !response.Following) {
			s.failures.Add(1)
			i.log.Info().Str("event", "relay_failed").Str("peer", watcher).Uint64("store_revision", since).
				Bool("following", response.Following).Err(err).Msg("")
		}
		return response.update(), response.Following, err
	}
}
