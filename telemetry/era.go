package telemetry

import (
	"context"

	"github.com/fuchsiastack/fuchsiastack/store"
)

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
	o.Log.Warn().Str("event", "store_era_listed").Str("from", from.String()).Str("store_revision", to.String()).
		Int("entries_dropped", dropped).Int("entries", kept).Msg("")
}
