package daemon

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// newClaimer creates the claimer for requests that must run at most once. Without
// a digest key there is none, and such requests are refused.
func (d *Daemon) newClaimer(kv store.Store) error {
	if d.settings.DigestKey == "" {
		d.log.Warn().Str("event", "claims_off").Msg("digest key is not set: requests that must run at most once are refused")
		return nil
	}
	claimer, err := claim.New(kv, claim.Config{
		Secret:    []byte(d.settings.DigestKey),
		Retention: d.settings.ClaimRetention,
	})
	if err != nil {
		return err
	}
	d.claimer = claimer
	return d.registerClaimMetrics()
}

// registerClaimMetrics registers the claim counters.
func (d *Daemon) registerClaimMetrics() error {
	meter := d.metrics.Meter()
	for name, read := range map[string]func(claim.Stats) uint64{
		"fuchsia.claims":              func(s claim.Stats) uint64 { return s.Claims },
		"fuchsia.claim.duplicates":    func(s claim.Stats) uint64 { return s.Duplicates },
		"fuchsia.claim.unavailable":   func(s claim.Stats) uint64 { return s.Unavailable },
		"fuchsia.claim.store_writes":  func(s claim.Stats) uint64 { return s.Transactions },
		"fuchsia.claim.store_reads":   func(s claim.Stats) uint64 { return s.Reads },
		"fuchsia.claim.records_clean": func(s claim.Stats) uint64 { return s.Deleted },
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(read(d.claimer.Stats())))
			return nil
		}
		if _, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe)); err != nil {
			return errors.Wrapf(err, "create instrument %s", name)
		}
	}
	return nil
}

// claimFilter returns the filter that claims idempotency keys. Without a digest
// key it refuses requests that need a claim.
func (d *Daemon) claimFilter() filters.Claim {
	if d.claimer == nil {
		return filters.Claim{}
	}
	return filters.Claim{Claimer: d.claimer}
}

// startClaimCleanup starts the deletion of expired claim records, which runs until
// ctx ends.
func (d *Daemon) startClaimCleanup(ctx context.Context, group *errgroup.Group) {
	if d.claimer == nil {
		return
	}
	group.Go(func() error { d.claimer.Clean(ctx); return nil })
}

// flushClaims waits until all claim outcomes are written to the store, or until
// ctx ends.
func (d *Daemon) flushClaims(ctx context.Context) {
	if d.claimer == nil {
		return
	}
	if err := d.claimer.Flush(ctx); err != nil {
		d.log.Warn().Str("event", "claims_not_flushed").Err(err).Msg("")
	}
}
