package hosted

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// watcherKey selects, among the instances of an availability zone, the watcher: the
	// one that follows the store. The others follow it, and return to the store when it
	// fails.
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
// mirror.Update.
type changesResponse struct {
	Changes  []store.Change     `json:"changes"`
	Revision uint64             `json:"revision"`
	Era      uint64             `json:"era,omitempty"` // of Revision
	Full     bool               `json:"full,omitempty"`
	Status   mirror.RelayStatus `json:"status,omitempty"` // set if the query waits for a change
	AgeMS    int64              `json:"age-ms,omitempty"` // of the changes; set if the query waits
}

func newChangesResponse(update mirror.Update, status mirror.RelayStatus) changesResponse {
	response := changesResponse{
		Changes: update.Changes, Revision: update.Revision.Number, Era: update.Revision.Era, Full: update.Full, Status: status,
	}
	if status == mirror.RelayCurrent {
		response.AgeMS = update.Age.Milliseconds()
	}
	return response
}

func (r changesResponse) update() mirror.Update {
	return mirror.Update{
		Changes: r.Changes, Revision: store.Revision{Era: r.Era, Number: r.Revision}, Full: r.Full,
		Age: time.Duration(max(r.AgeMS, 0)) * time.Millisecond,
	}
}

// serveChanges responds with the changes of the store after the revision "since". With
// "wait-ms" it waits for a change, as long as this instance follows the store.
func (i *Instance) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := parseSince(query)
	if err != nil {
		http.Error(w, "since: want a revision", http.StatusBadRequest)
		return
	}
	text := query.Get("wait-ms")
	if text == "" {
		i.writeJSON(w, newChangesResponse(i.mirror.Since(since), ""))
		return
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		http.Error(w, "wait-ms: want a number of milliseconds", http.StatusBadRequest)
		return
	}
	if i.draining.Load() {
		i.writeJSON(w, newChangesResponse(mirror.Update{}, mirror.RelayDetached))
		return
	}
	update, status := i.mirror.Await(r.Context(), since, min(time.Duration(ms)*time.Millisecond, maxRelayWait))
	if status == mirror.RelayCurrent && !i.relayBudget.take(updateSize(update)) {
		update, status = mirror.Update{Revision: since}, mirror.RelayBehind
	}
	i.writeJSON(w, newChangesResponse(update, status))
}

// sinceQuery returns the parameters of a query for changes after a revision. The era is
// left out while it is 0.
func sinceQuery(since store.Revision) url.Values {
	params := url.Values{"since": {strconv.FormatUint(since.Number, 10)}}
	if since.Era > 0 {
		params.Set("era", strconv.FormatUint(since.Era, 10))
	}
	return params
}

// parseSince is the inverse of sinceQuery.
func parseSince(params url.Values) (since store.Revision, err error) {
	if since.Number, err = strconv.ParseUint(params.Get("since"), 10, 64); err != nil {
		return since, err
	}
	if text := params.Get("era"); text != "" {
		since.Era, err = strconv.ParseUint(text, 10, 64)
	}
	return since, err
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

// watcher returns the instance of this availability zone that follows the store for the
// others.
func (i *Instance) watcher() (roster.Instance, bool) {
	var ids []string
	zone := make(map[string]roster.Instance)
	for _, other := range i.roster.InRegion(i.settings.Region) {
		if other.Zone == i.settings.Zone {
			ids = append(ids, other.ID)
			zone[other.ID] = other
		}
	}
	if len(ids) == 0 {
		return roster.Instance{}, false
	}
	return zone[membership.Rendezvous(ids, watcherKey, 1)[0]], true
}

// storeRelay implements mirror.Mirror.Relay: the watcher, unless it is this instance.
func (i *Instance) storeRelay() mirror.Relay {
	watcher, found := i.watcher()
	if !found || watcher.ID == i.settings.Instance {
		return nil
	}
	return func(ctx context.Context, since store.Revision, wait time.Duration) (mirror.Update, mirror.RelayStatus, error) {
		var response changesResponse
		params := sinceQuery(since)
		params.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
		err := i.queryPeer(ctx, peerQuery{watcher.PeerAddr, changesPath, params, wait + relayStallTimeout}, &response)
		if failed := err != nil || response.Status != mirror.RelayCurrent && response.Status != mirror.RelayBehind; failed && ctx.Err() == nil {
			telemetry.Revision(i.log.Info().Str("event", "relay_failed").Str("peer", watcher.ID), since).
				Str("status", string(response.Status)).Err(err).Msg("")
		}
		return response.update(), response.Status, err
	}
}
