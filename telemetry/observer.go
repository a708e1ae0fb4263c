package telemetry

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// Observer writes metrics and log lines for requests, routing decisions,
// attempts, retries, suspects and ejections.
type Observer struct {
	Log     *log.Logger
	Metrics *Metrics

	ignoredHeaders lineLimiter
	failedChecks   lineLimiter
}

// Begin implements gateway.Observer.
func (o *Observer) Begin(x *filters.Exchange) func(*outcome.Error) {
	ctx := context.Background()
	o.Metrics.inFlight.Add(ctx, 1)
	return func(err *outcome.Error) {
		o.Metrics.inFlight.Add(ctx, -1)
		o.recordEnd(x, err)
	}
}

// maxPanicText limits the text of a panic in a log line.
const maxPanicText = 200

// Panicked implements gateway.Observer.
func (o *Observer) Panicked(x *filters.Exchange, cause any, stack []byte, started bool) {
	o.Metrics.panics.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("started", started)))
	o.Log.Error().Str("event", "panic").Str("request_id", x.ID).Bool("started", started).Str("cause", fmt.Sprintf("%.*s", maxPanicText, fmt.Sprint(cause))).Bytes("stack", stack).Msg("")
}

func (o *Observer) recordEnd(x *filters.Exchange, err *outcome.Error) {
	elapsed := time.Since(x.Received)
	result, code := outcome.Served, outcome.Code("")
	if err != nil {
		result, code = err.Outcome, err.Code
	}
	service := ""
	if x.Service != nil {
		service = x.Service.Name
	}
	o.Metrics.recordRequest(service, x.Work.Rank, result, code, elapsed)
	entry := o.Log.Info().Str("event", "request").Str("request_id", x.ID).
		Str("service", service).Str("work", x.Work.Name).Str("rank", x.Work.Rank.String()).Str("caller", x.Caller).
		Str("outcome", result.String()).Dur("elapsed", elapsed)
	if !x.FirstByteAt.IsZero() {
		entry = entry.Dur("first_byte", x.FirstByteAt.Sub(x.Received))
	}
	if x.Stream {
		entry = entry.Int("events", x.EventsSent).Dur("longest_gap", x.LongestGap).Int("output_tokens", x.MaxOutputTokens).Int("output_hint", x.OutputTokensHint)
	}
	status := x.Status
	if err != nil {
		status = err.Status
		entry = entry.Str("code", string(code)).AnErr("cause", err.Cause)
	}
	entry.Int("status", status).Int64("remaining", remainingMS(x)).Msg("")
}

// remainingMS returns the time until the deadline of x in milliseconds, less than 0 if
// it has passed. It returns 0 if x has no deadline.
func remainingMS(x *filters.Exchange) int64 {
	if x.Deadline.IsZero() {
		return 0
	}
	return time.Until(x.Deadline).Milliseconds()
}

// RouteDecided implements dispatch.Observer.
func (o *Observer) RouteDecided(x *filters.Exchange, attempt int, d routing.Decision) {
	server, version, source := "", "", ""
	if d.Server != nil {
		server, version = d.Server.ID, check.Shorten(d.Server.Version)
	}
	if d.FetchFrom != nil {
		source = d.FetchFrom.ID
	}
	o.Metrics.routing.recordDecision(x.Service.Name, d)
	if d.Region != "" {
		o.Metrics.forwarded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("region", d.Region)))
	}
	o.Log.Info().Str("event", "route").Str("request_id", x.ID).Int("attempt", attempt).
		Str("service", x.Service.Name).Str("rank", x.Work.Rank.String()).Uint64("revision", x.Snapshot.Revision).
		Str("caller", x.Caller).Int("priority", x.Work.Priority).
		Str("reason", string(d.Reason)).Str("server", server).Str("region", d.Region).
		Str("version", version).Str("origin", x.Version.String()).Str("origin_source", string(x.VersionSource)).Str("resumes", x.Resumes).
		Int("candidates", d.Candidates).Dur("cost", d.Cost).Dur("local_cost", d.LocalCost).
		Dur("wait", d.Wait).Int("cached_tokens", d.CachedTokens).Str("fetch_from", source).Str("spill", string(d.Spill)).
		Float64("slowdown", float64(d.Slowdown)).Dur("slowdown_age", d.SlowdownAge).Int("slow_candidates", d.SlowCandidates).
		Int("prompt_tokens", x.PromptTokens).Int("tokens_ahead", d.TokensAhead).Int("running", d.Occupied).
		Int("output_tokens", x.MaxOutputTokens).Int("output_hint", x.OutputTokensHint).Int("events", x.EventsSent).
		Float64("expected_events", d.Events).Dur("stream_time", d.StreamTime).
		Dur("cold", d.ColdFor).Float64("limit_rate", d.LimitRate).Dur("list_age", d.ListAge).Int("good_slots", d.GoodSlots).
		Int64("remaining", remainingMS(x)).Msg("")
}

// FirstByte implements dispatch.Observer.
func (o *Observer) FirstByte(x *filters.Exchange) {
	x.FirstByteAt = time.Now()
	o.Metrics.firstByte.Record(context.Background(), x.FirstByteAt.Sub(x.Received).Seconds(), metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.String("rank", x.Work.Rank.String())))
}

// AttemptEnded implements dispatch.Observer.
func (o *Observer) AttemptEnded(x *filters.Exchange, attempt int, d routing.Decision, result outcome.Outcome, err error) {
	o.Metrics.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.String("outcome", result.String()),
		attribute.Bool("elsewhere", d.Region != "")))
	if err != nil {
		o.Log.Warn().Str("event", "attempt_failed").Str("request_id", x.ID).Int("attempt", attempt).
			Str("outcome", result.String()).Err(err).Msg("")
	}
}

// ResponseDiscarded implements dispatch.Observer.
func (o *Observer) ResponseDiscarded(x *filters.Exchange, server *backend.Server, response dispatch.DiscardedResponse) {
	o.Metrics.discarded.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.Service.Name), attribute.Bool("refusal", response.Refused)))
	o.Log.Warn().Str("event", "response_discarded").Str("request_id", x.ID).Str("server", server.ID).
		Int("status", response.Status).Bool("refusal", response.Refused).Bool("first_on_connection", response.FirstOnConnection).
		Dur("elapsed", response.Elapsed).Msg("")
}
