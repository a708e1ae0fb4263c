package telemetry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// routingMetrics holds the instruments for routing, retries, ejections and
// quarantine.
type routingMetrics struct {
	decisions metric.Int64Counter
	cost      metric.Float64Histogram
	retries   metric.Int64Counter
	ejections metric.Int64Counter
	suspects  metric.Int64Counter

	lostAnswers  metric.Int64Counter
	parts        metric.Int64Counter
	partRefusals metric.Int64Counter

	withdrawals    metric.Int64Counter
	resumed        metric.Int64Counter
	ignoredHeaders metric.Int64Counter
	rateLimits     metric.Int64Counter
	concurrency    metric.Int64Counter
	serverChecks   metric.Int64Counter
}

func newRoutingMetrics(meter metric.Meter) (routingMetrics, error) {
	var m routingMetrics
	var errs [14]error
	m.decisions, errs[0] = meter.Int64Counter("fuchsia.routing.decisions", metric.WithDescription("Routing decisions by service, reason and spill."))
	m.cost, errs[1] = meter.Float64Histogram("fuchsia.routing.cost", metric.WithUnit("s"),
		metric.WithDescription("Expected time to first token of the chosen backend server or region."), metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
	m.retries, errs[2] = meter.Int64Counter("fuchsia.retries", metric.WithDescription("Failed attempts by verdict on a retry."))
	m.ejections, errs[3] = meter.Int64Counter("fuchsia.ejections", metric.WithDescription("Backend servers ejected by cause, or let back in."))
	m.suspects, errs[4] = meter.Int64Counter("fuchsia.suspects", metric.WithDescription("Requests whose digest is suspect, cleared or quarantined."))
	m.lostAnswers, errs[5] = meter.Int64Counter("fuchsia.lost_answers", metric.WithDescription("Answers of backend servers that were lost before their end, by whether the server had crashed."))
	m.parts, errs[6] = meter.Int64Counter("fuchsia.parts", metric.WithDescription("Parts of prompts that became suspect, cleared or quarantined."))
	m.partRefusals, errs[7] = meter.Int64Counter("fuchsia.part_refusals", metric.WithDescription("Requests refused because of a part of their prompts, at admission or before an attempt."))
	m.withdrawals, errs[8] = meter.Int64Counter("fuchsia.server_withdrawals", metric.WithDescription("Responses after which a backend server receives no more requests, for a time or for good, by cause."))
	m.resumed, errs[9] = meter.Int64Counter("fuchsia.servers_resumed", metric.WithDescription("Pauses of backend servers that have ended."))
	m.ignoredHeaders, errs[10] = meter.Int64Counter("fuchsia.ignored_headers", metric.WithDescription("Headers of backend servers whose values cannot be used."))
	m.rateLimits, errs[11] = meter.Int64Counter("fuchsia.server_limit_changes", metric.WithDescription("Limits of backend servers on requests that began, changed or ended."))
	m.concurrency, errs[12] = meter.Int64Counter("fuchsia.server_concurrency_changes", metric.WithDescription("Changes of the concurrency that backend servers handle well by a quarter of their slots, by direction."))
	m.serverChecks, errs[13] = meter.Int64Counter("fuchsia.server_checks", metric.WithDescription("Queries of backend servers for their state while the list of servers is out of date, by result."))
	for _, err := range errs {
		if err != nil {
			return m, errors.Wrap(err, "create routing instrument")
		}
	}
	return m, nil
}

func (m *routingMetrics) recordDecision(service string, d routing.Decision) {
	ctx := context.Background()
	m.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service),
		attribute.String("reason", string(d.Reason)), attribute.String("spill", string(d.Spill))))
	if d.Server != nil || d.Region != "" {
		m.cost.Record(ctx, d.Cost.Seconds(), metric.WithAttributes(attribute.String("service", service)))
	}
}

// RetryDecided implements dispatch.Observer.
func (o *Observer) RetryDecided(x *filters.Exchange, attempt int, v retry.Verdict) {
	o.Metrics.routing.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.String("reason", string(v.Reason))))
	o.Log.Info().Str("event", "retry").Str("request_id", x.ID).Int("attempt", attempt).
		Bool("retry", v.Retry).Str("reason", string(v.Reason)).Dur("after", v.After).Msg("")
}

// SuspectState implements dispatch.Observer.
func (o *Observer) SuspectState(x *filters.Exchange, digest quarantine.Digest, state quarantine.State, server string) {
	o.Metrics.routing.suspects.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.String("state", state.String())))
	o.Log.Warn().Str("event", "suspect").Str("request_id", x.ID).Str("service", x.Service.Name).Str("caller", x.Caller).
		Str("digest", digest.String()).Str("state", state.String()).Str("server", server).Msg("")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// AnswerLost implements dispatch.Observer.
func (o *Observer) AnswerLost(x *filters.Exchange, server string, crashed bool, began time.Duration) {
	o.Metrics.routing.lostAnswers.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.Bool("crashed", crashed)))
	parts := make([]string, 0, maxLoggedParts)
	for _, part := range x.Parts[:min(len(x.Parts), maxLoggedParts)] {
		parts = append(parts, part.String())
	}
	o.Log.Info().Str("event", "answer_lost").Str("request_id", x.ID).Str("service", x.Service.Name).Str("server", server).
		Bool("crashed", crashed).Dur("began", began).Str("content", x.ContentID().String()).Strs("parts", parts).Msg("")
}

// PartRefused implements dispatch.Observer.
func (o *Observer) PartRefused(x *filters.Exchange, part quarantine.PartID) {
	o.Metrics.routing.partRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", x.Service.Name)))
	o.Log.Info().Str("event", "part_refused").Str("request_id", x.ID).Str("service", x.Service.Name).Str("part", part.String()).Msg("")
}

// PartDecided implements quarantine.PartObserver.
func (o *Observer) PartDecided(d quarantine.PartDecision) {
	o.Metrics.routing.parts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", d.State.String())))
	o.Log.Warn().Str("event", "part").Str("part", d.Part.String()).Str("state", d.State.String()).
		Str("server", fmt.Sprintf("%016x", d.Server)).Int("crashes", d.Crashes).Dur("age", d.Age).Msg("")
}

// EjectionChanged implements dispatch.Observer.
func (o *Observer) EjectionChanged(e routing.Ejection) {
	cause := string(e.Cause)
	if e.Restored {
		cause = "back"
	}
	o.Metrics.routing.ejections.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", e.Server.Service), attribute.String("cause", cause)))
	o.Log.Warn().Str("event", "eject").Str("server", e.Server.ID).Str("service", e.Server.Service).
		Bool("back", e.Restored).Str("cause", cause).Time("probe_at", e.ProbeAt).Msg("")
}
