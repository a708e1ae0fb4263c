package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// ServerWithdrew implements dispatch.Observer.
func (o *Observer) ServerWithdrew(x *filters.Exchange, server *backend.Server, w dispatch.Withdrawal) {
	o.Metrics.routing.withdrawals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", server.Service), attribute.String("cause", string(w.Cause))))
	line := o.Log.Warn().Str("event", "server_withdrew").Str("server", server.ID).Str("service", server.Service).
		Int64("started", server.Started).Str("request_id", x.ID).Str("cause", string(w.Cause)).Int("status", w.Status).
		Bool("refusal", w.Refused).Dur("elapsed", w.Elapsed)
	if w.Cause == dispatch.CausePause {
		line = line.Dur("asked", w.Asked).Time("until", w.Until)
	}
	line.Msg("")
}

// ServerResumed records that the pause of a backend server has ended.
func (o *Observer) ServerResumed(server *backend.Server, since time.Duration) {
	o.Metrics.routing.resumed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", server.Service)))
	o.Log.Info().Str("event", "server_resumed").Str("server", server.ID).Str("service", server.Service).
		Int64("started", server.Started).Bool("accepts", server.Accepts()).Dur("since", since).Msg("")
}

// HeaderIgnored implements dispatch.Observer. A faulty server may send such a header
// in each of its responses, so the rate of the log lines is limited.
func (o *Observer) HeaderIgnored(x *filters.Exchange, server *backend.Server, err *check.FieldError) {
	o.Metrics.routing.ignoredHeaders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", server.Service), attribute.String("header", err.Field)))
	if suppressed, allowed := o.ignoredHeaders.allow(time.Now()); allowed {
		o.Log.Warn().Str("event", "header_ignored").Str("server", server.ID).Str("service", server.Service).
			Int64("started", server.Started).Str("request_id", x.ID).Err(err).Int("suppressed", suppressed).Msg("")
	}
}

// lineInterval is the least time between two log lines of a lineLimiter.
const lineInterval = time.Second

// lineLimiter limits the rate of the log lines of one kind.
type lineLimiter struct {
	mu         sync.Mutex
	next       time.Time // of the next line
	suppressed int       // lines since the last one
}

// allow reports whether a line may be written, and how many were suppressed since
// the last one.
func (l *lineLimiter) allow(now time.Time) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.suppressed++
		return 0, false
	}
	l.next = now.Add(lineInterval)
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
