package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quota"
)

// Quotas writes metrics and log lines for the quotas of organizations. The metrics name
// only organizations of the configuration in force.
type Quotas struct {
	admission                             *AdmissionObserver
	limiter                               *quota.Limiter
	rate, level, spending, spent, refused metric.Float64Observable
}

// NewQuotas creates a Quotas and registers its instruments, which are read whenever
// metrics are collected.
func NewQuotas(admission *AdmissionObserver, limiter *quota.Limiter) (*Quotas, error) {
	q := &Quotas{admission: admission, limiter: limiter}
	var err error
	gauge := func(name, description string) metric.Float64Observable {
		instrument, e := admission.meter.Float64ObservableGauge(name, metric.WithDescription(description))
		err = errors.Join(err, e)
		return instrument
	}
	counter := func(name, description string) metric.Float64Observable {
		instrument, e := admission.meter.Float64ObservableCounter(name, metric.WithDescription(description))
		err = errors.Join(err, e)
		return instrument
	}
	q.rate = gauge("fuchsia.quota.rate", "Quota of an organization, in units per second.")
	q.level = gauge("fuchsia.quota.level", "What is left of the quota of an organization, in units; negative if more was spent.")
	q.spending = gauge("fuchsia.quota.spending", "What all instances spend of the quota of an organization, in units per second.")
	q.spent = counter("fuchsia.quota.spent", "Units charged to an organization at this instance, without refunds.")
	q.refused = counter("fuchsia.quota.refusals", "Requests of an organization refused at this instance because of its quota.")
	if err == nil {
		_, err = admission.meter.RegisterCallback(q.observe, q.rate, q.level, q.spending, q.spent, q.refused)
	}
	if err != nil {
		return nil, errors.Wrap(err, "create quota instruments")
	}
	return q, nil
}

func (q *Quotas) observe(_ context.Context, o metric.Observer) error {
	q.limiter.Usage(func(u quota.Usage) {
		organization := metric.WithAttributes(attribute.String("organization", u.Organization))
		o.ObserveFloat64(q.rate, u.Rate, organization)
		o.ObserveFloat64(q.level, u.Level, organization)
		o.ObserveFloat64(q.spending, u.SpendingRate, organization)
		o.ObserveFloat64(q.spent, u.Spent, organization)
		o.ObserveFloat64(q.refused, float64(u.Refused), organization)
	})
	return nil
}

// OverQuota implements filters.QuotaObserver.
func (q *Quotas) OverQuota(x *filters.Exchange, exceeded *quota.Refusal, refusal *outcome.Error) {
	q.admission.refused(x, filters.Quota{}.Name(), string(exceeded.Reason), refusal).
		Str("organization", x.Organization.Name).Uint64("revision", x.Snapshot.Revision).
		Float64("cost", exceeded.Cost).Float64("level", exceeded.Level).Float64("rate", exceeded.Rate).Float64("burst", exceeded.Burst).
		Float64("fraction", exceeded.Fraction).Dur("region_age", exceeded.RegionAge).Dur("remote_age", exceeded.RemoteAge).Msg("")
}
