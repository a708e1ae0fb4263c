package telemetry

import (
	"context"

	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Revision adds a revision of the store to a log line. The era is left out while it is 0.
func Revision(entry *log.Entry, revision store.Revision) *log.Entry {
	entry = entry.Uint64("store_revision", revision.Number)
	if revision.Era > 0 {
		entry = entry.Uint64("store_era", revision.Era)
	}
	return entry
}

// StoreEraLearned records that a response has named a new era of the store, at which the
// given number of leases became void.
func (o *Observer) StoreEraLearned(era uint64, leases int) {
	o.Metrics.eras.Add(context.Background(), 1)
	o.Metrics.eraDropped.Add(context.Background(), int64(leases), eraLeases)
	o.Log.Warn().Str("event", "store_era").Uint64("era", era).Int("leases_dropped", leases).Msg("")
}

// StoreEraChanged records that the copy of the store is complete in a later era.
func (o *Observer) StoreEraChanged(from, to store.Revision, dropped, kept int) {
	o.Metrics.eraDropped.Add(context.Background(), int64(dropped), eraEntries)
	Revision(o.Log.Warn().Str("event", "store_era_listed").Str("from", from.String()), to).
		Int("entries_dropped", dropped).Int("entries", kept).Msg("")
}
