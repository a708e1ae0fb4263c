package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// ServerLimitChanged records that the limit which a backend server puts on the requests
// of all instances has begun, changed or ended.
func (o *Observer) ServerLimitChanged(c backend.RateLimitChange) {
	change := "changed"
	switch {
	case c.From == 0:
		change = "began"
	case c.Report.Rate == 0:
		change = "ended"
	}
	o.Metrics.routing.rateLimits.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", c.Server.Service), attribute.String("change", change)))
	o.Log.Info().Str("event", "server_limit").Str("server", c.Server.ID).Str("service", c.Server.Service).
		Int64("started", c.Server.Started).Str("change", change).Float64("rate", c.Report.Rate).Float64("previous", c.From).
		Bool("relayed", c.Report.Relayed).Dur("since", time.Since(c.ChangedAt)).Msg("")
}
