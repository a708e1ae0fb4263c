package telemetry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/drain"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// AdmissionObserver writes metrics and log lines for admission control, rate
// limits and overload protection.
type AdmissionObserver struct {
	log      *log.Logger
	meter    metric.Meter
	refusals metric.Int64Counter
	wait     metric.Float64Histogram
}

// NewAdmissionObserver creates an AdmissionObserver and registers its
// instruments. The gauges are registered by RegisterGauges.
func NewAdmissionObserver(logger *log.Logger, metrics *Metrics) (*AdmissionObserver, error) {
	a := &AdmissionObserver{log: logger, meter: metrics.Meter()}
	var errs [2]error
	a.refusals, errs[0] = a.meter.Int64Counter("fuchsia.refusals",
		metric.WithDescription("Requests refused before they ran, by filter, reason and code."))
	a.wait, errs[1] = a.meter.Float64Histogram("fuchsia.queue.wait", metric.WithUnit("s"),
		metric.WithDescription("Time in the queue of requests that waited and started."),
		metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "create admission instrument")
		}
	}
	return a, nil
}

// Queued implements filters.AdmissionObserver.
func (a *AdmissionObserver) Queued(x *filters.Exchange, wait time.Duration) {
	a.wait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.String("rank", x.Work.Rank.String())))
	a.log.Info().Str("event", "queued").Str("request_id", x.ID).Str("service", x.Service.Name).
		Str("rank", x.Work.Rank.String()).Str("caller", x.Caller).Int("priority", x.Work.Priority).Dur("wait", wait).Msg("")
}

// Refused implements filters.AdmissionObserver.
func (a *AdmissionObserver) Refused(x *filters.Exchange, filter, reason string, refusal *outcome.Error) {
	a.refused(x, filter, reason, refusal).Str("resumes", x.Resumes).Msg("")
}

// OverLimit implements filters.AdmissionObserver.
func (a *AdmissionObserver) OverLimit(x *filters.Exchange, exceeded *ratelimit.Refusal, refusal *outcome.Error) {
	a.refused(x, filters.Limit{}.Name(), string(exceeded.Limit), refusal).
		Float64("used", exceeded.Used).Float64("allowed", exceeded.Allowed).Float64("share", exceeded.Share.Fraction).
		Int64("units", exceeded.Share.HeldUnits).Int("members", exceeded.Share.Members).
		Str("bound", string(exceeded.Share.Bound)).Dur("share_age", exceeded.ShareAge).Msg("")
}

// refused counts a refusal and returns its log line.
func (a *AdmissionObserver) refused(x *filters.Exchange, filter, reason string, refusal *outcome.Error) *log.Entry {
	service, rank := a.countRefusal(x, filter, reason, refusal)
	revision := uint64(0) // before the request is assigned a configuration
	if x.Snapshot != nil {
		revision = x.Snapshot.Revision
	}
	entry := a.log.Info().Str("event", "refused").Str("request_id", x.ID).Str("service", service).Str("rank", rank).
		Str("caller", x.Caller).Str("filter", filter).Str("reason", reason).Str("code", string(refusal.Code)).
		Str("outcome", refusal.Outcome.String()).Dur("retry_after", refusal.RetryAfter).Uint64("revision", revision)
	if x.Version != 0 {
		entry = entry.Str("origin", x.Version.String()).Str("origin_source", string(x.VersionSource))
	}
	return entry
}

func (a *AdmissionObserver) countRefusal(x *filters.Exchange, filter, reason string, refusal *outcome.Error) (service, rank string) {
	if x.Service != nil {
		service, rank = x.Service.Name, x.Work.Rank.String()
	}
	attributes := []attribute.KeyValue{
		attribute.String("service", service), attribute.String("rank", rank), attribute.String("filter", filter),
		attribute.String("reason", reason), attribute.String("code", string(refusal.Code)),
	}
	if x.Organization != nil {
		attributes = append(attributes, attribute.String("organization", x.Organization.Name))
	}
	a.refusals.Add(context.Background(), 1, metric.WithAttributes(attributes...))
	return service, rank
}

// DrainRefusal is why a draining instance refuses a request.
type DrainRefusal struct {
	drain.Decision
	ReadyInstances int // other instances of the region that are ready
}

