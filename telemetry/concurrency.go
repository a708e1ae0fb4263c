package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// ServerConcurrencyChanged records that the number of requests which a backend server
// answers well at once has changed by a step.
func (o *Observer) ServerConcurrencyChanged(c backend.ConcurrencyChange) {
	change := "raised"
	if c.Slots < c.From {
		change = "lowered"
	}
	o.Metrics.routing.concurrency.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", c.Server.Service), attribute.String("change", change)))
	o.Log.Info().Str("event", "server_concurrency").Str("server", c.Server.ID).Str("service", c.Server.Service).
		Int64("started", c.Server.Started).Str("change", change).Int("slots", c.Slots).Int("previous", c.From).Int("nominal", c.Nominal).
		Bool("relayed", c.Evidence.Samples == 0).Float64("samples", c.Evidence.Samples).Float64("late", c.Evidence.Misses).Msg("")
}
