package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// ServerState is the result of a query of a backend server for its state.
type ServerState string

// The results of a query.
const (
	ServerWarm        ServerState = "warm"
	ServerCold        ServerState = "cold"
	ServerLeaving     ServerState = "leaving" // or another process uses its address
	ServerCheckFailed ServerState = "failed"
)

// ServerCheck is a query of a backend server for its state.
type ServerCheck struct {
	Server  *backend.Server
	State   ServerState
	Warmup  time.Duration // remaining
	Elapsed time.Duration
	Err     error // with ServerCheckFailed
}

// ServerChecked records a query of a backend server for its state. Only the metrics show
// those that found it warm. The rate of the log lines of failed ones is limited.
func (o *Observer) ServerChecked(c ServerCheck) {
	o.Metrics.routing.serverChecks.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", c.Server.Service), attribute.String("state", string(c.State))))
	suppressed := 0
	switch c.State {
	case ServerWarm:
		return
	case ServerCheckFailed:
		var allowed bool
		if suppressed, allowed = o.failedChecks.allow(time.Now()); !allowed {
			return
		}
	}
	o.Log.Info().Str("event", "server_check").Str("server", c.Server.ID).Str("service", c.Server.Service).Str("state", string(c.State)).
		Dur("warmup", c.Warmup).Dur("elapsed", c.Elapsed).AnErr("error", c.Err).Int("suppressed", suppressed).Msg("")
}