// RefusedByDrain is called for each request that a draining instance refuses because
// it would not end in time.
func (a *AdmissionObserver) RefusedByDrain(x *filters.Exchange, r DrainRefusal, refusal *outcome.Error) {
	a.countRefusal(x, "drain", string(r.Basis), refusal)
	a.log.Info().Str("event", "drain_refused").Str("request_id", x.ID).Str("service", x.Service.Name).Str("work", x.Work.Name).
		Str("basis", string(r.Basis)).Dur("time_left", r.Left).Dur("estimate", r.Estimate).Int("samples", r.Samples).
		Int("output_tokens", x.MaxOutputTokens).Dur("deadline_in", time.Until(x.Deadline)).Int("ready_instances", r.ReadyInstances).
		Bool("started", x.Started).Str("code", string(refusal.Code)).Dur("retry_after", refusal.RetryAfter).Msg("")
}

// ShareMember logs a change of the members among which limits or slots are divided.
func (a *AdmissionObserver) ShareMember(change *share.MemberChange) {
	a.log.Info().Str("event", "share_member").Str("topic", change.Topic).Str("change", string(change.Kind)).
		Str("instance", change.Instance).Uint64("incarnation", change.Incarnation).Dur("age", change.Age).
		Int("members", change.Members).Int("departed", change.Departed).Msg("")
}

// gauges holds the instruments whose values are read when metrics are collected.
type gauges struct {
	queued, queuedBytes, running, slots metric.Int64ObservableGauge
	usage, connections                  metric.Int64ObservableGauge
}

// RegisterGauges registers gauges for the admission queues, the overload guard
// and the open connections. They are read whenever metrics are collected.
func (a *AdmissionObserver) RegisterGauges(queue *admission.Queue, guard *overload.Guard, conns *overload.ConnectionLimiter) error {
	var g gauges
	for _, instrument := range []struct {
		dest              *metric.Int64ObservableGauge
		name, description string
	}{
		{&g.queued, "fuchsia.queue.length", "Requests that wait for a slot."},
		{&g.queuedBytes, "fuchsia.queue.bytes", "Memory of the requests that wait for a slot."},
		{&g.running, "fuchsia.slots.used", "Slots that requests of this instance hold."},
		{&g.slots, "fuchsia.slots", "Slots that this instance may use."},
		{&g.usage, "fuchsia.held", "What the instance holds, by bound."},
		{&g.connections, "fuchsia.connections", "Open connections of callers."},
	} {
		gauge, err := a.meter.Int64ObservableGauge(instrument.name, metric.WithDescription(instrument.description))
		if err != nil {
			return errors.Wrapf(err, "create gauge %s", instrument.name)
		}
		*instrument.dest = gauge
	}
	observe := func(_ context.Context, o metric.Observer) error {
		queue.Each(func(service string, stats admission.Stats) { g.observeQueue(o, service, stats) })
		usage := guard.Usage()
		for reason, value := range map[overload.Reason]int64{
			overload.ReasonInFlight: usage.InFlight, overload.ReasonBodyBytes: usage.BodyBytes, overload.ReasonHeapBytes: usage.HeapBytes,
		} {
			o.ObserveInt64(g.usage, value, metric.WithAttributes(attribute.String("bound", string(reason))))
		}
		o.ObserveInt64(g.connections, int64(conns.OpenCount()))
		return nil
	}
	if _, err := a.meter.RegisterCallback(observe, g.queued, g.queuedBytes, g.running, g.slots, g.usage, g.connections); err != nil {
		return errors.Wrap(err, "register callback of admission gauges")
	}
	return nil
}

func (g *gauges) observeQueue(o metric.Observer, service string, stats admission.Stats) {
	name := attribute.String("service", service)
	o.ObserveInt64(g.running, int64(stats.Running), metric.WithAttributes(name))
	o.ObserveInt64(g.slots, int64(stats.Slots), metric.WithAttributes(name))
	for rank := range catalog.Rank(catalog.RankCount) {
		labels := metric.WithAttributes(name, attribute.String("rank", rank.String()))
		o.ObserveInt64(g.queued, int64(stats.Ranks[rank].Queued), labels)
		o.ObserveInt64(g.queuedBytes, stats.Ranks[rank].Bytes, labels)
	}
}
