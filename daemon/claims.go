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

// newClaims prepares the claims of calls that must not be repeated.
func (d *Daemon) newClaims(kv store.Store) error {
	if d.settings.DigestKey == "" {
		d.log.Warn().Str("event", "claims_off").Msg("no digest key: calls that must not be repeated are refused")
		return nil
	}
	claims, err := claim.New(kv, claim.Config{
		Secret:    []byte(d.settings.DigestKey),
		Retention: d.settings.ClaimRetention,
	})
	if err != nil {
		return err
	}
	d.claims = claims
	return d.measureClaims()
}

// measureClaims registers the counters of the claims.
func (d *Daemon) measureClaims() error {
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
			o.Observe(int64(read(d.claims.Stats())))
			return nil
		}
		if _, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe)); err != nil {
			return errors.Wrap(err, "create instrument")
		}
	}
	return nil
}

// claimFilter returns the filter that claims idempotency keys.
func (d *Daemon) claimFilter() filters.Claim {
	if d.claims == nil {
		return filters.Claim{}
	}
	return filters.Claim{Claimer: d.claims}
}

// startClaims deletes old records until ctx ends.
func (d *Daemon) startClaims(ctx context.Context, group *errgroup.Group) {
	if d.claims == nil {
		return
	}
	group.Go(func() error { d.claims.Clean(ctx); return nil })
}

// flushClaims waits for the outcomes that are not yet written.
func (d *Daemon) flushClaims(ctx context.Context) {
	if d.claims == nil {
		return
	}
	if err := d.claims.Flush(ctx); err != nil {
		d.log.Warn().Str("event", "claims_not_flushed").Err(err).Msg("")
	}
}
